//! Commands that change the replicated state, as stored in the log.

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

/// A change of the replicated state. New variants are appended, since the codec identifies variants
/// by their position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// [`Command::Configure`] in the form written by the previous release.
    ConfigureEarlier(Arc<EarlierConfiguration>),
    /// [`Command::Register`] in the form written by the previous release.
    RegisterEarlier(EarlierServer),
    /// An incarnation of a server has ended permanently.
    Depart(InstanceId),
    /// A server has missed its heartbeats for too long; it may register again.
    Expire(InstanceId),
    /// A trainer has published a weight version.
    NameVersion {
        /// Model of the version.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Accepts a batch job; a job that is already known stays unchanged.
    AcceptJob(Arc<JobSubmission>),
    /// Lists a result; the first result of an item counts.
    ListResult {
        /// The job.
        job: JobId,
        /// The result.
        result: ListedResult,
    },
    /// Ends a batch job.
    EndJob(JobId),
    /// Removes an ended job whose retention is over.
    ForgetJob(JobId),
    /// Sets the holder that gives orders to engines from this entry on.
    HoldOrders(OrderHolder),
    /// Records the name of a coordinator's machine.
    DescribeMember {
        /// The coordinator.
        member: ReplicaId,
        /// Name of its machine.
        node: String,
    },
    /// A coordinator is to leave the group permanently.
    RetireMember {
        /// The coordinator.
        member: ReplicaId,
        /// Name of its machine.
        node: String,
    },
    /// Stores a part of the partial text of an unlisted item.
    KeepText {
        /// The item.
        item: ItemKey,
        /// Number of events stored before.
        after_events: u64,
        /// Events that follow `after_events`.
        text: ItemText,
    },
    /// Stores the complete text of an item until it has a score; the first text of an item counts.
    KeepUnscored {
        /// The item.
        item: ItemKey,
        /// Attempt that generated the text.
        made_by: AssignmentId,
        /// The text.
        text: FinishedText,
    },
    /// Lists an item with its score, if the stored text is the one of that attempt.
    ListScored {
        /// The item.
        item: ItemKey,
        /// Attempt whose text was scored.
        made_by: AssignmentId,
        /// The score.
        score: String,
    },
    /// Counts failures of scoring servers.
    CountScoringFailures {
        /// The item.
        item: ItemKey,
        /// Attempt whose text was to be scored.
        made_by: AssignmentId,
        /// Number of failures.
        failures: u32,
    },
    /// The leadership that gives orders has been the holder for the duration of a handover.
    SettleOrders(Epoch),
    /// Sets the key of the site's fingerprints, unless one is set.
    SetFingerprintKey(FingerprintKey),
    /// Servers crashed while they ran requests.
    NoteCrashes(Vec<CrashEvidence>),
    /// Rejects these requests: no other server runs them.
    RejectRequests(Vec<RequestFingerprint>),
    /// Expires the oldest evidence against each of these requests.
    RelieveRequests(Vec<RequestFingerprint>),
    /// Clears all evidence against these requests.
    ClearRequests(Vec<RequestFingerprint>),
    /// Stores the counts of a gateway that is gone.
    KeepUsage {
        /// The gateway.
        gateway: GatewayId,
        /// Totals of the gateway.
        usage: Vec<WindowUsage>,
    },
    /// Closes a window with its final counts; the first command for a window counts.
    CloseUsageWindow {
        /// The window.
        window: UsageWindow,
        /// Counts to report.
        counts: UsageCounts,
    },
    /// The provider has acknowledged the report of a window.
    UsageReported(UsageWindow),
    /// Sets the target number of servers of a pool.
    WantCapacity {
        /// Pool of servers.
        pool: CapacityPool,
        /// Number of servers.
        count: u32,
    },
    /// Puts a configuration in force if its version is the highest.
    Configure(Arc<SiteConfiguration>),
    /// Registers a server, or changes its record.
    Register(ServerRecord),
}
