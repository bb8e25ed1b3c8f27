//! Decides what follows the end of a scoring: whether the score is accepted, whether and when the
//! scoring is retried, and whether the item is abandoned.
//!
//! Inputs: the outcome that the gateway reports; the number of failures of scoring servers that the
//! group has counted for the item, over all gateways and leaders; the limit of the scorer's route;
//! the number of consecutive scorings without a score.
//!
//! Rule: a score is accepted. Failures are counted, and the item is abandoned when their number
//! reaches the limit of the route. Every other outcome is retried after [`INITIAL_BACKOFF`],
//! doubled each time up to [`MAX_BACKOFF`]. Failures of a scoring that an earlier leader assigned
//! are counted only as far as they exceed the number counted already.
//!
//! Rationale: a refusal or a lost answer says nothing about the text; only the answer that the
//! scoring failed does. A gateway repeats its report to the next leader until one confirms it, and
//! an earlier leader may have counted it already. If failures were counted twice, an item would be
//! abandoned before the limit of its route. If the earlier leader had counted another scoring, this
//! rule counts too few failures, and the score is requested at most once more.
//!
//! Stale or missing inputs: a new leader restarts the backoff; the number of failures is in the
//! log. The end of a scoring that this leader does not know is ignored.

use crate::scoring::ScoringOutcome;
use std::time::Duration;
use wingshore_types::doubled_backoff;

/// Backoff after the first scoring without a score.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Reason for abandoning an item.
pub(crate) const FAILED_TOO_OFTEN: &str = "its scoring failed as often as the route allows";

/// Consequence of the end of a scoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The score is accepted.
    Take(String),
    /// The scoring is retried.
    Retry {
        /// Number of failures to be counted, if scoring servers reported any.
        counted: Option<u32>,
        /// Total number of failures, including these.
        failures: u32,
    },
    /// The item is abandoned.
    Abandon,
}

/// Number of failures of scoring servers for an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failures {
    /// Number of failures that the group has counted so far.
    pub(crate) counted: u32,
    /// Number of failures at which the item is abandoned.
    pub(crate) max: u32,
    /// Whether an earlier leader assigned the scoring that has ended, so that its failures may be
    /// counted already.
    pub(crate) may_include_reported: bool,
}

impl Failures {
    /// Returns how many of the failures that a scoring reports are not counted yet.
    fn uncounted(self, reported: u32) -> u32 {
        if self.may_include_reported {
            reported.saturating_sub(self.counted)
        } else {
            reported
        }
    }
}

/// Returns the consequence of the end of a scoring.
pub(crate) fn next_step(outcome: ScoringOutcome, known: Failures) -> NextStep {
    let reported = match outcome {
        ScoringOutcome::Scored(score) => return NextStep::Take(score),
        ScoringOutcome::NotScored(_) => {
            return NextStep::Retry {
                counted: None,
                failures: known.counted,
            };
        }
        ScoringOutcome::Failed(reported) => known.uncounted(reported),
    };
    let failures = known.counted.saturating_add(reported);
    if failures >= known.max {
        return NextStep::Abandon;
    }
    NextStep::Retry {
        counted: (reported > 0).then_some(reported),
        failures,
    }
}

/// Returns the backoff after `scorings_before` consecutive scorings without a score.
pub(crate) fn backoff(scorings_before: u32) -> Duration {
    doubled_backoff(INITIAL_BACKOFF, scorings_before, MAX_BACKOFF)
}
