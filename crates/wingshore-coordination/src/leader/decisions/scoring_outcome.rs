//! What follows the end of a scoring: is the score taken, is it asked for again and when, is the item
//! abandoned?
//!
//! Inputs: what the gateway says came of the scoring; failures of scoring servers that the group has
//! counted for the item, over all gateways and leaders; how many the scorer's route allows; scorings in
//! a row without a score.
//!
//! Rule: a score is taken. Failures count; with as many as the route allows the item is abandoned.
//! Everything else is asked for again, after [`INITIAL_BACKOFF`], twice as long each time,
//! [`MAX_BACKOFF`] at the most.
//!
//! Why: a refusal or a lost answer says nothing about the text; only an answer that the scoring failed does.
//!
//! Measured: neither backoff is.
//!
//! Old or missing inputs: a new leader begins the backoff anew; failures stand in the log. The end of a
//! scoring that this leader does not know is ignored.

use crate::scoring::ScoringOutcome;
use std::time::Duration;
use wingshore_types::doubled_pause;

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

/// What follows the end of a scoring of an item with so many `failures` before.
pub(crate) fn verdict(outcome: ScoringOutcome, failures: u32, max_failures: u32) -> Verdict {
    match outcome {
        ScoringOutcome::Scored(score) => Verdict::Take(score),
        ScoringOutcome::NotScored(_) => Verdict::Retry {
            counted: None,
            failures,
        },
        ScoringOutcome::Failed(counted) => {
            let failures = failures.saturating_add(counted);
            if failures >= max_failures {
                return Verdict::Abandon;
            }
            Verdict::Retry {
                counted: Some(counted),
                failures,
            }
        }
    }
}

/// How long until a score is asked for again after so many scorings in a row without one.
pub(crate) fn backoff(scorings_before: u32) -> Duration {
    doubled_pause(INITIAL_BACKOFF, scorings_before, MAX_BACKOFF)
}
