//! Scoring: requests to a service whose response is the score of a complete text, and the messages
//! of gateways and the leader about them.
//!
//! A score belongs to the text of one attempt: it is accepted only for the text that the group has
//! stored, so that the score of another attempt's text is never recorded for it.

use crate::ids::{AssignmentId, GatewayId, ItemId, ItemKey, ServiceName};
use crate::text::FinishedText;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wingshore_types::protocol::byte_vector;

/// The request that scores an item's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scorer {
    /// Identifier of the request, chosen by the caller.
    pub request: ItemId,
    /// Host by which the request is routed.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    #[serde(with = "byte_vector")]
    pub body: Vec<u8>,
}

/// A complete text that has no score yet.
///
/// Invariant: `made_by` never changes while the item has this text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnscoredText {
    /// Attempt that generated the text.
    pub made_by: AssignmentId,
    /// The text.
    pub text: FinishedText,
    /// Number of failures reported by scoring servers, across all processes and leaders.
    pub failures: u32,
}

/// A scoring assigned to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringAssignment {
    /// Identifier of the scoring.
    pub scoring: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// Identifier of the item within its job.
    pub id: ItemId,
    /// Attempt whose text is scored.
    pub made_by: AssignmentId,
    /// Request to send.
    pub scorer: Scorer,
}

/// A scoring that a gateway is running, or whose result the gateway has not reported yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningScoring {
    /// The scoring.
    pub scoring: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// Attempt whose text is scored.
    pub made_by: AssignmentId,
}

/// Outcome of a scoring.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScoringOutcome {
    /// The score.
    Scored(String),
    /// Scoring servers ran the request and failed, this many times.
    Failed(u32),
    /// There is no score, and no server reported a failure.
    NotScored(NotScoredReason),
}

/// Why there is no score.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotScoredReason {
    /// No route matches the request.
    NoRoute,
    /// No server accepted the request.
    Refused,
    /// A server may have run the request; no complete response arrived in time.
    NoAnswer,
    /// The gateway is stopping.
    Stopping,
}

impl ScoringOutcome {
    /// Returns a description of the outcome for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Failed(_) => "the scoring servers failed",
            Self::NotScored(NotScoredReason::NoRoute) => "no route leads to a scoring service",
            Self::NotScored(NotScoredReason::Refused) => "no scoring server took it",
            Self::NotScored(NotScoredReason::NoAnswer) => "no scoring server answered in time",
            Self::NotScored(NotScoredReason::Stopping) => "the gateway is stopping",
        }
    }
}

/// A decision about a scoring, for the decision log.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoringDecision {
    /// A scoring is assigned to a gateway.
    Assigned {
        /// The scoring.
        scoring: AssignmentId,
        /// The item.
        item: ItemKey,
        /// Identifier of the item within its job.
        id: ItemId,
        /// Identifier of the request to the scoring service.
        request: ItemId,
        /// The gateway.
        gateway: GatewayId,
    },
    /// A scoring ended without a score and will be retried.
    Retried {
        /// The scoring.
        scoring: AssignmentId,
        /// The item.
        item: ItemKey,
        /// Why there is no score.
        reason: &'static str,
        /// Number of failures of scoring servers so far.
        failures: u32,
        /// Delay before the next scoring.
        pause: Duration,
    },
    /// The scorings of a service since its last summary.
    Summary {
        /// The service.
        service: ServiceName,
        /// Number of scorings that may be under way.
        limit: u32,
        /// Number of texts that wait for a scoring.
        waiting: usize,
        /// Number of scorings granted.
        granted: u64,
        /// Number of scorings that no server accepted or answered in time.
        refused: u64,
        /// Longest time that a text waited.
        longest_wait: Duration,
    },
}
