//! Proposed commands that are not applied yet, and the action that follows each.

use super::turn::Outputs;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, JobId};
use crate::scaling::CapacityPool;
use crate::state::Command;
use crate::usage::UsageWindow;
use std::collections::HashMap;
use wingshore_types::machine::{LeaderOutput, ProposalTag, RequestTag};

/// Action that follows once a proposed command is applied.
pub(crate) enum FollowUp {
    /// Answer the request with [`Reply::Done`](crate::messages::Reply::Done).
    Request(RequestTag),
    /// Put the new configuration in force and answer the request.
    ConfigurationApplied(RequestTag),
    /// Update the tables for a server whose registry record changed, and answer the request if any.
    ServerChanged(InstanceId, Option<RequestTag>),
    /// Start to place the items of an accepted job, and answer the request.
    JobAccepted(JobId, RequestTag),
    /// Drop the times recorded for an ended job that the state has forgotten.
    JobForgotten(JobId),
    /// Answer waiting readers of a job with a newly listed result, and release the attempt: its
    /// gateway keeps the result until it is committed.
    ResultListed {
        job: JobId,
        finished: Option<(GatewayId, AssignmentId)>,
    },
    /// Release the attempt whose unscored text is now durable; its gateway kept the text until
    /// then.
    UnscoredTextStored {
        gateway: GatewayId,
        made_by: AssignmentId,
    },
    /// Handle a committed score: the gateway of the scoring kept it until then.
    Scored {
        item: ItemKey,
        finished: (GatewayId, AssignmentId),
    },
    /// Release a scoring whose failures are now counted: its gateway kept them until then.
    ScoringFailuresCounted {
        gateway: GatewayId,
        scoring: AssignmentId,
    },
    /// Do nothing.
    Nothing,
    /// Start to give orders to engines: the claim to do so is committed.
    OrdersClaimed,
    /// Check whether these requests are to be rejected: more servers crashed during them.
    CrashesRecorded(Vec<RequestFingerprint>),
    /// Update the leader's data for requests whose evidence changed.
    EvidenceChanged(Vec<RequestFingerprint>),
    /// Grant the trial of this request: its run is committed as a crash.
    TrialRecorded(RequestFingerprint),
    /// Close the trial of this request, whose result is committed.
    TrialSettled(RequestFingerprint),
    /// Answer the request that named a version, and start the rollout.
    VersionNamed(RequestTag),
    /// Send the report of a window whose counts are now committed.
    UsageClosed(UsageWindow),
    /// Order the number of servers that was committed for a pool.
    CapacityCommitted(CapacityPool),
}

/// All proposals of this leader that are not applied yet.
#[derive(Default)]
pub(crate) struct Proposals {
    next: u64,
    open: HashMap<ProposalTag, FollowUp>,
}

impl Proposals {
    /// Proposes a command and remembers its follow-up.
    pub(crate) fn add(&mut self, command: Command, follow_up: FollowUp, out: &mut Outputs) {
        let tag = ProposalTag(self.next);
        self.next += 1;
        self.open.insert(tag, follow_up);
        out.push(LeaderOutput::Propose { tag, command });
    }

    /// Removes and returns the follow-up of an applied proposal; `None` if it was proposed in
    /// another epoch.
    pub(crate) fn take(&mut self, tag: ProposalTag) -> Option<FollowUp> {
        self.open.remove(&tag)
    }
}
