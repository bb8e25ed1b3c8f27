//! What a replica tells monitoring about its groups.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use wingshore_transport::TrafficCollector;
use wingshore_types::{GroupId, LogIndex};

/// Shortest write that the histogram tells apart, in seconds.
const SHORTEST_WRITE: f64 = 0.000_1;
/// Each bucket of the histogram reaches twice as far as the one before.
const BUCKET_FACTOR: f64 = 2.0;
/// Buckets of the histogram; the last one ends at 3.3 s.
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct GroupLabel {
    group: String,
}

#[derive(Clone)]
struct WriteBuckets;

impl MetricConstructor<Histogram> for WriteBuckets {
    fn new_metric(&self) -> Histogram {
        let buckets = exponential_buckets(SHORTEST_WRITE, BUCKET_FACTOR, BUCKETS);
        Histogram::new(buckets)
    }
}

type Gauges = Family<GroupLabel, Gauge>;

/// All metrics of a replica.
pub(crate) struct ReplicaMetrics {
    registry: Registry,
    leading: Gauges,
    leader_known: Gauges,
    term: Gauges,
    commit_index: Gauges,
    applied_index: Gauges,
    requests_waiting: Gauges,
    leaderships: Family<GroupLabel, Counter>,
    write_seconds: Family<GroupLabel, Histogram, WriteBuckets>,
}

/// Those of one group.
pub(crate) struct GroupMetrics {
    leading: Gauge,
    leader_known: Gauge,
    term: Gauge,
    commit_index: Gauge,
    applied_index: Gauge,
    requests_waiting: Gauge,
    /// Leaderships that began here.
    pub(crate) leaderships: Counter,
    /// How long writes took until they were durable.
    pub(crate) write_seconds: Histogram,
    ready: AtomicBool,
}

impl ReplicaMetrics {
    /// No group yet.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("wingshore_replica");
        registry.register_collector(Box::new(TrafficCollector));
        let mut gauge = |name: &str, help: &str| {
            let family = Gauges::default();
            registry.register(name, help, family.clone());
            family
        };
        let leading = gauge("leading", "1 where this replica leads the group");
        let leader_known = gauge("leader_known", "1 where the group's leader is known");
        let term = gauge("term", "The group's consensus term");
        let commit_index = gauge("commit_index", "Last committed entry of the log");
        let applied_index = gauge("applied_index", "Last entry applied to the state");
        let requests_waiting = gauge("requests_waiting", "Requests without an answer yet");
        let leaderships = Family::default();
        let help = "Leaderships that began on this replica";
        registry.register("leaderships", help, leaderships.clone());
        let write_seconds = Family::new_with_constructor(WriteBuckets);
        let help = "Time until a write to the group's log was durable";
        registry.register_with_unit("write", help, Unit::Seconds, write_seconds.clone());
        Self {
            registry,
            leading,
            leader_known,
            term,
            commit_index,
            applied_index,
            requests_waiting,
            leaderships,
            write_seconds,
        }
    }

    /// Adds a group.
    pub(crate) fn group(&self, group: GroupId) -> Arc<GroupMetrics> {
        let label = GroupLabel {
            group: group.to_string(),
        };
        Arc::new(GroupMetrics {
            leading: self.leading.get_or_create_owned(&label),
            leader_known: self.leader_known.get_or_create_owned(&label),
            term: self.term.get_or_create_owned(&label),
            commit_index: self.commit_index.get_or_create_owned(&label),
            applied_index: self.applied_index.get_or_create_owned(&label),
            requests_waiting: self.requests_waiting.get_or_create_owned(&label),
            leaderships: self.leaderships.get_or_create_owned(&label),
            write_seconds: self.write_seconds.get_or_create_owned(&label),
            ready: AtomicBool::new(false),
        })
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// When the text cannot be formed.
    pub(crate) fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl GroupMetrics {
    /// Sets what concerns leadership.
    pub(crate) fn update(&self, leading: bool, leader_known: bool, term: u64) {
        self.leading.set(i64::from(leading));
        self.leader_known.set(i64::from(leader_known));
        self.term.set(saturate(term));
        self.ready.store(leader_known, Ordering::Relaxed);
    }

    /// Sets what concerns the log.
    pub(crate) fn update_log(&self, commit: LogIndex, applied: LogIndex, waiting: usize) {
        self.commit_index.set(saturate(commit.0));
        self.applied_index.set(saturate(applied.0));
        self.requests_waiting.set(saturate(waiting as u64));
    }

    /// Whether the group has a leader that this replica knows.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

fn saturate(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
