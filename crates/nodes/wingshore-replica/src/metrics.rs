//! Metrics of a replica and its groups.

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
use std::time::Duration;
use wingshore_control::ConfigurationProgress;
use wingshore_transport::TrafficCollector;
use wingshore_types::{GroupId, LogIndex};

/// Upper bound of the first bucket of the write and commit histograms, in seconds.
const MIN_WRITE_BUCKET_SECONDS: f64 = 0.000_1;
/// Ratio of the upper bounds of successive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Buckets of the write and commit histograms; the last one ends at 3.3 s.
const WRITE_BUCKETS: u16 = 16;

/// Upper bound of the first bucket of the histogram of the time until a revision is in force
/// everywhere, in seconds.
const MIN_IN_FORCE_BUCKET_SECONDS: f64 = 0.05;
/// Buckets of the in-force histogram; the last one ends at 25.6 s.
const IN_FORCE_BUCKETS: u16 = 10;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct GroupLabel {
    group: String,
}

#[derive(Clone)]
struct WriteBuckets;

impl MetricConstructor<Histogram> for WriteBuckets {
    fn new_metric(&self) -> Histogram {
        let buckets = exponential_buckets(MIN_WRITE_BUCKET_SECONDS, BUCKET_FACTOR, WRITE_BUCKETS);
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
    commit_seconds: Family<GroupLabel, Histogram, WriteBuckets>,
    configuration: Arc<ConfigurationMetrics>,
}

/// Progress of the configuration, as known to the leader of the control group.
struct ConfigurationMetrics {
    committed_revision: Gauge,
    in_force_revision: Gauge,
    nodes: Gauge,
    nodes_behind: Gauge,
    in_force_seconds: Histogram,
}

/// Metrics of one group.
pub(crate) struct GroupMetrics {
    leading: Gauge,
    leader_known: Gauge,
    term: Gauge,
    commit_index: Gauge,
    applied_index: Gauge,
    requests_waiting: Gauge,
    /// Leaderships that began on this replica.
    pub(crate) leaderships: Counter,
    /// Times until writes were durable, in seconds.
    pub(crate) write_seconds: Histogram,
    commit_seconds: Histogram,
    configuration: Arc<ConfigurationMetrics>,
    ready: AtomicBool,
}

impl ReplicaMetrics {
    /// Registers all metrics, without any group.
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
        let commit_seconds = Family::new_with_constructor(WriteBuckets);
        let help = "Time from a leader's append to the group's log until it was committed";
        registry.register_with_unit("commit", help, Unit::Seconds, commit_seconds.clone());
        let configuration = Arc::new(ConfigurationMetrics::registered(&mut registry));
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
            commit_seconds,
            configuration,
        }
    }

    /// Returns the metrics of a group, registered under its label.
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
            commit_seconds: self.commit_seconds.get_or_create_owned(&label),
            configuration: Arc::clone(&self.configuration),
            ready: AtomicBool::new(false),
        })
    }

    /// Encodes all metrics as OpenMetrics text.
    ///
    /// # Errors
    /// When the encoding fails.
    pub(crate) fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl ConfigurationMetrics {
    fn registered(registry: &mut Registry) -> Self {
        let metrics = Self {
            committed_revision: Gauge::default(),
            in_force_revision: Gauge::default(),
            nodes: Gauge::default(),
            nodes_behind: Gauge::default(),
            in_force_seconds: Histogram::new(exponential_buckets(
                MIN_IN_FORCE_BUCKET_SECONDS,
                BUCKET_FACTOR,
                IN_FORCE_BUCKETS,
            )),
        };
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        let help = "Newest committed revision of the configuration; 0 where this replica does not lead the control group, as for the next three";
        gauge(
            "configuration_committed_revision",
            help,
            &metrics.committed_revision,
        );
        let help = "Newest revision in force on every node";
        gauge(
            "configuration_in_force_revision",
            help,
            &metrics.in_force_revision,
        );
        let help = "Node processes that hold a configuration lease";
        gauge("nodes", help, &metrics.nodes);
        let help = "Those of them that have not acknowledged the newest revision";
        gauge("nodes_behind", help, &metrics.nodes_behind);
        let help = "Time from a committed revision until it was in force everywhere";
        let histogram = metrics.in_force_seconds.clone();
        registry.register_with_unit("configuration_in_force", help, Unit::Seconds, histogram);
        metrics
    }
}

impl GroupMetrics {
    /// Records the times from append to commit of log entries.
    pub(crate) fn observe_commits(&self, delays: &[Duration]) {
        for delay in delays {
            self.commit_seconds.observe(delay.as_secs_f64());
        }
    }

    /// Sets the progress of the configuration; `None` if this replica is not the leader.
    pub(crate) fn set_configuration_progress(&self, progress: Option<&ConfigurationProgress>) {
        let metrics = &self.configuration;
        let gauge = |value: u64| saturate(value);
        metrics
            .committed_revision
            .set(gauge(progress.map_or(0, |progress| progress.committed.0)));
        metrics
            .in_force_revision
            .set(gauge(progress.map_or(0, |progress| progress.everywhere.0)));
        metrics
            .nodes
            .set(gauge(progress.map_or(0, |progress| progress.nodes as u64)));
        let behind = progress.map_or(0, |progress| progress.nodes_behind as u64);
        metrics.nodes_behind.set(gauge(behind));
    }

    /// Records the times from commit until revisions were in force everywhere.
    pub(crate) fn observe_in_force(&self, delays: &[Duration]) {
        for delay in delays {
            let histogram = &self.configuration.in_force_seconds;
            histogram.observe(delay.as_secs_f64());
        }
    }

    /// Sets the metrics of the leadership, and the readiness.
    pub(crate) fn set_leadership(&self, leading: bool, leader_known: bool, term: u64) {
        self.leading.set(i64::from(leading));
        self.leader_known.set(i64::from(leader_known));
        self.term.set(saturate(term));
        self.ready.store(leader_known, Ordering::Relaxed);
    }

    /// Sets the log indexes and the number of requests without a reply.
    pub(crate) fn set_log_progress(&self, commit: LogIndex, applied: LogIndex, waiting: usize) {
        self.commit_index.set(saturate(commit.0));
        self.applied_index.set(saturate(applied.0));
        self.requests_waiting.set(saturate(waiting as u64));
    }

    /// Returns whether this replica knows the group's leader.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

fn saturate(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
