//! The servers that requests and items are sent to.

use crate::balance::Balancer;
use crate::crashes::CrashWatch;
use crate::upstream::Upstreams;

/// Connections to servers, and what is remembered of each.
#[derive(Default)]
pub(crate) struct Servers {
    pub(crate) upstreams: Upstreams,
    pub(crate) balancer: Balancer,
    pub(crate) crashes: CrashWatch,
}
