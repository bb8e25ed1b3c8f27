//! What callers ask of the group, and its answers.

use crate::configuration::SiteConfiguration;
use crate::ids::{ItemId, JobId, ModelName, ServerName};
use crate::jobs::{JobPage, JobSubmission};
use crate::registry::Heartbeat;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::byte_vector;

/// A request to the group; only its leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Puts a configuration in force, if its version is the highest.
    PutConfiguration(Arc<SiteConfiguration>),
    /// The configuration in force.
    ReadConfiguration,
    /// A server reports its status.
    Heartbeat(Heartbeat),
    /// A server is gone, or about to end. It does not say which of its incarnations.
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
        /// The first position to be read.
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
    /// The kind of request, as a name for logs and metrics.
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

    /// What the request concerns, for logs.
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
    pub fn is_answer_logged(&self) -> bool {
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
    /// The request had no effect, for want of room; retry after this time.
    ComeBack(Duration),
}
