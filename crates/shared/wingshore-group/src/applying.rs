//! Applying committed entries and restoring snapshots.

use crate::host::Host;
use crate::interface::{HostError, HostOutput, HostReply};
use crate::pending::Proposal;
use wingshore_consensus::{Entry, EntryKind};
use wingshore_types::machine::{LeaderMachine, ReplicatedState};
use wingshore_types::protocol::membership::MembershipReply;
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::stored;
use wingshore_types::{Instant, LogIndex};

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Applies a committed entry and reports the result to its proposer.
    ///
    /// Proposals are kept only during the leadership that made them, and a leader never overwrites
    /// its own log. The entry at the index of a proposal is therefore that proposal.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        entry: &Entry,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        self.snapshots.record_applied(entry.size());
        let proposal = self.proposals.remove(&entry.index);
        match entry.kind {
            EntryKind::Empty => {}
            EntryKind::Command => {
                let command = decode_command::<L>(entry)?;
                let reply = self.state.apply(entry.index, command);
                if let Some(Proposal::Machine(tag)) = proposal {
                    self.machine_applied(now, tag, reply, out)?;
                }
            }
            EntryKind::Membership => {
                if let Some(Proposal::Membership(tag)) = proposal {
                    self.membership_applied(now, tag, out);
                }
            }
        }
        self.start_leader_when_ready(now, entry.term, out)
    }

    fn membership_applied(
        &mut self,
        now: Instant,
        tag: wingshore_types::machine::RequestTag,
        out: &mut Vec<HostOutput<L>>,
    ) {
        let reply = if self.raft.holds_lease(now) {
            HostReply::Membership(MembershipReply::Done)
        } else {
            HostReply::Unknown
        };
        out.push(HostOutput::Reply { tag, reply });
    }

    /// Replaces the replicated state by the state in a snapshot.
    pub(crate) fn restore(
        &mut self,
        index: LogIndex,
        snapshot: &SnapshotState,
    ) -> Result<(), HostError> {
        // Drops the old state before reading the new one: memory may not suffice for both.
        self.state = L::State::default();
        (self.machines.prepare)(&mut self.state);
        let mut reader = snapshot.reader().map_err(|error| HostError::Restore {
            index,
            message: error.to_string(),
        })?;
        let restored = self.state.restore_from(&mut reader);
        restored.map_err(|error| HostError::Restore {
            index,
            message: error.message,
        })?;
        (self.machines.prepare)(&mut self.state);
        self.snapshots.record_snapshot(snapshot.length());
        Ok(())
    }
}

fn decode_command<L: LeaderMachine>(
    entry: &Entry,
) -> Result<<L::State as ReplicatedState>::Command, HostError> {
    stored::decode(&entry.data).map_err(|source| HostError::Command {
        index: entry.index,
        source,
    })
}
