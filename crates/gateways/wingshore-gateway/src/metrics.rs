//! Metrics of a gateway.
//!
//! Counters are kept here; gauges are set from [`Readings`] at each scrape.

mod labels;

use labels::{AnswerLabel, CallLabels, KindLabel, OutcomeLabel, RequestLabels, RouteLabel};
pub(crate) use labels::{SecondAttemptOutcome, UnmatchedKind};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;
use wingshore_coordination::TrialEnd;
use wingshore_net::CallerMetrics;

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Ratio of the upper bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the upper bound of the last one is 10.2 s.
const BUCKET_COUNT: u16 = 12;

/// Value of the age of the list of gateways where there is none.
const NO_LIST: i64 = -1;

#[derive(Clone)]
struct DurationBuckets;

impl MetricConstructor<Histogram> for DurationBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(
            FIRST_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ))
    }
}

/// Values of the gauges, read at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Readings {
    pub(crate) clients: usize,
    pub(crate) connections: usize,
    pub(crate) items: usize,
    pub(crate) scorings: usize,
    pub(crate) scorings_queued: usize,
    pub(crate) suspects: usize,
    /// Trials that run.
    pub(crate) trials: usize,
    pub(crate) evidence: usize,
    pub(crate) coordinators: usize,
    pub(crate) leader_known: bool,
    pub(crate) ready: bool,
    pub(crate) directory_age: Option<Duration>,
    pub(crate) directory_listed: usize,
    pub(crate) configuration: u64,
    pub(crate) log_lines_left_out: u64,
}

/// Name, help text and source of one gauge.
struct GaugeEntry {
    name: &'static str,
    help: &'static str,
    /// Reads the value of the gauge.
    read: fn(&Readings) -> i64,
}

const fn gauge(name: &'static str, help: &'static str, read: fn(&Readings) -> i64) -> GaugeEntry {
    GaugeEntry { name, help, read }
}

/// All gauges, in the order of the output.
const GAUGES: [GaugeEntry; 15] = [
    gauge("clients", "Connections of clients", |readings| {
        saturated(readings.clients)
    }),
    gauge("connections", "Connections of all kinds", |readings| {
        saturated(readings.connections)
    }),
    gauge("items_running", "Tries under way", |readings| {
        saturated(readings.items)
    }),
    gauge("scorings_running", "Scorings in hand", |readings| {
        saturated(readings.scorings)
    }),
    gauge(
        "scorings_queued",
        "Scorings whose request has not been sent",
        |readings| saturated(readings.scorings_queued),
    ),
    gauge(
        "suspect_requests",
        "Requests under which several servers have ended, as the leader has told",
        |readings| saturated(readings.suspects),
    ),
    gauge(
        "crash_evidence",
        "Endings of servers under requests seen here lately; at most 512",
        |readings| saturated(readings.evidence),
    ),
    gauge(
        "trials_running",
        "Trials of suspect requests that run at servers",
        |readings| saturated(readings.trials),
    ),
    gauge("coordinators", "Coordinators in touch", |readings| {
        saturated(readings.coordinators)
    }),
    gauge(
        "leader_known",
        "1 where the group's leader is in touch",
        |readings| i64::from(readings.leader_known),
    ),
    gauge("ready", "1 where clients may be sent here", |readings| {
        i64::from(readings.ready)
    }),
    gauge(
        "directory_list_age_milliseconds",
        "Time since the list of ready gateways was last confirmed; -1 without a list",
        |readings| {
            let age = readings.directory_age;
            age.map_or(NO_LIST, |age| saturated(age.as_millis()))
        },
    ),
    gauge(
        "directory_gateways",
        "Gateways in the list that clients are answered by",
        |readings| saturated(readings.directory_listed),
    ),
    gauge(
        "configuration_version",
        "Version of the configuration acted by",
        |readings| saturated(readings.configuration),
    ),
    gauge(
        "log_lines_left_out",
        "Log lines left out for want of budget",
        |readings| saturated(readings.log_lines_left_out),
    ),
];

/// Converts a count to the type of a gauge; the largest value stands for larger counts.
fn saturated(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

/// All metrics of a gateway.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<RouteLabel, Histogram, DurationBuckets>,
    attempts: Family<OutcomeLabel, Counter>,
    second_attempts: Family<OutcomeLabel, Counter>,
    trials: Family<OutcomeLabel, Counter>,
    unmatched_answers: Family<KindLabel, Counter>,
    items: Family<OutcomeLabel, Counter>,
    item_seconds: Histogram,
    scorings: Family<OutcomeLabel, Counter>,
    scoring_seconds: Histogram,
    calls: Family<CallLabels, Counter>,
    directory_answers: Family<AnswerLabel, Counter>,
    peers_refused: Counter,
    /// What clients use.
    pub(crate) callers: CallerMetrics,
    /// The gauges, in the order of [`GAUGES`].
    gauges: Vec<Gauge>,
}

impl GatewayMetrics {
    /// Creates all metrics with value zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("wingshore_gateway");
        let callers = CallerMetrics::register(&mut registry);
        let mut metrics = Self {
            registry,
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(DurationBuckets),
            attempts: Family::default(),
            second_attempts: Family::default(),
            trials: Family::default(),
            unmatched_answers: Family::default(),
            items: Family::default(),
            item_seconds: DurationBuckets.new_metric(),
            scorings: Family::default(),
            scoring_seconds: DurationBuckets.new_metric(),
            calls: Family::default(),
            directory_answers: Family::default(),
            peers_refused: Counter::default(),
            callers,
            gauges: Vec::new(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        // Most gateways start no second attempt for long; a rate needs the zero before the first.
        for outcome in SecondAttemptOutcome::ALL {
            let counter = metrics.second_attempts.get_or_create(&outcome.label());
            counter.inc_by(0);
        }
        for kind in UnmatchedKind::ALL {
            let counter = metrics.unmatched_answers.get_or_create(&kind.label());
            counter.inc_by(0);
        }
        // The same holds for trials.
        for end in [TrialEnd::Survived, TrialEnd::NotRun, TrialEnd::Unknown] {
            metrics.trial_counter(end).inc_by(0);
        }
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Live requests by route and how they ended",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request",
            "From a live request's arrival to its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Sends of live requests to servers by what came of them",
            self.attempts.clone(),
        );
        registry.register(
            "second_attempts",
            "Second attempts at requests whose first one is slow, by what came of them",
            self.second_attempts.clone(),
        );
        registry.register(
            "trials",
            "Trials of suspect requests by how they ended",
            self.trials.clone(),
        );
        registry.register(
            "unmatched_answers",
            "Answers of servers that do not belong to the request that waits on their connection",
            self.unmatched_answers.clone(),
        );
        registry.register(
            "items",
            "Tries at items of batch jobs by what came of them",
            self.items.clone(),
        );
        registry.register_with_unit(
            "item",
            "From a try's begin to its end",
            Unit::Seconds,
            self.item_seconds.clone(),
        );
        registry.register(
            "scorings",
            "Scorings of texts by what came of them",
            self.scorings.clone(),
        );
        registry.register_with_unit(
            "scoring",
            "From a whole text to its score",
            Unit::Seconds,
            self.scoring_seconds.clone(),
        );
        registry.register(
            "calls",
            "Calls about batch jobs by kind and how they ended",
            self.calls.clone(),
        );
        registry.register(
            "directory_answers",
            "Answers to clients that ask for gateways by what they were told",
            self.directory_answers.clone(),
        );
        registry.register(
            "peers_refused",
            "Connections refused since the coordinator at the other end speaks no common format",
            self.peers_refused.clone(),
        );
    }

    fn register_gauges(&mut self) {
        for entry in GAUGES {
            let gauge = Gauge::default();
            self.registry
                .register(entry.name, entry.help, gauge.clone());
            self.gauges.push(gauge);
        }
    }

    /// Records the end of a live request.
    pub(crate) fn request_ended(&self, route: &str, outcome: &'static str, time: Duration) {
        let route = route.to_owned();
        let label = RouteLabel {
            route: route.clone(),
        };
        let labels = RequestLabels { route, outcome };
        self.requests.get_or_create(&labels).inc();
        let histogram = self.request_seconds.get_or_create(&label);
        histogram.observe(time.as_secs_f64());
    }

    /// Records the end of an attempt at a live request.
    pub(crate) fn attempt_ended(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records what became of a second attempt.
    pub(crate) fn second_attempt(&self, outcome: SecondAttemptOutcome) {
        self.second_attempts.get_or_create(&outcome.label()).inc();
    }

    /// Records the end of a trial of a suspect request.
    pub(crate) fn trial_ended(&self, end: TrialEnd) {
        self.trial_counter(end).inc();
    }

    fn trial_counter(&self, end: TrialEnd) -> Counter {
        let outcome = match end {
            TrialEnd::Survived => "survived",
            TrialEnd::NotRun => "not_run",
            TrialEnd::Unknown => "unknown",
        };
        let counter = self.trials.get_or_create(&OutcomeLabel { outcome });
        counter.clone()
    }

    /// Records an answer that does not belong to the request that waits on its connection.
    pub(crate) fn unmatched_answer(&self, kind: UnmatchedKind) {
        let counter = self.unmatched_answers.get_or_create(&kind.label());
        counter.inc();
    }

    /// Records the end of an attempt at an item.
    pub(crate) fn item_ended(&self, outcome: &'static str, time: Duration) {
        self.items.get_or_create(&OutcomeLabel { outcome }).inc();
        self.item_seconds.observe(time.as_secs_f64());
    }

    /// Records the end of a scoring.
    pub(crate) fn scoring_ended(&self, outcome: &'static str, time: Duration) {
        self.scorings.get_or_create(&OutcomeLabel { outcome }).inc();
        self.scoring_seconds.observe(time.as_secs_f64());
    }

    /// Records the end of a call about a batch job.
    pub(crate) fn call_ended(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.calls.get_or_create(&labels).inc();
    }

    /// Records an answer to a client that asks for gateways.
    pub(crate) fn directory_answered(&self, answer: &'static str) {
        self.directory_answers
            .get_or_create(&AnswerLabel { answer })
            .inc();
    }

    /// Records the refusal of a coordinator without a common format.
    pub(crate) fn peer_refused(&self) {
        self.peers_refused.inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self, readings: Readings) -> String {
        for (gauge, entry) in self.gauges.iter().zip(GAUGES) {
            gauge.set((entry.read)(&readings));
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
