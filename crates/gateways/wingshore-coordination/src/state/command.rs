//! Changes of the replicated state, as the log holds them.

use super::earlier::{EarlierConfiguration, EarlierServer};
use super::orders::OrderHolder;
use crate::configuration::SiteConfiguration;
use crate::evidence::CrashEvidence;
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, JobId, ModelName};
use crate::jobs::{JobSubmission, ListedResult};
use crate::registry::ServerRecord;
use crate::scaling::CapacityPool;
use crate::text::{FinishedText, ItemText};
use crate::usage::{UsageCounts, UsageWindow, WindowUsage};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wingshore_types::{Epoch, ReplicaId};

/// A change of the replicated state. New kinds are added at the end: the codec counts them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// As [`Command::Configure`], as the release before wrote it.
    ConfigureEarlier(Arc<EarlierConfiguration>),
    /// As [`Command::Register`], as the release before wrote it.
    RegisterEarlier(EarlierServer),
    /// An incarnation of a server is over for good.
    Depart(InstanceId),
    /// A server has sent no heartbeat for too long; it may register again.
    Expire(InstanceId),
    /// A trainer has published a version.
    NameVersion {
        /// Of which model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Accepts a batch job; one that is known already stays as it is.
    AcceptJob(Arc<JobSubmission>),
    /// Lists a result; the first one of an item counts.
    ListResult {
        /// The job.
        job: JobId,
        /// The result.
        result: ListedResult,
    },
    /// Ends a batch job.
    EndJob(JobId),
    /// Removes an ended job that nobody may ask for any more.
    ForgetJob(JobId),
    /// Names who gives orders to engines from here on.
    HoldOrders(OrderHolder),
    /// Notes the name of a coordinator's machine.
    DescribeMember {
        /// The coordinator.
        member: ReplicaId,
        /// Its machine.
        node: String,
    },
    /// A coordinator is to leave the group for good.
    RetireMember {
        /// The coordinator.
        member: ReplicaId,
        /// Its machine.
        node: String,
    },
    /// Keeps the partial text of an item that is not listed yet.
    KeepText {
        /// The item.
        item: ItemKey,
        /// Events that it had before.
        after_events: u64,
        /// The events after them.
        text: ItemText,
    },
    /// Keeps the whole text of an item until it has a score; the first one of an item counts.
    KeepUnscored {
        /// The item.
        item: ItemKey,
        /// The attempt that made the text.
        made_by: AssignmentId,
        /// The text.
        text: FinishedText,
    },
    /// Lists an item with its score, if its text is the one of that attempt.
    ListScored {
        /// The item.
        item: ItemKey,
        /// The attempt whose text was scored.
        made_by: AssignmentId,
        /// The score.
        score: String,
    },
    /// Counts failures of scoring servers.
    CountScoringFailures {
        /// The item.
        item: ItemKey,
        /// The attempt whose text was to be scored.
        made_by: AssignmentId,
        /// How many.
        failures: u32,
    },
    /// The leadership that gives orders has held them for the time of a handover.
    SettleOrders(Epoch),
    /// Sets the key of the site's fingerprints, unless there is one.
    SetFingerprintKey(FingerprintKey),
    /// Servers have ended under requests.
    NoteCrashes(Vec<CrashEvidence>),
    /// No other server is to run these requests.
    RejectRequests(Vec<RequestFingerprint>),
    /// The oldest evidence against these requests counts no longer.
    RelieveRequests(Vec<RequestFingerprint>),
    /// No evidence against these requests counts any longer.
    ClearRequests(Vec<RequestFingerprint>),
    /// Keeps what a gateway that is gone had counted.
    KeepUsage {
        /// The gateway.
        gateway: GatewayId,
        /// Its totals.
        usage: Vec<WindowUsage>,
    },
    /// Fixes the report of a window; the first one counts.
    CloseUsageWindow {
        /// The window.
        window: UsageWindow,
        /// What is reported.
        counts: UsageCounts,
    },
    /// The provider has acknowledged the report of a window.
    UsageReported(UsageWindow),
    /// Sets the target number of servers of a pool.
    WantCapacity {
        /// Of which servers.
        pool: CapacityPool,
        /// How many.
        count: u32,
    },
    /// Puts a configuration in force, if its version is the highest.
    Configure(Arc<SiteConfiguration>),
    /// A server is new, or what the registry holds of it has changed.
    Register(ServerRecord),
}
