//! What gateways and coordinators say to each other, and what callers ask of the group.

use crate::configuration::SiteConfiguration;
use crate::evidence::CrashEvidence;
use crate::fingerprint::RequestFingerprint;
pub(crate) use crate::ids::AssignmentId;
use crate::ids::{GatewayId, InstanceId, ItemId, ItemKey, JobId, ModelName, ServerName};
use crate::jobs::{JobPage, JobSubmission};
use crate::registry::Heartbeat;
use crate::scoring::{RunningScoring, Scorer, ScoringAssignment, ScoringOutcome};
use crate::site_time::WallTime;
use crate::text::{DurablePrefix, FinishedText, HeldPrefix, ItemText};
use crate::usage::WindowUsage;
use crate::view::ViewUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::protocol::byte_vector;
use wingshore_types::{Epoch, LogIndex, ReplicaId};

/// A request to the group; only its leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Puts a configuration in force, if its version is the highest.
    PutConfiguration(Arc<SiteConfiguration>),
    /// The configuration in force.
    ReadConfiguration,
    /// A server tells its state.
    Heartbeat(Heartbeat),
    /// A server is gone, or about to end. It does not say which of its runs.
    Deregister(ServerName),
    /// A trainer has published a version.
    NameVersion {
        /// Of which model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Accepts a batch job durably.
    SubmitJob(Arc<JobSubmission>),
    /// Results of a batch job from a position on.
    ReadJob {
        /// The job.
        job: JobId,
        /// The first position wanted.
        from: u64,
        /// How long the answer may wait for a result.
        wait: Duration,
    },
    /// The body of an item that is not listed.
    ReadItem {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// Ends a batch job.
    EndJob(JobId),
    /// Notes the name of a coordinator's machine.
    DescribeMember {
        /// The coordinator.
        member: ReplicaId,
        /// Its machine.
        node: String,
    },
    /// Notes that a coordinator is to leave the group for good.
    RetireMember {
        /// The coordinator.
        member: ReplicaId,
        /// Its machine.
        node: String,
    },
}

impl Request {
    /// What is asked, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::PutConfiguration(_) => "put_configuration",
            Self::ReadConfiguration => "read_configuration",
            Self::Heartbeat(_) => "heartbeat",
            Self::Deregister(_) => "deregister",
            Self::NameVersion { .. } => "name_version",
            Self::SubmitJob(_) => "submit_job",
            Self::ReadJob { .. } => "read_job",
            Self::ReadItem { .. } => "read_item",
            Self::EndJob(_) => "end_job",
            Self::DescribeMember { .. } => "describe_member",
            Self::RetireMember { .. } => "retire_member",
        }
    }

    /// What the call is about, for logs.
    pub fn subject(&self) -> String {
        match self {
            Self::PutConfiguration(configuration) => format!("version {}", configuration.version),
            Self::ReadConfiguration => "configuration".to_owned(),
            Self::Heartbeat(heartbeat) => heartbeat.server.instance.to_string(),
            Self::Deregister(server) => server.to_string(),
            Self::NameVersion { model, version } => format!("{model} version {version}"),
            Self::SubmitJob(submission) => submission.id.to_string(),
            Self::ReadJob { job, .. } | Self::ReadItem { job, .. } | Self::EndJob(job) => {
                job.to_string()
            }
            Self::DescribeMember { node, .. } | Self::RetireMember { node, .. } => node.clone(),
        }
    }

    /// Whether each answer is worth a line of the log: calls of people and trainers, which are few.
    pub fn is_rare(&self) -> bool {
        matches!(
            self,
            Self::PutConfiguration(_) | Self::NameVersion { .. } | Self::RetireMember { .. }
        )
    }
}

/// The group's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// What was asked is durable, or was so before.
    Done,
    /// The configuration in force; `None` before the first one.
    Configuration(Option<Arc<SiteConfiguration>>),
    /// Results of a job.
    Page(JobPage),
    /// The body of an item.
    Item(#[serde(with = "byte_vector")] Vec<u8>),
    /// There is no such job, or no such item that is not listed.
    Unknown,
    /// The request cannot be carried out by anybody; says why.
    Refused(String),
    /// The request had no effect, for want of room; come back after this time.
    ComeBack(Duration),
}

/// First message of a gateway on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHello {
    /// The gateway's run.
    pub gateway: GatewayId,
    /// Name of its machine.
    pub node: String,
    /// Where clients reach it.
    pub front: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// As of now.
    pub status: GatewayStatus,
}

/// How far a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The try.
    pub assignment: AssignmentId,
    /// Events of the item so far, also those of earlier tries.
    pub events: u64,
}

/// An item that a gateway is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningItem {
    /// The try.
    pub assignment: AssignmentId,
    /// The item.
    pub item: ItemKey,
    /// The engine that runs it.
    pub instance: InstanceId,
}

/// What a gateway says again and again.
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
    /// Answer to a welcome: all that it has in hand, or whose end it has not told yet.
    Running {
        /// Tries at items.
        items: Vec<RunningItem>,
        /// Scorings.
        scorings: Vec<RunningScoring>,
    },
    /// How far the items are that run.
    Progress(Vec<ItemProgress>),
    /// The scorings that it has in hand.
    Scoring(Vec<AssignmentId>),
    /// Events of a long item that are to outlast this gateway and the leader.
    Keep {
        /// The try.
        assignment: AssignmentId,
        /// Events of the item that were kept before.
        after_events: u64,
        /// The events behind them.
        text: ItemText,
    },
    /// A request to the group, made for a caller.
    Call {
        /// Comes back with the reply.
        id: u64,
        /// What is asked.
        request: Request,
    },
    /// A try at an item is over.
    ItemEnded {
        /// Which try.
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
    /// Runs of requests under which servers had ended went well.
    RequestsRan(Vec<RequestFingerprint>),
    /// Asks the receiver to tell the view, and each change of it from here on.
    FollowView {
        /// The last entry of the log that the view of this gateway accounts for.
        since: Option<LogIndex>,
    },
    /// The receiver need not tell the view any more.
    LeaveView,
    /// Reads results of a job from the receiver's own copy of the state.
    ReadCopy {
        /// Comes back with the reply.
        id: u64,
        /// The job.
        job: JobId,
        /// The first position wanted.
        from: u64,
        /// How long the answer may wait for a result.
        wait: Duration,
    },
}

/// From a coordinator to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The coordinator leads: it gives out items, and answers calls.
    Leading {
        /// The leadership.
        epoch: Epoch,
    },
    /// What a gateway that follows the view here must know.
    View(ViewUpdate),
    /// Answer to a call.
    Reply {
        /// Which call.
        id: u64,
        /// The answer.
        reply: CallReply,
    },
    /// An item to run.
    Assign(Box<ItemAssignment>),
    /// A try is to be broken off: the item goes on elsewhere.
    Interrupt {
        /// Which try.
        assignment: AssignmentId,
    },
    /// A try is of no more use: one that runs is ended, one that has ended is forgotten.
    Release {
        /// Which try.
        assignment: AssignmentId,
    },
    /// How much of an item's text the group's log holds, for a try that a new leader has taken
    /// over: parts that were handed in to the leader before may be lost.
    HandInFrom {
        /// Which try.
        assignment: AssignmentId,
        /// What the log holds.
        held: HeldPrefix,
    },
    /// A text to be scored.
    Score(ScoringAssignment),
    /// A scoring is of no more use: one that is under way is ended, one that has ended is forgotten.
    ReleaseScoring {
        /// Which one.
        scoring: AssignmentId,
    },
    /// A sign of life.
    Alive {
        /// Where coordinators listen for the site's own processes, as far as this one knows; `None`
        /// if that is as it was told before on this link.
        coordinators: Option<Vec<SocketAddr>>,
        /// Where this one stands.
        zone: String,
        /// The last entry of the log in its copy of the state, which results and the view can be
        /// read from; `None` without a copy, or while it knows no leader.
        copy: Option<LogIndex>,
        /// Its time of day.
        wall: WallTime,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallReply {
    /// The group's answer.
    Reply(Reply),
    /// This coordinator does not lead; the call had no effect.
    NotLeader,
    /// Leadership was lost meanwhile; the call may or may not take effect.
    Unknown,
    /// This copy holds nothing that answers the call; the leader may.
    Nothing,
}

/// A try at an item: everything the gateway needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAssignment {
    /// Names the try.
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
    /// What earlier tries have left; the engine goes on behind it.
    pub kept: ItemText,
    /// How much of the item's text the group's log holds. Where that is more than `kept`, the
    /// attempt begins anew, and its events do not belong behind those of the log.
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

/// What came of a try at an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The stream has ended whole.
    Finished(FinishedText),
    /// The stream broke off; what came before counts.
    Interrupted {
        /// All events so far, also those of earlier tries.
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

/// What broke a try at an item off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BreakCause {
    /// The gateway, which stops or was told to.
    Gateway,
    /// The engine, or the way to it. Names what the item asks, unless it ran for so long that it is
    /// not what ends engines.
    Engine(Option<RequestFingerprint>),
}

/// Why an item was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The engine is full or loads weights.
    Full,
    /// The address belongs to another run of a server, or the version differs.
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
    /// What came of the try, in words.
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
