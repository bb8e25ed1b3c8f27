//! Messages from gateways to coordinators.

use super::group::Request;
use super::items::{ItemOutcome, ItemProgress, RunningItem};
use super::load_reports::{MeasuredPace, ScoringLoad};
use super::trials::{OpenTrial, TrialEnd, TrialRequest};
use crate::evidence::CrashEvidence;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, JobId};
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
    /// Incarnation of the gateway.
    pub gateway: GatewayId,
    /// Name of the gateway's machine.
    pub node: String,
    /// Address on which clients reach the gateway.
    pub front: SocketAddr,
    /// Zone of the gateway.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Current status.
    pub status: GatewayStatus,
}

/// The status that a gateway reports periodically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Whether clients may be directed to the gateway.
    pub ready: bool,
    /// Whether the gateway accepts items to run.
    pub takes_items: bool,
    /// Version of the configuration that the gateway uses; 0 without one.
    pub configuration: u64,
}

/// A server crash that a gateway observed while the server ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedCrash {
    /// The request and the server.
    pub evidence: CrashEvidence,
    /// Time since the connection to the server was lost.
    pub ago: Duration,
}

/// A message from a gateway to a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// Current status.
    Status(GatewayStatus),
    /// Answer to [`crate::CoordinatorMessage::Leading`]: all attempts and scorings that the gateway
    /// is running, or whose end it has not reported yet.
    Running {
        /// Attempts at items.
        items: Vec<RunningItem>,
        /// Scorings.
        scorings: Vec<RunningScoring>,
    },
    /// Progress of the running items.
    Progress(Vec<ItemProgress>),
    /// Scorings that the gateway is running.
    Scoring(Vec<AssignmentId>),
    /// Events of a long item, uploaded so that they survive the loss of this gateway and of the
    /// leader.
    Keep {
        /// The attempt.
        assignment: AssignmentId,
        /// Number of the item's events that were uploaded before.
        after_events: u64,
        /// Events that follow `after_events`.
        text: ItemText,
    },
    /// A request to the group on behalf of a caller.
    Call {
        /// Request identifier, returned with the reply.
        id: u64,
        /// The request.
        request: Request,
    },
    /// An attempt at an item has ended.
    ItemEnded {
        /// Identifier of the attempt.
        assignment: AssignmentId,
        /// The item.
        item: ItemKey,
        /// Outcome of the attempt.
        outcome: ItemOutcome,
    },
    /// A scoring has ended.
    ScoringEnded {
        /// Identifier of the scoring.
        scoring: AssignmentId,
        /// Outcome of the scoring.
        outcome: ScoringOutcome,
    },
    /// Servers crashed while they ran requests.
    RequestsCrashed(Vec<ObservedCrash>),
    /// Requests that started, as this gateway's totals of the open windows.
    Usage(Vec<WindowUsage>),
    /// Requests whose attempts succeeded, although servers had crashed while running them before.
    RequestsRan(Vec<RequestFingerprint>),
    /// Subscribes to the view: the receiver sends the view and each later change of it.
    FollowView {
        /// Index of the last log entry that this gateway's view reflects.
        since: Option<LogIndex>,
    },
    /// Unsubscribes from the view.
    LeaveView,
    /// Reads results of a job from the receiver's own copy of the state.
    ReadCopy {
        /// Request identifier, returned with the reply.
        id: u64,
        /// The job.
        job: JobId,
        /// First position to read.
        from: u64,
        /// Maximum time that the answer may wait for a result.
        wait: Duration,
    },
    /// Subscribes to the list of ready gateways: the receiver sends the list and each later change
    /// of it. Since [`LOAD_REPORTS_FORMAT`](super::LOAD_REPORTS_FORMAT), like the variants below.
    FollowGateways,
    /// What was observed at scoring services since the previous report.
    ScoringLoad(Vec<ScoringLoad>),
    /// To a new leader: the paces of engines that the gateway measured.
    EnginePaces(Vec<MeasuredPace>),
    /// How much work the gateway can carry, relative to other gateways.
    Weight(u32),
    /// Servers crashed that may still have been running requests whose attempts the gateway had
    /// ended. Since [`TRIALS_FORMAT`](super::TRIALS_FORMAT), like the variants below.
    RequestsMayHaveCrashed(Vec<ObservedCrash>),
    /// Asks for a trial of a suspect request.
    AskTrial(TrialRequest),
    /// A trial has ended.
    TrialEnded {
        /// Fingerprint of the request.
        request: RequestFingerprint,
        /// The server that the trial was granted for.
        instance: InstanceId,
        /// How it ended.
        end: TrialEnd,
    },
    /// To a new leader: the trials that were granted to the gateway and have not ended.
    OpenTrials(Vec<OpenTrial>),
}
