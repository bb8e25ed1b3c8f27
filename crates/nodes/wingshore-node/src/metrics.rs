//! Metrics of a node in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;
use wingshore_transport::TrafficCollector;
use wingshore_types::protocol::ledger::Batch;

/// Smallest bucket of the latency histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_25;
/// Ratio of a bucket's upper bound to the bound of the bucket before.
const BUCKET_GROWTH: f64 = 2.0;
/// Number of latency buckets; the last bound is about two minutes.
const BUCKET_COUNT: u16 = 20;

/// Bucket bounds of the staleness histogram, in weight versions.
const STALENESS_BUCKETS: [f64; 9] = [0.0, 1.0, 2.0, 3.0, 4.0, 8.0, 16.0, 32.0, 64.0];

/// Labels of answered requests: their kind and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `forward`, `completion` or `trainer`.
    pub kind: &'static str,
    /// `ok`, or the code of the error.
    pub code: String,
}

/// Label of metrics that are split by the kind of request only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// `forward`, `completion` or `trainer`.
    pub kind: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Number of answered requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the complete receipt of a request to the end of its answer, in seconds.
    pub latency: Family<KindLabel, Histogram>,
    /// Number of attempts beyond the first.
    pub retries: Family<KindLabel, Counter>,
    /// Number of requests in flight.
    pub in_flight: Family<KindLabel, Gauge>,
    /// Revision of the configuration in force.
    pub configuration_revision: Gauge,
    /// Remaining time of the configuration lease, in milliseconds.
    pub configuration_lease_ms: Gauge,
    /// Number of running rollout streams.
    pub rollout_streams: Gauge,
    /// Number of started rollout streams.
    pub rollout_streams_started: Counter,
    /// Number of failed rollout streams.
    pub rollout_streams_failed: Counter,
    /// Number of tokens received from rollout streams.
    pub rollout_tokens: Counter,
    /// Number of samples whose complete generation was reported to the ledger.
    pub rollout_samples_finished: Counter,
    /// Number of scored samples.
    pub rollout_samples_scored: Counter,
    /// Waiting time of pulls that returned a batch: the time a trainer is idle because of rollouts.
    pub pull_wait: Histogram,
    /// Staleness of delivered samples: the trainer's version minus that of the oldest segment.
    pub delivered_staleness: Histogram,
    /// Number of servers that this node has ejected as failing.
    pub servers_ejected: Gauge,
    /// Memory of the bodies of callers' requests, in bytes.
    pub body_bytes: Gauge,
    /// Number of invariant violations found; any value but zero is a defect of wingshore.
    pub broken_promises: Counter,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Gauge);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Default for Metrics {
    /// Creates the metrics with all values at zero.
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("wingshore"),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            retries: Family::default(),
            in_flight: Family::default(),
            configuration_revision: Gauge::default(),
            configuration_lease_ms: Gauge::default(),
            rollout_streams: Gauge::default(),
            rollout_streams_started: Counter::default(),
            rollout_streams_failed: Counter::default(),
            rollout_tokens: Counter::default(),
            rollout_samples_finished: Counter::default(),
            rollout_samples_scored: Counter::default(),
            pull_wait: latency_histogram(),
            delivered_staleness: Histogram::new(STALENESS_BUCKETS),
            servers_ejected: Gauge::default(),
            body_bytes: Gauge::default(),
            broken_promises: Counter::default(),
        };
        metrics.register_requests();
        metrics.register_configuration();
        metrics.register_rollouts();
        metrics.register_deliveries();
        metrics
            .registry
            .register_collector(Box::new(TrafficCollector));
        metrics
    }
}

impl Metrics {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin(&self, kind: &'static str) -> InFlight {
        let gauge = self.in_flight.get_or_create_owned(&KindLabel { kind });
        gauge.inc();
        InFlight(gauge)
    }

    /// Records a batch that is delivered to a trainer, with the time that the trainer waited.
    pub fn on_delivered(&self, batch: &Batch, waited: Duration) {
        self.pull_wait.observe(waited.as_secs_f64());
        for sample in &batch.samples {
            let oldest = sample.generation.oldest_version();
            if let Some(oldest) = oldest {
                let staleness = batch.weight_version.0.saturating_sub(oldest.0);
                self.delivered_staleness.observe(staleness as f64);
            }
        }
    }

    /// Records an answered request.
    pub fn on_answered(&self, kind: &'static str, code: &str, latency: Duration) {
        let code = code.to_owned();
        self.requests
            .get_or_create(&RequestLabels { kind, code })
            .inc();
        self.latency
            .get_or_create(&KindLabel { kind })
            .observe(latency.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests answered, by kind and code",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from the whole request to the end of its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("retries", "Attempts beyond the first", self.retries.clone());
        registry.register(
            "requests_in_flight",
            "Requests being worked on",
            self.in_flight.clone(),
        );
        registry.register(
            "broken_promises",
            "Promises found broken",
            self.broken_promises.clone(),
        );
    }

    fn register_configuration(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "configuration_revision",
            "Revision of the configuration in force",
            self.configuration_revision.clone(),
        );
        registry.register(
            "configuration_lease_milliseconds",
            "Time left of the configuration lease",
            self.configuration_lease_ms.clone(),
        );
    }

    fn register_rollouts(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "rollout_streams",
            "Rollout streams running",
            self.rollout_streams.clone(),
        );
        registry.register(
            "rollout_streams_started",
            "Rollout streams started",
            self.rollout_streams_started.clone(),
        );
        registry.register(
            "rollout_streams_failed",
            "Rollout streams that failed",
            self.rollout_streams_failed.clone(),
        );
        registry.register(
            "rollout_tokens",
            "Tokens received from rollout streams",
            self.rollout_tokens.clone(),
        );
        registry.register(
            "rollout_samples_finished",
            "Samples reported whole to the ledger",
            self.rollout_samples_finished.clone(),
        );
        registry.register(
            "rollout_samples_scored",
            "Samples scored",
            self.rollout_samples_scored.clone(),
        );
    }

    fn register_deliveries(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "pull_wait",
            "Time that pulls with a batch waited for it",
            Unit::Seconds,
            self.pull_wait.clone(),
        );
        registry.register(
            "delivered_staleness_versions",
            "Trainer's version less the oldest segment's, of each delivered sample",
            self.delivered_staleness.clone(),
        );
        registry.register(
            "servers_ejected",
            "Servers ejected as failing by this node",
            self.servers_ejected.clone(),
        );
        registry.register(
            "request_body_bytes",
            "Memory of the bodies of callers' requests",
            self.body_bytes.clone(),
        );
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_GROWTH,
        BUCKET_COUNT,
    ))
}
