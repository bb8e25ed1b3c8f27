//! Independent checkers: each judges one promise, from the logs of the stand-ins alone.
//!
//! They own nothing and rely on [`crate::events`] only, so that a fleet and a simulation are judged
//! by the same code.

mod configuration;
mod exactly_once;
mod leaving;
mod no_repeat;
mod not_run;
mod orders;
mod planned_stop;
mod run_log;
mod staleness;
pub mod summary;
mod versions;
mod whole_answers;

pub use run_log::RunLog;

use crate::stand_ins::engine::length::LengthDistribution;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every sample names the weight versions that truly produced it.
    VersionsTrue,
    /// No delivered sample is older than the staleness bound.
    StalenessBound,
    /// Every sample reaches its trainer exactly once.
    ExactlyOnce,
    /// A caller receives the whole answer to its own request.
    WholeAnswers,
    /// A request refused as not run did not run.
    NotRunTrue,
    /// A request that must not be repeated runs at most once.
    NoRepeat,
    /// A leaving back end gets no new work after the bound.
    Leaving,
    /// A planned stop cuts nothing.
    PlannedStop,
    /// A configuration is in force everywhere within the limit and never reverts.
    Configuration,
    /// Engines take no order below one they have taken: the fence itself.
    OrdersFenced,
}

impl Promise {
    /// All promises, in the order in which they are reported.
    pub const ALL: [Self; 10] = [
        Self::VersionsTrue,
        Self::StalenessBound,
        Self::ExactlyOnce,
        Self::WholeAnswers,
        Self::NotRunTrue,
        Self::NoRepeat,
        Self::Leaving,
        Self::PlannedStop,
        Self::Configuration,
        Self::OrdersFenced,
    ];

    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::VersionsTrue => "versions_true",
            Self::StalenessBound => "staleness_bound",
            Self::ExactlyOnce => "exactly_once",
            Self::WholeAnswers => "whole_answers",
            Self::NotRunTrue => "not_run_true",
            Self::NoRepeat => "no_repeat",
            Self::Leaving => "leaving",
            Self::PlannedStop => "planned_stop",
            Self::Configuration => "configuration",
            Self::OrdersFenced => "orders_fenced",
        }
    }
}

/// One breach of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it shows, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What was found, and where.
    pub detail: String,
}

/// Bounds that the checkers judge by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How soon after leaving a back end gets nothing new.
    pub leaving: Duration,
    /// How soon an accepted configuration is in force everywhere.
    pub in_force: Duration,
    /// How long after a node was killed its caller may still see a cut answer.
    pub cut_after_kill: Duration,
    /// Length of generations, so that a cut one shows.
    pub lengths: LengthDistribution,
}

impl Limits {
    /// The bounds stated to users, with the lengths that the engines generate by.
    pub fn stated(lengths: LengthDistribution) -> Self {
        Self {
            leaving: Duration::from_secs(5),
            in_force: Duration::from_secs(8),
            cut_after_kill: Duration::from_secs(1),
            lengths,
        }
    }
}

/// Judges all promises.
pub fn check_all(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let mut violations = versions::check(log, limits);
    violations.extend(staleness::check(log));
    violations.extend(exactly_once::check(log));
    violations.extend(whole_answers::check(log, limits));
    violations.extend(not_run::check(log));
    violations.extend(no_repeat::check(log));
    violations.extend(leaving::check(log, limits));
    violations.extend(planned_stop::check(log, limits));
    violations.extend(configuration::check(log, limits));
    violations.extend(orders::check(log));
    violations
}

/// Number of violations of each promise that was broken.
pub fn count(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.promise.as_str()).or_insert(0) += 1;
    }
    counts
}
