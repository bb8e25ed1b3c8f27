//! Requests of callers to the group, and the group's replies.

use crate::configuration::SiteConfiguration;
use crate::ids::{ItemId, JobId, ModelName, ServerName};
use crate::jobs::{JobPage, JobSubmission};
use crate::registry::Heartbeat;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::byte_vector;

/// A request to the group; only the leader answers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Puts a configuration in force if its version is the highest.
    PutConfiguration(Arc<SiteConfiguration>),
    /// Reads the configuration in force.
    ReadConfiguration,
    /// Status report of a server.
    Heartbeat(Heartbeat),
    /// A server has stopped or is about to stop. The request does not say which of its
    /// incarnations.
    Deregister(ServerName),
    /// A trainer has published a weight version.
    NameVersion {
        /// Model of the version.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Submits a batch job; it is durable once accepted.
    SubmitJob(Arc<JobSubmission>),
    /// Reads results of a batch job from a position on.
    ReadJob {
        /// The job.
        job: JobId,
        /// First position to read.
        from: u64,
        /// Maximum time that the answer may wait for a result.
        wait: Duration,
    },
    /// Reads the body of an item that is not listed.
    ReadItem {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// Ends a batch job.
    EndJob(JobId),
    /// Records the name of a coordinator's machine.
    DescribeMember {
        /// The coordinator.
        member: ReplicaId,
        /// Name of its machine.
        node: String,
    },
    /// Records that a coordinator is to leave the group permanently.
    RetireMember {
        /// The coordinator.
        member: ReplicaId,
        /// Name of its machine.
        node: String,
    },
}

impl Request {
    /// Returns the kind of the request, as a name for logs and metrics.
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

    /// Returns the subject of the request, for logs.
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

    /// Returns the item that the request is about, for logs.
    pub fn item(&self) -> Option<&ItemId> {
        match self {
            Self::ReadItem { item, .. } => Some(item),
            _ => None,
        }
    }

    /// Returns whether each answer is logged: calls of operators and trainers, which are rare.
    pub fn is_answer_logged(&self) -> bool {
        matches!(
            self,
            Self::PutConfiguration(_) | Self::NameVersion { .. } | Self::RetireMember { .. }
        )
    }
}

/// The group's reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The requested change is durable, or was already.
    Done,
    /// The configuration in force; `None` before the first one.
    Configuration(Option<Arc<SiteConfiguration>>),
    /// A page of results of a job.
    Page(JobPage),
    /// The body of an item.
    Item(#[serde(with = "byte_vector")] Vec<u8>),
    /// There is no such job, or no such unlisted item.
    Unknown,
    /// The request cannot be carried out; contains the reason.
    Refused(String),
    /// The request had no effect for lack of space; retry after this time.
    ComeBack(Duration),
}
