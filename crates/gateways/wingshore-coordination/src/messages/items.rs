//! Attempts at items of batch jobs: what a gateway is given, and what it reports of them.

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
    /// Events of the item so far, also those of earlier attempts.
    pub events: u64,
}

/// An item that a gateway is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningItem {
    /// The attempt.
    pub assignment: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// The engine that runs it.
    pub instance: InstanceId,
}

/// An attempt at an item: everything that the gateway needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAssignment {
    /// Names the attempt.
    pub assignment: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// The item's own identifier, sent to the engine as the request's.
    pub request: ItemId,
    /// The engine.
    pub instance: InstanceId,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The host that the job named.
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
    /// How much of the item's text the group's log holds. Where that is more than `kept`, the
    /// attempt begins anew, and its events do not belong after those of the log.
    pub durable: DurablePrefix,
    /// The only version that may make the events; set where versions must not mix.
    pub expected_version: Option<u64>,
    /// Rank at the engine; 0 is the most urgent.
    pub priority: u8,
    /// What scores the text once it is whole.
    pub scorer: Option<Scorer>,
    /// Whether it is expected to be one of the longest of its job.
    pub is_long: bool,
}

/// Outcome of an attempt at an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The stream has ended whole.
    Finished(FinishedText),
    /// The stream broke off; what came before counts.
    Interrupted {
        /// All events so far, also those of earlier attempts.
        text: ItemText,
        /// What broke it off.
        cause: BreakCause,
    },
    /// The engine has not run it.
    NotRun(NotRunReason),
    /// The engine has run it and failed.
    Failed,
    /// The engine says that the item can never be done.
    Impossible,
}

/// What broke off an attempt at an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BreakCause {
    /// The gateway, which stops or was ordered to break off.
    Gateway,
    /// The engine, or the connection to it. Names what the item asks, unless it ran for so long that it is
    /// not what ends engines.
    Engine(Option<RequestFingerprint>),
}

/// Why an item was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The engine is full or loads weights.
    Full,
    /// The address belongs to another incarnation of a server, or the version differs.
    Mismatch,
    /// No connection came up.
    Unreachable,
    /// Nobody listens at its address.
    Ended,
    /// The gateway takes no items.
    Stopping,
    /// Servers have ended under what the item asks.
    Rejected,
}

impl ItemOutcome {
    /// The outcome in words, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::Interrupted { cause, .. } => match cause {
                BreakCause::Gateway => "the gateway broke off",
                BreakCause::Engine(_) => "the engine broke off",
            },
            Self::NotRun(NotRunReason::Full) => "the engine is full or loads weights",
            Self::NotRun(NotRunReason::Mismatch) => "another server or version is there",
            Self::NotRun(NotRunReason::Unreachable) => "no connection to the engine",
            Self::NotRun(NotRunReason::Ended) => "nobody listens at the engine's address",
            Self::NotRun(NotRunReason::Stopping) => "the gateway stops",
            Self::NotRun(NotRunReason::Rejected) => "servers have ended under it",
            Self::Failed => "the engine failed",
            Self::Impossible => "the engine says that it can never be done",
        }
    }
}
