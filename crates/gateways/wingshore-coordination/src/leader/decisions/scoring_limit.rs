//! Decides how many scorings may be under way at the servers of a service, and which waiting text is
//! scored next.
//!
//! Load: the texts of a step end together, and their scorings arrive at a few servers beside live
//! requests. Each gateway knows only its own requests, so only the leader can keep the total below
//! what the servers take.
//!
//! Inputs: the slots of the service's servers that are not draining; live requests in flight there,
//! and answers in time, late, refused or missing, as gateways report them every 400 ms; when the
//! step of a text is due, and since when the text waits.
//!
//! Rule: scorings under way are at most the slots, less the live requests in flight and a reserve of
//! one slot in [`SLOTS_PER_RESERVED_SLOT`]. If more than [`OVERLOAD_FRACTION`] of the answers of an
//! [`OBSERVATION_PERIOD`], and at least [`MIN_OVERLOAD_SIGNALS`], show overload, a limit below that
//! applies: [`DECREASE_FACTOR`] of the present one, rising by one per as many answers in time as the
//! limit allows, until it reaches the bound again. A text whose step is due within
//! [`URGENT_BEFORE_DUE`] may use the reserve, and is not held back by a limit that has fallen. Texts
//! are scored in the order in which their steps are due, then in the order in which they began to
//! wait.
//!
//! Rationale: a scoring beyond the slots waits at the server, in front of live requests, and is
//! refused once the server's queue is full. The reserve covers the live requests that arrive between
//! two reports. A few late answers are normal: the work of a request varies more than its target
//! latency allows.
//!
//! Stale or missing inputs: reports older than [`REPORT_LIFETIME`] do not count; without reports the
//! bound is the slots less the reserve. While no server is known, scorings are started one at a
//! time. A new leader starts without a fallen limit.

use std::time::Duration;
use wingshore_types::Instant;

/// Number of slots for each slot that is reserved for live requests.
const SLOTS_PER_RESERVED_SLOT: u32 = 6;
/// Fraction of answers above which late, refused and missing ones count as overload.
const OVERLOAD_FRACTION: f64 = 0.1;
/// Number of answers below which late, refused and missing ones do not count as overload.
const MIN_OVERLOAD_SIGNALS: u32 = 2;
/// Time over which answers are counted: the interval between two reports of a gateway.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(400);
/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.6;
/// Lower bound of the limit, in scorings: the limit adapts only when scorings end.
const MIN_LIMIT: f64 = 1.0;
/// Age at which a gateway's report no longer counts: three intervals between reports.
const REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// Time before the due time of a step from which its texts may use the reserve: some dozens of
/// scorings one after the other.
const URGENT_BEFORE_DUE: Duration = Duration::from_millis(1000);

/// The capacity of a service's servers, and its use by live requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScoringCapacity {
    /// Slots of the servers that are not draining.
    pub slots: u32,
    /// Live requests in flight at them.
    pub live_in_flight: u32,
}

impl ScoringCapacity {
    /// Returns how many scorings may be under way while the limit has not fallen.
    pub fn bound(self) -> u32 {
        let reserve = self.slots.div_ceil(SLOTS_PER_RESERVED_SLOT);
        self.urgent_bound().saturating_sub(reserve).max(1)
    }

    /// Returns how many scorings may be under way for a step that is nearly due.
    fn urgent_bound(self) -> u32 {
        self.slots.saturating_sub(self.live_in_flight).max(1)
    }
}

/// Answers of a service's servers, as gateways report them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScoringAnswers {
    /// Answers within their target latency.
    pub in_time: u32,
    /// Late answers, refusals and missing answers.
    pub overloaded: u32,
}

impl ScoringAnswers {
    fn show_overload(self) -> bool {
        let all = f64::from(self.in_time) + f64::from(self.overloaded);
        self.overloaded >= MIN_OVERLOAD_SIGNALS
            && f64::from(self.overloaded) > all * OVERLOAD_FRACTION
    }
}

/// The limit of scorings under way at the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct ScoringLimit {
    /// The fallen limit; `None` while only the capacity limits scorings.
    fallen: Option<f64>,
    /// Answers since the start of the observation period.
    observed: ScoringAnswers,
    period_started_at: Instant,
}

impl ScoringLimit {
    /// Returns how many scorings may be under way.
    pub fn allowed(&self, capacity: ScoringCapacity, is_urgent: bool) -> u32 {
        if is_urgent {
            return capacity.urgent_bound();
        }
        let bound = capacity.bound();
        self.fallen
            .map_or(bound, |fallen| bound.min(fallen as u32).max(1))
    }

    /// Adapts the limit to reported answers.
    pub fn record(&mut self, now: Instant, capacity: ScoringCapacity, answers: ScoringAnswers) {
        if now.since(self.period_started_at) > OBSERVATION_PERIOD {
            self.start_period(now);
        }
        self.observed.in_time = self.observed.in_time.saturating_add(answers.in_time);
        self.observed.overloaded = self.observed.overloaded.saturating_add(answers.overloaded);
        if self.observed.show_overload() {
            let current = f64::from(self.allowed(capacity, false));
            self.fallen = Some((current * DECREASE_FACTOR).max(MIN_LIMIT));
            return self.start_period(now);
        }
        self.rise(capacity, answers.in_time);
    }

    fn rise(&mut self, capacity: ScoringCapacity, in_time: u32) {
        let Some(fallen) = self.fallen else {
            return;
        };
        let risen = fallen + f64::from(in_time) / fallen;
        self.fallen = (risen < f64::from(capacity.bound())).then_some(risen);
    }

    fn start_period(&mut self, now: Instant) {
        self.period_started_at = now;
        self.observed = ScoringAnswers::default();
    }
}

/// Returns whether a report of a gateway still counts.
pub fn is_report_current(now: Instant, reported_at: Instant) -> bool {
    now.since(reported_at) <= REPORT_LIFETIME
}

/// Returns whether a step is so near to its due time that its texts may use the reserve.
pub fn is_urgent(now: Instant, due: Option<Instant>) -> bool {
    due.is_some_and(|due| now + URGENT_BEFORE_DUE >= due)
}

/// The position of a waiting text: the lowest one is scored first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScoringOrder {
    /// Whether the step has no due time: such texts come last.
    has_no_due_time: bool,
    due: Option<Instant>,
    waiting_since: Instant,
}

impl ScoringOrder {
    /// Returns the position of a text whose step is due at `due`.
    pub fn new(due: Option<Instant>, waiting_since: Instant) -> Self {
        Self {
            has_no_due_time: due.is_none(),
            due,
            waiting_since,
        }
    }
}
