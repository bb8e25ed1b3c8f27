//! Metrics of a coordinator: counters and histograms as things happen, gauges when monitoring asks.
//!
//! Names and labels are part of what the program promises; docs/OPERATIONS.md lists them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Upper end of the first bucket of the histograms, in seconds.
const MIN_BUCKET_SECONDS: f64 = 0.000_5;
/// Each bucket reaches twice as far as the one before.
const BUCKET_FACTOR: f64 = 2.0;
/// Buckets; the last one ends at 8.2 s.
const BUCKETS: u16 = 15;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone)]
struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(
            MIN_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKETS,
        ))
    }
}

/// Values that are read when monitoring asks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Readings {
    pub(crate) leading: bool,
    pub(crate) leader_known: bool,
    pub(crate) term: u64,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) voters: usize,
    pub(crate) learners: usize,
    pub(crate) losses_borne: usize,
    pub(crate) losses_to_bear: usize,
    pub(crate) gateways: usize,
    pub(crate) view_followers: usize,
    pub(crate) servers: usize,
    pub(crate) servers_draining: usize,
    pub(crate) jobs_open: usize,
    pub(crate) items_waiting: usize,
    pub(crate) items_running: usize,
    pub(crate) engines_loading: usize,
    pub(crate) scorings_waiting: usize,
    pub(crate) scorings_running: usize,
    pub(crate) suspect_requests: usize,
    pub(crate) rejected_requests: usize,
    pub(crate) configuration: u64,
    pub(crate) results: usize,
    pub(crate) result_text_bytes: usize,
    pub(crate) log_bytes: usize,
    pub(crate) state_receivers: usize,
    pub(crate) state_bytes_left: u64,
    pub(crate) log_lines_left_out: u64,
}

/// All metrics of a coordinator.
pub(crate) struct CoordinatorMetrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    call_seconds: Family<CallLabel, Histogram, Buckets>,
    write_seconds: Histogram,
    orders: Family<OutcomeLabel, Counter>,
    provider_calls: Family<CallLabels, Counter>,
    attempts: Family<OutcomeLabel, Counter>,
    scorings: Family<OutcomeLabel, Counter>,
    leaderships: Counter,
    member_changes: Counter,
    peers_refused: Counter,
    state_sent: Counter,
    state_sent_again: Counter,
    /// In the order of [`GAUGES`].
    gauges: Vec<Gauge>,
}

/// A value that is read when monitoring asks.
struct GaugeEntry {
    name: &'static str,
    help: &'static str,
    read: fn(&Readings) -> u64,
}

const fn gauge(name: &'static str, help: &'static str, read: fn(&Readings) -> u64) -> GaugeEntry {
    GaugeEntry { name, help, read }
}

static GAUGES: [GaugeEntry; 28] = [
    gauge(
        "leading",
        "1 where this coordinator leads the group",
        |readings| u64::from(readings.leading),
    ),
    gauge("leader_known", "1 where it knows a leader", |readings| {
        u64::from(readings.leader_known)
    }),
    gauge(
        "term",
        "Term of the group; the fence of orders",
        |readings| readings.term,
    ),
    gauge(
        "commit_index",
        "Last entry of the log known to be committed",
        |readings| readings.commit_index,
    ),
    gauge(
        "applied_index",
        "Last entry of the log applied to the state",
        |readings| readings.applied_index,
    ),
    gauge("voters", "Members that vote", |readings| {
        readings.voters as u64
    }),
    gauge("learners", "Members that only receive", |readings| {
        readings.learners as u64
    }),
    gauge(
        "losses_borne",
        "Members whose loss at one time the voters bear",
        |readings| readings.losses_borne as u64,
    ),
    gauge(
        "losses_to_bear",
        "Members whose loss at one time the settings ask to bear",
        |readings| readings.losses_to_bear as u64,
    ),
    gauge("gateways", "Gateways that are connected", |readings| {
        readings.gateways as u64
    }),
    gauge(
        "view_followers",
        "Gateways that follow the view here",
        |readings| readings.view_followers as u64,
    ),
    gauge("servers", "Servers in the registry", |readings| {
        readings.servers as u64
    }),
    gauge(
        "servers_draining",
        "Servers in the registry that are leaving",
        |readings| readings.servers_draining as u64,
    ),
    gauge("jobs_open", "Batch jobs that are not ended", |readings| {
        readings.jobs_open as u64
    }),
    gauge(
        "items_waiting",
        "Items without an engine; 0 where it does not lead",
        |readings| readings.items_waiting as u64,
    ),
    gauge(
        "items_running",
        "Items on engines; 0 where it does not lead",
        |readings| readings.items_running as u64,
    ),
    gauge(
        "engines_loading",
        "Engines that load weights; 0 where it does not lead",
        |readings| readings.engines_loading as u64,
    ),
    gauge(
        "scorings_waiting",
        "Texts that wait for a scoring; 0 where it does not lead",
        |readings| readings.scorings_waiting as u64,
    ),
    gauge(
        "scorings_running",
        "Scorings that gateways hold; 0 where it does not lead",
        |readings| readings.scorings_running as u64,
    ),
    gauge(
        "suspect_requests",
        "Requests under which servers have ended; at most 1,024",
        |readings| readings.suspect_requests as u64,
    ),
    gauge(
        "rejected_requests",
        "Requests that no server is to run, since servers have ended under them",
        |readings| readings.rejected_requests as u64,
    ),
    gauge(
        "configuration_version",
        "Version of the configuration in force here",
        |readings| readings.configuration,
    ),
    gauge(
        "results",
        "Results of batch jobs that are remembered",
        |readings| readings.results as u64,
    ),
    gauge(
        "result_text_bytes",
        "Bytes that the texts of results take in memory",
        |readings| readings.result_text_bytes as u64,
    ),
    gauge(
        "log_bytes",
        "Bytes that entries of the group's log take in memory",
        |readings| readings.log_bytes as u64,
    ),
    gauge(
        "state_receivers",
        "Members that are being sent the state; 0 where it does not lead",
        |readings| readings.state_receivers as u64,
    ),
    gauge(
        "state_bytes_left",
        "Bytes of the state that these members lack",
        |readings| readings.state_bytes_left,
    ),
    gauge(
        "log_lines_left_out",
        "Log lines left out for want of budget",
        |readings| readings.log_lines_left_out,
    ),
];

impl CoordinatorMetrics {
    /// All at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("wingshore_coordinator"),
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(Buckets),
            write_seconds: Buckets.new_metric(),
            orders: Family::default(),
            provider_calls: Family::default(),
            attempts: Family::default(),
            scorings: Family::default(),
            leaderships: Counter::default(),
            member_changes: Counter::default(),
            peers_refused: Counter::default(),
            state_sent: Counter::default(),
            state_sent_again: Counter::default(),
            gauges: Vec::new(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "calls",
            "Calls to the group by kind and how they ended here",
            self.calls.clone(),
        );
        registry.register_with_unit(
            "call",
            "From a call's arrival to its answer, committed where it changes something",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
        registry.register_with_unit(
            "write",
            "Until a write to the log was synced on this disk",
            Unit::Seconds,
            self.write_seconds.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by their answers",
            self.orders.clone(),
        );
        registry.register(
            "provider_calls",
            "Calls to the provider by what was asked and its answer",
            self.provider_calls.clone(),
        );
        registry.register(
            "tries",
            "Attempts at items of batch jobs by their outcome",
            self.attempts.clone(),
        );
        registry.register(
            "scorings",
            "Scorings of texts by their outcome",
            self.scorings.clone(),
        );
        registry.register(
            "leaderships",
            "Leaderships that began here",
            self.leaderships.clone(),
        );
        registry.register(
            "member_changes",
            "Changes of members asked for here",
            self.member_changes.clone(),
        );
        registry.register(
            "peers_refused",
            "Connections refused since the process at the other end speaks no common format",
            self.peers_refused.clone(),
        );
        registry.register_with_unit(
            "state_sent",
            "Bytes of the state sent to members that lack too much of the log",
            Unit::Bytes,
            self.state_sent.clone(),
        );
        registry.register_with_unit(
            "state_sent_again",
            "Those of them that were sent before",
            Unit::Bytes,
            self.state_sent_again.clone(),
        );
        for entry in &GAUGES {
            let gauge = Gauge::default();
            registry.register(entry.name, entry.help, gauge.clone());
            self.gauges.push(gauge);
        }
    }

    /// A call to the group has ended.
    pub(crate) fn call_ended(&self, call: &'static str, outcome: &'static str, time: Duration) {
        let labels = CallLabels { call, outcome };
        self.calls.get_or_create(&labels).inc();
        let histogram = self.call_seconds.get_or_create(&CallLabel { call });
        histogram.observe(time.as_secs_f64());
    }

    /// A write was synced.
    pub(crate) fn written(&self, time: Duration) {
        self.write_seconds.observe(time.as_secs_f64());
    }

    /// An engine has answered an order, or has not.
    pub(crate) fn ordered(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// The provider has answered a call, or has not.
    pub(crate) fn provider_answered(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.provider_calls.get_or_create(&labels).inc();
    }

    /// A gateway has reported the outcome of an attempt at an item.
    pub(crate) fn attempt_ended(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// A gateway has reported the outcome of a scoring.
    pub(crate) fn scoring_ended(&self, outcome: &'static str) {
        self.scorings.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// A leadership began here.
    pub(crate) fn leadership_began(&self) {
        self.leaderships.inc();
    }

    /// A change of members was asked for.
    pub(crate) fn member_change(&self) {
        self.member_changes.inc();
    }

    /// A peer that speaks no common format was refused.
    pub(crate) fn peer_refused(&self) {
        self.peers_refused.inc();
    }

    /// Bytes of the state have been sent, some of them not for the first time.
    pub(crate) fn state_sent(&self, bytes: u64, again: u64) {
        self.state_sent.inc_by(bytes);
        self.state_sent_again.inc_by(again);
    }

    /// All metrics as text.
    pub(crate) fn text(&self, readings: &Readings) -> String {
        for (gauge, entry) in self.gauges.iter().zip(&GAUGES) {
            let value = (entry.read)(readings);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
