//! Messages from gateways to coordinators.

use super::group::Request;
use super::items::{ItemOutcome, ItemProgress, RunningItem};
use crate::evidence::CrashEvidence;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, ItemKey, JobId};
use crate::scoring::{RunningScoring, ScoringOutcome};
use crate::text::ItemText;
use crate::usage::WindowUsage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::LogIndex;

/// First message of a gateway on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHello {
    /// The gateway's incarnation.
    pub gateway: GatewayId,
    /// Name of its machine.
    pub node: String,
    /// Where clients reach it.
    pub front: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// As of now.
    pub status: GatewayStatus,
}

/// The status that a gateway reports again and again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Whether clients may be sent to it.
    pub ready: bool,
    /// Whether it takes items to run.
    pub takes_items: bool,
    /// Version of the configuration it acts by; 0 without one.
    pub configuration: u64,
}

/// A gateway has seen a server end under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenCrash {
    /// The request and the server.
    pub evidence: CrashEvidence,
    /// How long ago its connection was lost.
    pub ago: Duration,
}

/// From a gateway to a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// As of now.
    Status(GatewayStatus),
    /// Answer to [`crate::CoordinatorMessage::Leading`]: all that the gateway carries out, or whose end it
    /// has not reported yet.
    Running {
        /// Attempts at items.
        items: Vec<RunningItem>,
        /// Scorings.
        scorings: Vec<RunningScoring>,
    },
    /// Progress of the items that run.
    Progress(Vec<ItemProgress>),
    /// The scorings that it carries out.
    Scoring(Vec<AssignmentId>),
    /// Events of a long item that are to survive the loss of this gateway and of the leader.
    Keep {
        /// The attempt.
        assignment: AssignmentId,
        /// Events of the item that were uploaded before.
        after_events: u64,
        /// The events after them.
        text: ItemText,
    },
    /// A request to the group, made for a caller.
    Call {
        /// Returned with the reply.
        id: u64,
        /// What is asked.
        request: Request,
    },
    /// An attempt at an item is over.
    ItemEnded {
        /// Which attempt.
        assignment: AssignmentId,
        /// The item.
        item: ItemKey,
        /// What came of it.
        outcome: ItemOutcome,
    },
    /// A scoring is over.
    ScoringEnded {
        /// Which one.
        scoring: AssignmentId,
        /// What came of it.
        outcome: ScoringOutcome,
    },
    /// Servers have ended while they ran requests.
    RequestsCrashed(Vec<SeenCrash>),
    /// Requests that began to run, as totals of this gateway for windows that are open.
    Usage(Vec<WindowUsage>),
    /// Attempts of requests under which servers had ended went well.
    RequestsRan(Vec<RequestFingerprint>),
    /// Asks the receiver to send the view, and each change of it from here on.
    FollowView {
        /// The last entry of the log that the view of this gateway accounts for.
        since: Option<LogIndex>,
    },
    /// The receiver need not send the view any more.
    LeaveView,
    /// Reads results of a job from the receiver's own copy of the state.
    ReadCopy {
        /// Returned with the reply.
        id: u64,
        /// The job.
        job: JobId,
        /// The first position to be read.
        from: u64,
        /// How long the answer may wait for a result.
        wait: Duration,
    },
}
