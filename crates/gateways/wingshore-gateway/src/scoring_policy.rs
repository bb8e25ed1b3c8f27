//! Decision: how many scorings may run at a service's servers, what is the outcome of a scoring's
//! request, and what does it say about the load of the servers?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The slots of the service's servers; how the attempts ended; whether the answer
//! arrived within the target latency of its route; the signature that carries the score.
//!
//! **Rule.** A gateway uses at most half of the slots, within a limit that adapts
//! ([`limit`](crate::limit)). A refusal, a late answer and a missing answer count as overload; a
//! server that reports a failure does not. A success without a score counts as no answer.
//!
//! **Why.** The texts of a step end at about the same time: without a limit all their scorings
//! would be queued ahead of live requests at the same servers.
//!
//! **Old or missing inputs.** While no servers are known, scorings are started one at a time.

use crate::attempts::AttemptHistory;
use crate::limit::LoadSignal;
use wingshore_coordination::{NotScoredReason, ScoringOutcome};

/// Slots of a service per scoring of this gateway: the rest is left for other gateways.
const SLOTS_PER_SCORING: usize = 2;

/// Returns how many scorings may run at servers with this total number of slots.
pub fn max_scorings(slots: u32) -> usize {
    slots as usize / SLOTS_PER_SCORING
}

/// The end of a scoring's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScoringEnd {
    /// The outcome of the scoring.
    pub outcome: ScoringOutcome,
    /// What the request shows about the load of the servers.
    pub signal: LoadSignal,
}

/// Returns the end of a scoring by an answer that is not a failure; `score` is the signature of a
/// successful answer.
pub fn end_with_answer(
    score: Option<String>,
    history: AttemptHistory,
    is_in_time: bool,
) -> ScoringEnd {
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

/// Returns the end of a scoring that no server answered, or that failed at every server that
/// answered.
pub fn end_without_answer(history: AttemptHistory) -> ScoringEnd {
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
