//! The servers that requests and items are sent to.

use crate::balance::Balancer;
use crate::crashes::CrashDetector;
use crate::upstream::Upstreams;

/// Connections to servers, and what is remembered of each.
#[derive(Default)]
pub(crate) struct Servers {
    /// Connections to them.
    pub(crate) upstreams: Upstreams,
    /// Their latencies, loads and failures, by which live requests are spread.
    pub(crate) balancer: Balancer,
    /// Which of them have ended, and under which requests.
    pub(crate) crashes: CrashDetector,
}
