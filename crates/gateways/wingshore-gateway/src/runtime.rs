//! Access of all parts of a gateway to sockets, timers, logs and metrics.

use crate::metrics::GatewayMetrics;
use crate::timers::Timers;
use slog::Logger;
use std::time::Duration;
use wingshore_diagnostics::RequestSampler;
use wingshore_net::Reactor;
use wingshore_types::Instant;

/// Sockets, timers, logs and metrics.
pub(crate) struct Runtime {
    /// The time of the current loop iteration: the clock is read once for the whole iteration.
    pub(crate) now: Instant,
    pub(crate) reactor: Reactor,
    pub(crate) timers: Timers,
    pub(crate) logger: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) sampler: RequestSampler,
}

impl Runtime {
    /// Returns whether a successful request gets a line in the log.
    pub(crate) fn samples(&mut self, request: &str) -> bool {
        let elapsed = Duration::from_millis(self.now.as_millis());
        self.sampler.should_log(elapsed, request)
    }
}
