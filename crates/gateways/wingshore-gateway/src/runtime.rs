//! What every part of a gateway acts through: sockets, timers, logs and metrics.

use crate::metrics::GatewayMetrics;
use crate::timers::Timers;
use slog::Logger;
use std::time::Duration;
use wingshore_diagnostics::RequestSampler;
use wingshore_net::Reactor;
use wingshore_types::Instant;

/// Sockets, timers, logs and metrics.
pub(crate) struct Runtime {
    /// The time of the present turn of the loop: one reading of the clock for all that it does.
    pub(crate) now: Instant,
    pub(crate) reactor: Reactor,
    pub(crate) timers: Timers,
    pub(crate) logger: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) sampler: RequestSampler,
}

impl Runtime {
    /// Whether a request that went well gets a line in the log.
    pub(crate) fn samples(&mut self, request: &str) -> bool {
        let steady = Duration::from_millis(self.now.as_millis());
        self.sampler.takes(steady, request)
    }
}
