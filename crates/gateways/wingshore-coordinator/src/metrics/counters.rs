//! Counters and histograms with their names, labels and buckets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry, Unit};

/// Upper bound of the first bucket of the histograms, in seconds.
const MIN_BUCKET_SECONDS: f64 = 0.000_5;
/// Factor between the upper bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the upper bound of the last one is 8.2 s.
const BUCKET_COUNT: u16 = 15;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) call: &'static str,
    pub(super) outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct CallLabel {
    pub(super) call: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone)]
pub(super) struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(
            MIN_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ))
    }
}

/// Metrics of the calls to this coordinator and of its calls to others.
pub(super) struct WorkMetrics {
    pub(super) calls: Family<CallLabels, Counter>,
    pub(super) call_seconds: Family<CallLabel, Histogram, Buckets>,
    pub(super) write_seconds: Histogram,
    pub(super) orders: Family<OutcomeLabel, Counter>,
    pub(super) provider_calls: Family<CallLabels, Counter>,
    pub(super) attempts: Family<OutcomeLabel, Counter>,
    pub(super) scorings: Family<OutcomeLabel, Counter>,
    pub(super) item_body_reads: Family<OutcomeLabel, Counter>,
}

impl WorkMetrics {
    /// Registers the metrics, all at zero.
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            calls: registered(
                registry,
                "calls",
                "Calls to the group by kind and how they ended here",
                Family::default(),
            ),
            call_seconds: registered_with_unit(
                registry,
                "call",
                "From a call's arrival to its answer, committed where it changes something",
                Unit::Seconds,
                Family::new_with_constructor(Buckets),
            ),
            write_seconds: registered_with_unit(
                registry,
                "write",
                "Until a write to the log was synced on this disk",
                Unit::Seconds,
                Buckets.new_metric(),
            ),
            orders: registered(
                registry,
                "orders",
                "Orders to engines by their answers",
                Family::default(),
            ),
            provider_calls: registered(
                registry,
                "provider_calls",
                "Calls to the provider by what was asked and its answer",
                Family::default(),
            ),
            attempts: registered(
                registry,
                "tries",
                "Attempts at items of batch jobs by their outcome",
                Family::default(),
            ),
            scorings: registered(
                registry,
                "scorings",
                "Scorings of texts by their outcome",
                Family::default(),
            ),
            item_body_reads: registered(
                registry,
                "item_body_reads",
                "Reads of bodies of items by what the leader found",
                Family::default(),
            ),
        }
    }
}

/// Metrics of the group of coordinators.
pub(super) struct GroupMetrics {
    pub(super) leaderships: Counter,
    pub(super) member_changes: Counter,
    pub(super) peers_refused: Counter,
    pub(super) state_sent: Counter,
    pub(super) state_sent_again: Counter,
}

impl GroupMetrics {
    /// Registers the metrics, all at zero.
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            leaderships: registered(
                registry,
                "leaderships",
                "Leaderships that began here",
                Counter::default(),
            ),
            member_changes: registered(
                registry,
                "member_changes",
                "Changes of members asked for here",
                Counter::default(),
            ),
            peers_refused: registered(
                registry,
                "peers_refused",
                "Connections refused since the process at the other end speaks no common format",
                Counter::default(),
            ),
            state_sent: registered_with_unit(
                registry,
                "state_sent",
                "Bytes of the state sent to members that lack too much of the log",
                Unit::Bytes,
                Counter::default(),
            ),
            state_sent_again: registered_with_unit(
                registry,
                "state_sent_again",
                "Those of them that were sent before",
                Unit::Bytes,
                Counter::default(),
            ),
        }
    }
}

/// Counts one more event with this outcome.
pub(super) fn count(family: &Family<OutcomeLabel, Counter>, outcome: &'static str) {
    counter(family, outcome).inc();
}

/// Returns the counter of events with this outcome.
pub(super) fn counter(family: &Family<OutcomeLabel, Counter>, outcome: &'static str) -> Counter {
    family.get_or_create(&OutcomeLabel { outcome }).clone()
}

/// Registers a metric and returns it.
fn registered<M: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

/// Registers a metric with its unit as suffix of its name, and returns it.
fn registered_with_unit<M: Metric + Clone>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    unit: Unit,
    metric: M,
) -> M {
    registry.register_with_unit(name, help, unit, metric.clone());
    metric
}
