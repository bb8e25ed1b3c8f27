//! Commands that are proposed and not applied yet, and what follows once each is.

use super::turn::Outputs;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, JobId};
use crate::scaling::CapacityPool;
use crate::state::Command;
use crate::usage::UsageWindow;
use std::collections::HashMap;
use wingshore_types::machine::{LeaderOutput, ProposalTag, RequestTag};

/// What follows once a command is applied.
pub(crate) enum FollowUp {
    /// A request is answered with [`Reply::Done`](crate::messages::Reply::Done).
    Request(RequestTag),
    /// A configuration comes into force.
    Configuration(RequestTag),
    /// What the registry holds of a server has changed.
    Server(InstanceId, Option<RequestTag>),
    /// A job was accepted: its items can be placed.
    Job(JobId, RequestTag),
    /// An ended job was forgotten.
    JobForgotten(JobId),
    /// A result was listed: readers may wait for it, and the gateway keeps it until then.
    Result {
        job: JobId,
        finished: Option<(GatewayId, AssignmentId)>,
    },
    /// A text was made durable before its score: the gateway keeps it until then.
    TextKept {
        gateway: GatewayId,
        made_by: AssignmentId,
    },
    /// A score was committed: the gateway keeps it until then.
    Scored {
        item: ItemKey,
        finished: (GatewayId, AssignmentId),
    },
    /// Failures of scoring servers were counted: the gateway keeps them until then.
    ScoringCounted {
        gateway: GatewayId,
        scoring: AssignmentId,
    },
    /// Nothing.
    Nothing,
    /// Orders may be given from here on.
    Orders,
    /// More servers have ended under requests: some may be rejected.
    CrashesNoted(Vec<RequestFingerprint>),
    /// Evidence against requests has changed.
    Evidence(Vec<RequestFingerprint>),
    /// A version was named.
    Version(RequestTag),
    /// The counts of a window were committed.
    UsageClosed(UsageWindow),
    /// The number of servers in a pool was committed.
    CapacityWanted(CapacityPool),
}

/// All proposals of this leadership that are not applied yet.
#[derive(Default)]
pub(crate) struct Proposals {
    next: u64,
    open: HashMap<ProposalTag, FollowUp>,
}

impl Proposals {
    /// Proposes a command.
    pub(crate) fn add(&mut self, command: Command, follow_up: FollowUp, out: &mut Outputs) {
        let tag = ProposalTag(self.next);
        self.next += 1;
        self.open.insert(tag, follow_up);
        out.push(LeaderOutput::Propose { tag, command });
    }

    /// What follows a proposal that is applied; `None` for one of another leadership.
    pub(crate) fn take(&mut self, tag: ProposalTag) -> Option<FollowUp> {
        self.open.remove(&tag)
    }
}
