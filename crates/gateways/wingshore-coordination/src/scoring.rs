//! Scoring: the call to a service whose answer is the score of a whole text, and the messages of
//! gateways and the leader about it.
//!
//! A score belongs to the text of one attempt: it is taken only for the text that the group holds, so
//! that a call made for another attempt's text never becomes its score.

use crate::ids::{AssignmentId, GatewayId, ItemId, ItemKey};
use crate::text::FinishedText;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wingshore_types::protocol::byte_vector;

/// The request that scores an item's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scorer {
    /// Identity of the request, chosen by the caller.
    pub request: ItemId,
    /// The host whose routes lead it.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    #[serde(with = "byte_vector")]
    pub body: Vec<u8>,
}

/// A whole text that has no score yet.
///
/// Invariant: `made_by` never changes while the item has this text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnscoredText {
    /// The attempt that made the text.
    pub made_by: AssignmentId,
    /// The text.
    pub text: FinishedText,
    /// Answers of scoring servers that they failed, over all processes and leaders.
    pub failures: u32,
}

/// A scoring for a gateway to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringAssignment {
    /// Names the scoring.
    pub scoring: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// The item's own identifier.
    pub id: ItemId,
    /// The attempt whose text is scored.
    pub made_by: AssignmentId,
    /// What is to be asked.
    pub scorer: Scorer,
}

/// A scoring that a gateway carries out, or whose end it has not reported yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningScoring {
    /// The scoring.
    pub scoring: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// The attempt whose text is scored.
    pub made_by: AssignmentId,
}

/// What came of a scoring.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScoringOutcome {
    /// The score.
    Scored(String),
    /// Scoring servers have run it and failed, this many times.
    Failed(u32),
    /// There is no score, and no server reported that it failed.
    NotScored(NotScoredReason),
}

/// Why there is no score.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotScoredReason {
    /// No route leads the request.
    NoRoute,
    /// No server took it.
    Refused,
    /// A server may have run it; no whole answer came in time.
    NoAnswer,
    /// The gateway stops.
    Stopping,
}

impl ScoringOutcome {
    /// What came of it, in words.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Failed(_) => "the scoring servers failed",
            Self::NotScored(NotScoredReason::NoRoute) => "no route leads to a scoring service",
            Self::NotScored(NotScoredReason::Refused) => "no scoring server took it",
            Self::NotScored(NotScoredReason::NoAnswer) => "no scoring server answered in time",
            Self::NotScored(NotScoredReason::Stopping) => "the gateway stops",
        }
    }
}

/// A decision about a scoring, as it is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoringDecision {
    /// A gateway carries a scoring out.
    Assigned {
        /// The scoring.
        scoring: AssignmentId,
        /// The item.
        item: ItemKey,
        /// The item's own identifier.
        id: ItemId,
        /// Identity of the request to the scoring service.
        request: ItemId,
        /// The gateway.
        gateway: GatewayId,
    },
    /// A scoring is over without a score.
    Retried {
        /// The scoring.
        scoring: AssignmentId,
        /// The item.
        item: ItemKey,
        /// What came of it.
        reason: &'static str,
        /// Failures of scoring servers so far.
        failures: u32,
        /// Until the next one.
        pause: Duration,
    },
}
