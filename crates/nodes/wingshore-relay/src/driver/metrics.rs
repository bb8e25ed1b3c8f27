//! Metrics of a relay, encoded as OpenMetrics text.

use crate::state::RelaySummary;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicBool, Ordering};
use wingshore_transport::TrafficCollector;

/// All metrics of a relay.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    revision: Gauge,
    open_watches: Gauge,
    nodes: Gauge,
    ready: AtomicBool,
    /// Watches answered.
    pub(super) answers: Counter,
    /// Watches redirected to another relay.
    pub(super) redirects: Counter,
    /// Watches sent upstream.
    pub(super) upstream_watches: Counter,
    /// Watches sent upstream that got no answer.
    pub(super) upstream_failures: Counter,
}

impl Metrics {
    /// Registers all metrics, with value zero.
    pub(super) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("wingshore_relay"),
            revision: Gauge::default(),
            open_watches: Gauge::default(),
            nodes: Gauge::default(),
            ready: AtomicBool::new(false),
            answers: Counter::default(),
            redirects: Counter::default(),
            upstream_watches: Counter::default(),
            upstream_failures: Counter::default(),
        };
        metrics.register_gauges();
        metrics.register_counters();
        metrics
            .registry
            .register_collector(Box::new(TrafficCollector));
        metrics
    }

    /// Sets the gauges and the readiness from the relay's summary.
    pub(super) fn set_summary(&self, summary: RelaySummary) {
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.revision
            .set(i64::try_from(summary.revision.0).unwrap_or(i64::MAX));
        self.open_watches.set(gauge(summary.open_watches));
        self.nodes.set(gauge(summary.nodes));
        self.ready.store(summary.upstream_alive, Ordering::Relaxed);
    }

    /// Returns whether upstream has answered within the upstream timeout.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Encodes all metrics as OpenMetrics text.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "configuration_revision",
            "Revision of the configuration held",
            self.revision.clone(),
        );
        registry.register(
            "open_watches",
            "Watches held open",
            self.open_watches.clone(),
        );
        registry.register("nodes", "Nodes heard of lately", self.nodes.clone());
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Watches answered", self.answers.clone());
        registry.register(
            "sent_elsewhere",
            "Watchers sent to another relay",
            self.redirects.clone(),
        );
        registry.register(
            "upstream_watches",
            "Watches sent upstream",
            self.upstream_watches.clone(),
        );
        registry.register(
            "upstream_failures",
            "Watches upstream without an answer",
            self.upstream_failures.clone(),
        );
    }
}
