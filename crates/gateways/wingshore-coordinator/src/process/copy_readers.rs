//! Gateways that read results from this member's copy of the state.

use wingshore_coordination::JobId;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A gateway's pending read of the results of a job.
pub(super) struct CopyReader {
    pub(super) connection: ConnectionId,
    /// Number of the gateway's call, which the answer repeats.
    pub(super) id: u64,
    pub(super) job: JobId,
    /// Position of the first result to return.
    pub(super) from: u64,
    /// When the read is answered even without a result.
    pub(super) deadline: Instant,
}
