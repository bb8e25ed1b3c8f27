//! An attempt at a request that has not ended yet.

use wingshore_coordination::InstanceId;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// An attempt that a server has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) connection: ConnectionId,
    /// The incarnation of the server.
    pub(crate) instance: InstanceId,
    pub(crate) started_at: Instant,
    /// When the connection was established; `None` before that.
    pub(crate) connected_at: Option<Instant>,
    /// Until when it is kept although it is late, as no other server can get the request.
    pub(crate) kept_until: Option<Instant>,
    /// Whether it is a second attempt, which started while the first one was running.
    pub(crate) is_second: bool,
}
