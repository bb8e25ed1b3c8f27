//! What is the next step of an engine's load: poll it, order it, wait, or give it up for a while?
//!
//! Inputs: the load's phase and attempts; the engine's reports of its versions, of an order under way
//! and of the count of orders it has taken; its answers to orders; the time.
//!
//! Rule: an engine is polled, and ordered where it neither is busy nor holds the version. After an order
//! that it accepted it is polled after `load_time`, a setting, and then each [`POLL_INTERVAL`] until it
//! holds the version. What stays without an answer is over after [`CALL_TIMEOUT`]. After
//! [`MAX_ATTEMPTS`] polls without an answer or orders without effect the engine is left out for
//! [`GIVE_UP_TIME`].
//!
//! Why: an order may be lost, be carried out late, or meet another leader's; the poll before each one
//! tells the count of orders under which it is carried out, so that a late one does nothing.
//!
//! Old or missing inputs: an answer that comes when it is no longer awaited changes nothing, but for the
//! versions that it names.

use crate::ids::ModelName;
use crate::registry::ModelVersion;
use std::time::Duration;
use wingshore_types::Instant;

/// Time between further polls of an engine that loads.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// An order or a poll without an answer is over after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Polls without an answer, or orders without effect, after which an engine is given up for a while.
const MAX_ATTEMPTS: u32 = 6;
/// How long an engine is left out then: twenty polls.
const GIVE_UP_TIME: Duration = Duration::from_secs(3);

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Its models and their versions.
    pub models: Vec<ModelVersion>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken.
    pub sequence: u64,
}

impl EngineStatus {
    fn version_of(&self, model: &ModelName) -> u64 {
        let mut models = self.models.iter();
        let known = models.find(|entry| entry.model == *model);
        known.map_or(0, |entry| entry.version)
    }
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Accepted,
    /// It holds already.
    AlreadyHeld,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// A higher fence was seen.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// No answer: it may be done, or be done later.
    Unknown,
}

impl OrderAnswer {
    /// The answer in a word.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyHeld => "already_held",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the engine may be loading weights by the order.
    pub(crate) fn may_load(self) -> bool {
        matches!(self, Self::Accepted | Self::Unknown)
    }
}

/// How far the loading of one engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It was polled, at this time.
    Polled(Instant),
    /// It was given an order, at this time.
    Ordered(Instant),
    /// It is to be polled from this time on.
    PollFrom(Instant),
    /// It is left out until this time.
    GivenUp(Instant),
}

/// The loading of one version by one engine.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    phase: Phase,
    attempts: u32,
}

/// What follows a report of an engine that loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportVerdict {
    /// Nothing now.
    Wait,
    /// It holds the version: the load is over.
    Reached,
    /// It is to be given the order, as the one behind those that it has taken.
    Order {
        /// Orders taken.
        sequence: u64,
    },
}

impl Load {
    /// An engine that is polled now is to load a version.
    pub(crate) fn begin(now: Instant, model: ModelName, version: u64) -> Self {
        Self {
            model,
            version,
            phase: Phase::Polled(now),
            attempts: 0,
        }
    }

    /// Whether it takes one of the places of loads under way.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::GivenUp(_))
    }

    /// Whether the engine was left out for long enough.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        matches!(self.phase, Phase::GivenUp(until) if now >= until)
    }

    /// Time has passed; says whether the engine is to be polled.
    pub(crate) fn on_time(&mut self, now: Instant) -> bool {
        let is_due = match self.phase {
            Phase::PollFrom(from) => now >= from,
            Phase::Polled(at) | Phase::Ordered(at) => now.since(at) >= CALL_TIMEOUT,
            Phase::GivenUp(_) => false,
        };
        if !is_due {
            return false;
        }
        if !matches!(self.phase, Phase::PollFrom(_)) {
            self.attempts += 1;
        }
        if self.attempts > MAX_ATTEMPTS {
            self.phase = Phase::GivenUp(now + GIVE_UP_TIME);
            return false;
        }
        self.phase = Phase::Polled(now);
        true
    }

    /// The engine has answered a poll, or has not.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        report: Option<&EngineStatus>,
    ) -> ReportVerdict {
        if !matches!(self.phase, Phase::Polled(_)) {
            return ReportVerdict::Wait;
        }
        let Some(report) = report else {
            self.attempts += 1;
            self.phase = Phase::PollFrom(now + POLL_INTERVAL);
            return ReportVerdict::Wait;
        };
        if report.busy {
            self.phase = Phase::PollFrom(now + POLL_INTERVAL);
            return ReportVerdict::Wait;
        }
        if report.version_of(&self.model) >= self.version {
            return ReportVerdict::Reached;
        }
        self.phase = Phase::Ordered(now);
        self.attempts += 1;
        let sequence = report.sequence;
        ReportVerdict::Order { sequence }
    }

    /// The engine has answered an order, or has not; an order that it accepted takes `load_time`.
    pub(crate) fn on_answer(&mut self, now: Instant, answer: OrderAnswer, load_time: Duration) {
        let wait = match answer {
            OrderAnswer::Accepted => load_time,
            OrderAnswer::AlreadyHeld | OrderAnswer::Conflict => Duration::ZERO,
            OrderAnswer::Unknown => POLL_INTERVAL,
            OrderAnswer::Fenced | OrderAnswer::Refused => CALL_TIMEOUT,
        };
        self.phase = Phase::PollFrom(now + wait);
    }
}
