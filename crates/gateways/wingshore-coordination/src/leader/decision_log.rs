//! Decisions of the leader as they are logged: the inputs of each decision and its outcome.

use super::decisions::moves::MoveReason;
use crate::evidence::Suspect;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemId, JobId, ModelName};
use crate::jobs::NoBody;
use crate::scaling::CapacityPool;
use crate::scoring::ScoringDecision;
use crate::usage::UsageWindow;
use std::time::Duration;
use wingshore_types::Epoch;

impl Decision {
    /// Returns the request that the decision is about if everything went well; log lines about such
    /// decisions may be sampled by it. `None` for decisions that are always logged.
    pub fn sampling_id(&self) -> Option<&ItemId> {
        match self {
            Self::ItemAssigned { item, .. }
            | Self::ItemListed { item, .. }
            | Self::ItemBodyRead { item, .. } => Some(item),
            Self::Scoring(ScoringDecision::Assigned { id, .. }) => Some(id),
            _ => None,
        }
    }
}

/// A decision of the leader, with the data that its log line shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A batch job was accepted.
    JobAccepted {
        /// The job; its identifier names the tenant.
        job: JobId,
        /// Number of its items.
        items: usize,
        /// The trainer's step.
        step: u64,
        /// The model.
        model: Option<ModelName>,
        /// The oldest model version that may generate its tokens.
        min_version: u64,
        /// The newest named version of the model.
        named_version: u64,
    },
    /// A batch job was refused because open jobs fill the memory set aside for them.
    JobRefused {
        /// The job.
        job: JobId,
        /// Size of its contents in bytes.
        bytes: usize,
        /// Size of all open jobs in bytes.
        open_bytes: usize,
        /// Limit for the size of all open jobs, in bytes.
        most_bytes: usize,
        /// Time after which the caller may submit it again.
        retry_after: Duration,
    },
    /// A batch job cannot be whole by the time it is due any more.
    JobLate {
        /// The job.
        job: JobId,
        /// Number of its items that wait for an engine.
        waiting: usize,
        /// Time until it is due, in milliseconds; negative once it is overdue.
        due_in_ms: i64,
    },
    /// The caller ended a batch job.
    JobEnded {
        /// The job.
        job: JobId,
        /// Number of its items.
        items: usize,
        /// Number of its listed results.
        listed: usize,
        /// Number of running attempts that are ended with it.
        running: usize,
    },
    /// An item was assigned to an engine and a gateway.
    ItemAssigned {
        /// The attempt.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// The engine.
        instance: InstanceId,
        /// Number of items that run on the engine, including this one.
        engine_running: usize,
        /// Model version that the engine has loaded, or a lower bound of it.
        engine_version: u64,
        /// Recently measured time between two events on the engine when it runs one item, in
        /// microseconds.
        engine_pace_us: Option<u64>,
        /// Whether the item is classified as long.
        is_long: bool,
        /// Class of urgency by which it was placed.
        urgency: &'static str,
        /// Time since its job was accepted.
        age: Duration,
        /// The gateway that runs it.
        gateway: GatewayId,
        /// The last event of earlier attempts, after which this one continues.
        after_event: Option<u64>,
    },
    /// An attempt ended without a usable result.
    ItemRetried {
        /// The attempt.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
        /// The engine.
        instance: InstanceId,
        /// Why the attempt ended.
        reason: &'static str,
    },
    /// An item is moved to a faster engine.
    ItemMoved {
        /// The attempt that is interrupted.
        assignment: AssignmentId,
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
        /// The engine that is too slow.
        instance: InstanceId,
        /// The engine that is expected to end the item earliest. Placement decides anew.
        target: InstanceId,
        /// Why it moves.
        reason: MoveReason,
        /// Expected time until the item ends without the move.
        ends_here_in: Duration,
        /// Expected time until it ends with the move.
        ends_there_in: Duration,
        /// Time until the item's step can end at the earliest.
        step_ends_in: Duration,
    },
    /// A result was committed.
    ItemListed {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Position of the result in the job's list.
        position: u64,
        /// Model versions that generated it.
        versions: Vec<u64>,
        /// Time since this leader learned of the job.
        age: Duration,
    },
    /// A read of an item's body was answered.
    ItemBodyRead {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// The leadership in which it was answered.
        epoch: Epoch,
        /// Length of the returned body in bytes, or why there is none.
        body_bytes: Result<usize, NoBody>,
    },
    /// A decision about a scoring.
    Scoring(ScoringDecision),
    /// An item was abandoned.
    ItemAbandoned {
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
        /// Why.
        reason: &'static str,
    },
    /// The registry's record of a server changed.
    ServerChanged {
        /// The server.
        instance: InstanceId,
        /// The new status: registered, draining or gone.
        change: &'static str,
    },
    /// A trainer named a version.
    VersionNamed {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// An engine has loaded a named version.
    VersionReached {
        /// The engine.
        instance: InstanceId,
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// A server crashed while it processed a request; the crash may count against the request.
    RequestSuspected {
        /// The request.
        request: RequestFingerprint,
        /// The incarnation of the server that crashed.
        instance: InstanceId,
        /// The gateway that observed the crash.
        gateway: GatewayId,
        /// Number of servers of the service that crashed together, including this one.
        ended_together: usize,
        /// How many of them were processing the request.
        under_request: usize,
        /// Number of earlier crashes that counted against the request.
        ended_before: usize,
        /// Whether this crash counts against the request.
        counted: bool,
    },
    /// A request is rejected from now on, because too many servers crashed while they processed it.
    RequestRejected(Suspect),
    /// A suspect request may run once, at one server.
    TrialGranted {
        /// Fingerprint of the request.
        request: RequestFingerprint,
        /// The server.
        instance: InstanceId,
        /// The gateway that runs it.
        gateway: GatewayId,
        /// Number of servers that had crashed under the request before.
        crashed_before: usize,
    },
    /// A trial counts as a crash of its server.
    TrialCrashed {
        /// Fingerprint of the request.
        request: RequestFingerprint,
        /// The server.
        instance: InstanceId,
    },
    /// A trial neither cleared the request nor counts against it.
    TrialReverted {
        /// Fingerprint of the request.
        request: RequestFingerprint,
        /// Why.
        reason: &'static str,
    },
    /// A request is no longer suspected.
    RequestCleared {
        /// The request.
        request: RequestFingerprint,
        /// Why.
        reason: &'static str,
    },
    /// The wanted number of servers of a pool changed.
    CapacityWanted {
        /// The pool.
        pool: CapacityPool,
        /// The wanted number.
        count: u32,
        /// The previous number; `None` if there was none.
        before: Option<u32>,
        /// Recent maximum of simultaneously open items.
        open_items: usize,
    },
    /// The counts of a usage window are final.
    UsageClosed {
        /// The window.
        window: UsageWindow,
        /// Number of tenants with requests in the window.
        tenants: usize,
        /// Number of requests of all tenants in the window.
        requests: u64,
    },
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: u64,
    },
}
