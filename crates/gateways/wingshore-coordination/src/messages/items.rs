//! Attempts at items of batch jobs: assignments to gateways, and their reports.

use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, InstanceId, ItemId, ItemKey};
use crate::scoring::Scorer;
use crate::text::{DurablePrefix, FinishedText, ItemText};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wingshore_types::protocol::byte_vector;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The attempt.
    pub assignment: AssignmentId,
    /// Number of the item's events so far, including those of earlier attempts.
    pub events: u64,
}

/// An item that a gateway is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningItem {
    /// The attempt.
    pub assignment: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// Engine that runs the item.
    pub instance: InstanceId,
}

/// An attempt at an item, with everything that the gateway needs to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAssignment {
    /// Identifier of the attempt.
    pub assignment: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// Identifier of the item within its job, sent to the engine as the request identifier.
    pub request: ItemId,
    /// Engine that runs the attempt.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Host that the job named.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[serde(with = "byte_vector")]
    pub body: Vec<u8>,
    /// Partial text of earlier attempts; the engine continues after it.
    pub kept: ItemText,
    /// Length of the item's text in the group's log. If that is longer than `kept`, the attempt
    /// starts over, and its events must not be appended to those in the log.
    pub durable: DurablePrefix,
    /// The only weight version that may generate the events; set if versions must not mix.
    pub expected_version: Option<u64>,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Scoring request for the complete text.
    pub scorer: Option<Scorer>,
    /// Whether the item is expected to be one of the longest of its job.
    pub is_long: bool,
}

/// Outcome of an attempt at an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The stream ended with a complete text.
    Finished(FinishedText),
    /// The stream was interrupted; the events before that count.
    Interrupted {
        /// All events so far, including those of earlier attempts.
        text: ItemText,
        /// Cause of the interruption.
        cause: BreakCause,
    },
    /// The engine did not run the item.
    NotRun(NotRunReason),
    /// The engine ran the item and failed.
    Failed,
    /// The engine reports that the item can never be completed.
    Impossible,
}

/// Cause of an interrupted attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BreakCause {
    /// The gateway, which is stopping or was ordered to abort the attempt.
    Gateway,
    /// The engine, or the connection to it. Contains the fingerprint of the request, unless the
    /// request had run for so long that it cannot be the cause of a crash.
    Engine(Option<RequestFingerprint>),
}

/// Reason why an item was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The engine is at capacity or loading weights.
    Full,
    /// The address belongs to another incarnation of a server, or the version differs.
    Mismatch,
    /// No connection could be established.
    Unreachable,
    /// Nothing listens at the engine's address.
    Ended,
    /// The gateway does not accept items.
    Stopping,
    /// Servers crashed while running the item. Only gateways of earlier builds refuse it for that.
    Rejected,
}

impl ItemOutcome {
    /// Returns the fingerprint of the item's request if its engine broke off early enough that the
    /// request may have been running when the engine crashed.
    pub fn possible_cause(&self) -> Option<RequestFingerprint> {
        match self {
            Self::Interrupted {
                cause: BreakCause::Engine(request),
                ..
            } => *request,
            _ => None,
        }
    }

    /// Returns a description of the outcome for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::Interrupted { cause, .. } => match cause {
                BreakCause::Gateway => "the gateway broke off",
                BreakCause::Engine(_) => "the engine broke off",
            },
            Self::NotRun(NotRunReason::Full) => "the engine is at capacity or loading weights",
            Self::NotRun(NotRunReason::Mismatch) => {
                "the address belongs to another server incarnation or weight version"
            }
            Self::NotRun(NotRunReason::Unreachable) => "cannot connect to the engine",
            Self::NotRun(NotRunReason::Ended) => "nothing listens at the engine's address",
            Self::NotRun(NotRunReason::Stopping) => "the gateway is stopping",
            Self::NotRun(NotRunReason::Rejected) => {
                "rejected: servers crashed while running the request"
            }
            Self::Failed => "the engine failed",
            Self::Impossible => "the engine reports that the item can never succeed",
        }
    }
}
