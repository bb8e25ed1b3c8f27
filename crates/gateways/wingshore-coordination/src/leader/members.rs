//! Data of the group about its own members: names of their machines, and members to be removed.

use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::messages::Reply;
use crate::state::Command;
use wingshore_types::ReplicaId;
use wingshore_types::machine::RequestTag;

impl CoordinationLeader {
    /// Records the name of a member's machine.
    pub(super) fn describe_member(
        &mut self,
        tag: RequestTag,
        member: ReplicaId,
        node: String,
        turn: &mut Turn<'_>,
    ) {
        if turn.state.member_nodes().get(&member) == Some(&node) {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::DescribeMember { member, node };
        self.propose(command, FollowUp::Request(tag), turn);
    }

    /// Records that a member is to be removed permanently.
    pub(super) fn retire_member(
        &mut self,
        tag: RequestTag,
        member: ReplicaId,
        node: String,
        turn: &mut Turn<'_>,
    ) {
        if turn.state.retired_members().get(&node) == Some(&member) {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::RetireMember { member, node };
        self.propose(command, FollowUp::Request(tag), turn);
    }
}
