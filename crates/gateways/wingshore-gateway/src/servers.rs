//! The servers that run requests and batch items.

use crate::balance::Balancer;
use crate::crashes::CrashDetector;
use crate::upstream::Upstreams;

/// The connections to servers and the state kept for each server.
#[derive(Default)]
pub(crate) struct Servers {
    /// Connections to servers.
    pub(crate) upstreams: Upstreams,
    /// Latency, load and failures of each server, for load balancing of live requests.
    pub(crate) balancer: Balancer,
    /// Detected crashes of servers, and the requests that were running.
    pub(crate) crashes: CrashDetector,
}
