//! Gateways that read results from the copy of the state here.

use wingshore_coordination::JobId;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A gateway that reads, and waits for a result.
pub(super) struct CopyReader {
    pub(super) connection: ConnectionId,
    /// Number of its call, which the answer carries.
    pub(super) id: u64,
    pub(super) job: JobId,
    /// The first position that it asks for.
    pub(super) from: u64,
    /// When it is answered at the latest, with or without a result.
    pub(super) until: Instant,
}
