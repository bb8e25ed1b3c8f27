//! What follows the end of a scoring: is the score taken, is it asked for again and when, is the item
//! abandoned?
//!
//! Inputs: what the gateway says came of the scoring; failures of scoring servers that the group has
//! counted for the item, over all gateways and leaders; how many the scorer's route allows; scorings in
//! a row without a score.
//!
//! Rule: a score is taken. Failures count; with as many as the route allows the item is abandoned.
//! Everything else is asked for again, after [`INITIAL_BACKOFF`], twice as long each time,
//! [`MAX_BACKOFF`] at the most. Failures of a scoring that an earlier leader assigned count only as far
//! as they exceed those counted already.
//!
//! Why: a refusal or a lost answer says nothing about the text; only an answer that the scoring failed does.
//! A gateway repeats its report to the next leader until one confirms it, and an earlier leader may have
//! counted it: counted twice, an item is abandoned before its route says so. Where the earlier leader
//! had counted another scoring, this counts too few, and the score is asked for once more at the most.
//!
//! Old or missing inputs: a new leader begins the backoff anew; failures stand in the log. The end of a
//! scoring that this leader does not know is ignored.

use crate::scoring::ScoringOutcome;
use std::time::Duration;
use wingshore_types::doubled_backoff;

/// Backoff after the first scoring without a score.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Why an item is abandoned.
pub(crate) const FAILED_TOO_OFTEN: &str = "its scoring failed as often as the route allows";

/// What follows the end of a scoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// This is the score.
    Take(String),
    /// It is asked for again.
    Retry {
        /// Failures that are to be counted, where scoring servers said that they failed.
        counted: Option<u32>,
        /// Failures over all, with these.
        failures: u32,
    },
    /// The item is abandoned.
    Abandon,
}

/// Failures of scoring servers for an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failures {
    /// Those that the group has counted so far.
    pub(crate) counted: u32,
    /// With as many the item is abandoned.
    pub(crate) max: u32,
    /// Whether an earlier leader assigned the scoring that has ended, and may have counted its failures.
    pub(crate) may_include_these: bool,
}

impl Failures {
    /// Of those that a scoring reports, the ones that are not counted yet.
    fn not_counted(self, reported: u32) -> u32 {
        if self.may_include_these {
            reported.saturating_sub(self.counted)
        } else {
            reported
        }
    }
}

/// What follows the end of a scoring.
pub(crate) fn verdict(outcome: ScoringOutcome, known: Failures) -> Verdict {
    let reported = match outcome {
        ScoringOutcome::Scored(score) => return Verdict::Take(score),
        ScoringOutcome::NotScored(_) => {
            return Verdict::Retry {
                counted: None,
                failures: known.counted,
            };
        }
        ScoringOutcome::Failed(reported) => known.not_counted(reported),
    };
    let failures = known.counted.saturating_add(reported);
    if failures >= known.max {
        return Verdict::Abandon;
    }
    Verdict::Retry {
        counted: (reported > 0).then_some(reported),
        failures,
    }
}

/// How long until a score is asked for again after so many scorings in a row without one.
pub(crate) fn backoff(scorings_before: u32) -> Duration {
    doubled_backoff(INITIAL_BACKOFF, scorings_before, MAX_BACKOFF)
}
