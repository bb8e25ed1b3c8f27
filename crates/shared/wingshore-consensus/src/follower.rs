//! Handling of appends and heartbeats by a follower.
//!
//! A follower appends entries that continue its log, replaces a tail that conflicts with the
//! leader's log, and acknowledges only durable entries.

use crate::entry::{CodecError, Entry};
use crate::interface::Output;
use crate::message::{AppendRejection, AppendRequest, Body, HeartbeatRequest};
use crate::raft::Raft;
use crate::role::Role;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{LogIndex, ReplicaId};

impl Raft {
    /// Handles an append request of the current term's leader.
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        request: AppendRequest,
        out: &mut Vec<Output>,
    ) {
        if !self.log.matches(request.prev_index, request.prev_term) {
            return self.reject_append(from, &request, out);
        }
        let Some(last_sent) = last_consecutive(&request) else {
            return;
        };
        for entry in request.entries {
            if self.accept_entry(entry, out).is_err() {
                return;
            }
        }
        self.verified_index = self.verified_index.max(last_sent);
        self.acknowledgement_pending = true;
        self.advance_commit(request.commit_index.min(self.verified_index), out);
    }

    fn reject_append(&self, from: ReplicaId, request: &AppendRequest, out: &mut Vec<Output>) {
        let (hint_index, hint_term) = self
            .log
            .last_with_term_at_most(request.prev_index, request.prev_term);
        let rejection = AppendRejection {
            rejected_index: request.prev_index,
            hint_index,
            hint_term,
            last_index: self.log.last_index(),
        };
        self.send(from, Body::AppendRejected(rejection), out);
    }

    /// Appends one entry. Skips an entry that is already in the log, and truncates a conflicting
    /// tail.
    fn accept_entry(&mut self, entry: Entry, out: &mut Vec<Output>) -> Result<(), CodecError> {
        if self.log.matches(entry.index, entry.term) || entry.index <= self.commit_index {
            return Ok(());
        }
        let membership = entry.decode_membership()?;
        if entry.index <= self.log.last_index() {
            self.truncate_from(entry.index, out);
        }
        let index = entry.index;
        self.log.append(entry);
        if let Some(membership) = membership {
            self.membership_appended(index, membership, out);
        }
        Ok(())
    }

    fn truncate_from(&mut self, index: LogIndex, out: &mut Vec<Output>) {
        self.log.truncate_from(index);
        self.persistence.truncated_from(index);
        if self.members.truncate_from(index) {
            let membership = self.members.current().clone();
            out.push(Output::MembershipChanged(membership));
        }
    }

    /// Applies a membership, which takes effect as soon as it is appended to the log.
    pub(crate) fn membership_appended(
        &mut self,
        index: LogIndex,
        membership: Membership,
        out: &mut Vec<Output>,
    ) {
        self.enroll(&membership);
        self.members.append(index, membership.clone());
        out.push(Output::MembershipChanged(membership));
    }

    /// Marks this member as enrolled if `membership` names it as a learner: a learner starts with
    /// an empty log, so it may vote once it is promoted.
    pub(crate) fn enroll(&mut self, membership: &Membership) {
        let is_learner = membership
            .learners
            .iter()
            .any(|member| member.id == self.id);
        if is_learner && !self.enrolled {
            self.enrolled = true;
            self.persistence.hard_state_changed();
        }
    }

    /// Answers a heartbeat once the current term is durable.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: ReplicaId,
        request: HeartbeatRequest,
        out: &mut Vec<Output>,
    ) {
        let matches = self.log.matches(request.commit_index, request.commit_term);
        if matches {
            self.verified_index = self.verified_index.max(request.commit_index);
            self.advance_commit(request.commit_index, out);
        }
        let body = Body::HeartbeatReply {
            round: request.round,
            needs_log: !matches,
        };
        self.send_when_durable(from, body, out);
    }

    /// Acknowledges the entries accepted since the last acknowledgement, if all of them are
    /// durable.
    pub(crate) fn acknowledge_when_complete(&mut self, out: &mut Vec<Output>) {
        let complete = self.durable_verified_index() == self.verified_index;
        if self.acknowledgement_pending && complete && self.persistence.hard_state_is_durable() {
            self.acknowledgement_pending = false;
            self.send_acknowledgement(out);
        }
    }

    /// Acknowledges the accepted entries that are durable, if some are not durable yet.
    pub(crate) fn acknowledge_partly(&mut self, out: &mut Vec<Output>) {
        let complete = self.durable_verified_index() == self.verified_index;
        if self.acknowledgement_pending && !complete && self.persistence.hard_state_is_durable() {
            self.send_acknowledgement(out);
        }
    }

    fn send_acknowledgement(&self, out: &mut Vec<Output>) {
        let Role::Follower = self.role else {
            return;
        };
        if let Some(leader) = self.leader {
            let match_index = self.durable_verified_index();
            self.send(leader, Body::AppendAccepted { match_index }, out);
        }
    }

    /// Returns the last entry that is known to equal the leader's and is durable on this member.
    fn durable_verified_index(&self) -> LogIndex {
        if self.faults.acknowledge_without_persist {
            return self.verified_index;
        }
        self.verified_index.min(self.persistence.persisted_index())
    }
}

/// Returns the index of the last entry of the request, or `prev_index` if the request has none.
/// Returns `None` if the entries are not consecutive.
fn last_consecutive(request: &AppendRequest) -> Option<LogIndex> {
    let mut last = request.prev_index;
    for entry in &request.entries {
        if entry.index.0 != last.0 + 1 {
            return None;
        }
        last = entry.index;
    }
    Some(last)
}
