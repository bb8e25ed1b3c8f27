//! Decides the next step of an engine's load: poll the engine, send the order, wait, or suspend the
//! load.
//!
//! Inputs: the load's phase and number of attempts; the engine's reports of its versions, of an
//! order in progress and of the number of orders that it has taken; its answers to orders; the
//! time.
//!
//! Rule: an engine is polled, and gets an order if it is not busy and does not hold the version.
//! After it accepts an order it is polled after `load_time`, a setting, and then every
//! [`POLL_INTERVAL`] until it holds the version. A call without an answer times out after
//! [`CALL_TIMEOUT`]. After [`MAX_ATTEMPTS`] polls without an answer or orders without effect, the
//! load is suspended for [`SUSPENSION_TIME`].
//!
//! Rationale: an order may be lost, be carried out late, or collide with an order of another
//! leader. The poll before each order returns the number of orders that the engine has taken. The
//! engine carries the order out only under that number, so a late order has no effect.
//!
//! Stale or missing inputs: an answer that is no longer awaited has no effect, except that the
//! versions it names are recorded.

use crate::ids::ModelName;
use crate::registry::ModelVersion;
use std::time::Duration;
use wingshore_types::Instant;

/// Time between further polls of a loading engine.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which an order or a poll without an answer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of polls without an answer, or orders without effect, after which a load is suspended.
const MAX_ATTEMPTS: u32 = 6;
/// Time for which the load of an engine is suspended: twenty polls.
const SUSPENSION_TIME: Duration = Duration::from_secs(3);

/// Status that an engine reports in answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Its models and their versions.
    pub models: Vec<ModelVersion>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that the engine has taken.
    pub sequence: u64,
}

impl EngineStatus {
    fn version_of(&self, model: &ModelName) -> u64 {
        let mut models = self.models.iter();
        let known = models.find(|entry| entry.model == *model);
        known.map_or(0, |entry| entry.version)
    }
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The engine holds the version already.
    AlreadyHeld,
    /// Another order is in progress, or the number of orders taken differs.
    Conflict,
    /// The engine has seen an order with a higher fencing token.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// There was no answer: the order may be carried out now, later or never.
    Unknown,
}

impl OrderAnswer {
    /// Returns the name of the answer.
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

    /// Returns whether the engine may be loading weights because of the order.
    pub(crate) fn may_load(self) -> bool {
        matches!(self, Self::Accepted | Self::Unknown)
    }
}

/// Phase of the load of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine was polled at this time.
    Polled(Instant),
    /// The engine was sent an order at this time.
    Ordered(Instant),
    /// The engine is to be polled from this time on.
    PollFrom(Instant),
    /// The load is suspended until this time.
    Suspended(Instant),
}

/// The load of one version by one engine.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    phase: Phase,
    attempts: u32,
}

/// Next step after a report of an engine that loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadStep {
    /// No step now.
    Wait,
    /// The engine holds the version; the load is complete.
    Reached,
    /// The order is to be sent, with the number of orders that the engine has taken.
    Order {
        /// Number of orders that the engine has taken.
        sequence: u64,
    },
}

impl Load {
    /// Creates the load for an engine that is being polled now.
    pub(crate) fn begin(now: Instant, model: ModelName, version: u64) -> Self {
        Self {
            model,
            version,
            phase: Phase::Polled(now),
            attempts: 0,
        }
    }

    /// Returns whether the load counts towards the limit of concurrent loads.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Suspended(_))
    }

    /// Returns whether the suspension of the load is over.
    pub(crate) fn is_suspension_over(&self, now: Instant) -> bool {
        matches!(self.phase, Phase::Suspended(until) if now >= until)
    }

    /// Advances the load to `now`; returns whether the engine is to be polled.
    pub(crate) fn on_time(&mut self, now: Instant) -> bool {
        let is_due = match self.phase {
            Phase::PollFrom(from) => now >= from,
            Phase::Polled(at) | Phase::Ordered(at) => now.since(at) >= CALL_TIMEOUT,
            Phase::Suspended(_) => false,
        };
        if !is_due {
            return false;
        }
        if !matches!(self.phase, Phase::PollFrom(_)) {
            self.attempts += 1;
        }
        if self.attempts > MAX_ATTEMPTS {
            self.phase = Phase::Suspended(now + SUSPENSION_TIME);
            return false;
        }
        self.phase = Phase::Polled(now);
        true
    }

    /// Processes the engine's answer to a poll; `None` if there was none.
    pub(crate) fn on_report(&mut self, now: Instant, report: Option<&EngineStatus>) -> LoadStep {
        if !matches!(self.phase, Phase::Polled(_)) {
            return LoadStep::Wait;
        }
        let Some(report) = report else {
            self.attempts += 1;
            self.phase = Phase::PollFrom(now + POLL_INTERVAL);
            return LoadStep::Wait;
        };
        if report.busy {
            self.phase = Phase::PollFrom(now + POLL_INTERVAL);
            return LoadStep::Wait;
        }
        if report.version_of(&self.model) >= self.version {
            return LoadStep::Reached;
        }
        self.phase = Phase::Ordered(now);
        self.attempts += 1;
        let sequence = report.sequence;
        LoadStep::Order { sequence }
    }

    /// Processes the engine's answer to an order. An accepted order takes `load_time`.
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
