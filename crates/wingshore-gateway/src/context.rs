//! What the parts of a gateway share: the ground they act on, apart from their own state.

use crate::balance::Balancer;
use crate::coordinators::Coordinators;
use crate::crashes::CrashWatch;
use crate::metrics::GatewayMetrics;
use crate::protocol::IngressProtocol;
use crate::timers::Timers;
use crate::upstream::Upstreams;
use crate::view::View;
use slog::Logger;
use std::time::Duration;
use wingshore_diagnostics::RequestSampler;
use wingshore_net::Reactor;
use wingshore_types::Instant;

/// Sockets, timers, logs and metrics.
pub(crate) struct Runtime {
    pub(crate) reactor: Reactor,
    pub(crate) timers: Timers,
    pub(crate) logger: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) sampler: RequestSampler,
}

impl Runtime {
    /// Whether a request that went well gets a line in the log.
    pub(crate) fn samples(&mut self, now: Instant, request: &str) -> bool {
        let steady = Duration::from_millis(now.as_millis());
        self.sampler.takes(steady, request)
    }
}

/// The site as this gateway knows it, and its links to the group that decides for it.
pub(crate) struct Site {
    pub(crate) protocol: Box<dyn IngressProtocol>,
    /// The zone that the gateway stands in.
    pub(crate) zone: String,
    pub(crate) view: View,
    pub(crate) coordinators: Coordinators,
}

/// The servers that requests and items are sent to: connections, and what is remembered of each.
#[derive(Default)]
pub(crate) struct Servers {
    pub(crate) upstreams: Upstreams,
    pub(crate) balancer: Balancer,
    pub(crate) crashes: CrashWatch,
}
