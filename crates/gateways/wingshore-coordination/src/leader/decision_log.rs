//! What the leader decides, as it is logged: the inputs of each decision and its outcome.

use crate::evidence::Suspect;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemId, JobId, ModelName};
use crate::scaling::CapacityPool;
use crate::scoring::ScoringDecision;
use crate::usage::UsageWindow;

impl Decision {
    /// The request that the decision is about, where it went well: lines about such ones may be
    /// sampled.
    pub fn sampled_by(&self) -> Option<&ItemId> {
        match self {
            Self::ItemAssigned { item, .. } | Self::ItemListed { item, .. } => Some(item),
            Self::Scoring(ScoringDecision::Assigned { id, .. }) => Some(id),
            _ => None,
        }
    }
}

/// A decision of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A batch job was accepted.
    JobAccepted {
        /// The job, and with it whose it is.
        job: JobId,
        /// Its items.
        items: usize,
        /// Step of the trainer.
        step: u64,
        /// The model.
        model: Option<ModelName>,
        /// The oldest version that may make its tokens.
        min_version: u64,
        /// The newest named version of the model.
        named_version: u64,
    },
    /// A batch job was refused: memory has no room for it now.
    JobRefused {
        /// The job.
        job: JobId,
        /// Its bytes.
        bytes: usize,
        /// Bytes of the jobs that are open.
        open_bytes: usize,
        /// The most that open jobs may have together.
        most_bytes: usize,
    },
    /// The caller has ended a batch job.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its items.
        items: usize,
        /// Results that are listed.
        listed: usize,
        /// Attempts that are ended with it.
        running: usize,
    },
    /// An item was placed.
    ItemAssigned {
        /// The attempt.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// The engine.
        instance: InstanceId,
        /// Items that run there, this one too.
        engine_running: usize,
        /// Version that the engine holds at least.
        engine_version: u64,
        /// Time from event to event there with one item, in microseconds, as measured lately.
        engine_pace_us: Option<u64>,
        /// Whether it counts as a long one.
        is_long: bool,
        /// The gateway that runs it.
        gateway: GatewayId,
        /// The last event of earlier attempts.
        after_event: Option<u64>,
    },
    /// An attempt was over without a whole result.
    ItemRetried {
        /// The attempt.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// The item's place in the job.
        index: u32,
        /// The engine.
        instance: InstanceId,
        /// What came of the attempt.
        reason: &'static str,
    },
    /// An item goes on at a faster engine.
    ItemMoved {
        /// The attempt that is broken off.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// The item's place in the job.
        index: u32,
        /// The engine that is too slow.
        instance: InstanceId,
    },
    /// A result is committed.
    ItemListed {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Its position in the job.
        position: u64,
        /// Versions that made it.
        versions: Vec<u64>,
        /// Time since the job was known here.
        age: std::time::Duration,
    },
    /// About a scoring.
    Scoring(ScoringDecision),
    /// An item was abandoned.
    ItemAbandoned {
        /// The job.
        job: JobId,
        /// The item's place in the job.
        index: u32,
        /// Why.
        reason: &'static str,
    },
    /// What the registry holds of a server has changed.
    ServerChanged {
        /// The server.
        instance: InstanceId,
        /// How: registered, draining, gone.
        change: &'static str,
    },
    /// A trainer has named a version.
    VersionNamed {
        /// Of which model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// An engine holds a named version.
    VersionReached {
        /// The engine.
        instance: InstanceId,
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// A server has ended under a request, which may count against it.
    RequestSuspected {
        /// The request.
        request: RequestFingerprint,
        /// The incarnation of the server.
        instance: InstanceId,
        /// The gateway that saw it.
        gateway: GatewayId,
        /// Servers of the service that ended together, this one too.
        ended_together: usize,
        /// Those of them that the request stood on.
        under_request: usize,
        /// Endings that counted against the request before.
        ended_before: usize,
        /// Whether it counts.
        counted: bool,
    },
    /// So many servers have ended under a request that it is rejected from now on.
    RequestRejected(Suspect),
    /// A request is let off.
    RequestCleared {
        /// The request.
        request: RequestFingerprint,
        /// Why.
        reason: &'static str,
    },
    /// Another number of servers is wanted.
    CapacityWanted {
        /// Of which servers.
        pool: CapacityPool,
        /// How many.
        count: u32,
        /// The number wanted before.
        before: Option<u32>,
        /// The most items that were open at once lately.
        open_items: usize,
    },
    /// The counts of a window of usage are fixed.
    UsageClosed {
        /// The window.
        window: UsageWindow,
        /// Tenants with requests in it.
        tenants: usize,
        /// Requests of all of them.
        requests: u64,
    },
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: u64,
    },
}
