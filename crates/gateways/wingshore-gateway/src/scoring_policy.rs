//! Decision: how many scorings may be at a service's servers, what did the end of a scoring's request
//! bring, and what does it say about the load of the servers?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The slots of the service's servers; how the attempts ended; whether the answer came
//! within the target latency of its route; the signature that bears the score.
//!
//! **Rule.** A gateway has at most half of the slots, within a limit that adapts
//! ([`limit`](crate::limit)). A refusal, a late answer and none at all are overload; a server that says
//! that it failed is not. A success without a score is no score.
//!
//! **Why.** A step's texts end together: all their scorings at once would stand before live requests to
//! the same servers.
//!
//! **Old or missing inputs.** Without known servers one scoring at a time is begun.

use crate::attempts::AttemptHistory;
use crate::limit::LoadSignal;
use wingshore_coordination::{NotScoredReason, ScoringOutcome};

/// One of so many slots of a service is for this gateway's scorings at the most: other gateways need
/// some too.
const SLOTS_PER_SCORING: usize = 2;

/// How many scorings may be at servers that have so many slots together.
pub fn max_scorings(slots: u32) -> usize {
    slots as usize / SLOTS_PER_SCORING
}

/// The end of a scoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScoringEnd {
    /// What came of it.
    pub outcome: ScoringOutcome,
    /// What it says about the load of the servers.
    pub signal: LoadSignal,
}

/// The end of a scoring by an answer that is no failure; `score` is the signature of a success.
pub fn answered(score: Option<String>, history: AttemptHistory, is_in_time: bool) -> ScoringEnd {
    let outcome = match score {
        Some(score) => ScoringOutcome::Scored(score),
        None => ScoringOutcome::NotScored(NotScoredReason::NoAnswer),
    };
    let signal = if is_in_time && history.refusals == 0 {
        LoadSignal::InTime
    } else {
        LoadSignal::Overload
    };
    ScoringEnd { outcome, signal }
}

/// The end of a scoring that no server has answered, or that all failed.
pub fn given_up(history: AttemptHistory) -> ScoringEnd {
    let (outcome, signal) = match history.internal_errors {
        0 if history.may_have_run => (
            ScoringOutcome::NotScored(NotScoredReason::NoAnswer),
            LoadSignal::Overload,
        ),
        0 => (
            ScoringOutcome::NotScored(NotScoredReason::Refused),
            LoadSignal::Overload,
        ),
        failures => (ScoringOutcome::Failed(failures), LoadSignal::None),
    };
    ScoringEnd { outcome, signal }
}
