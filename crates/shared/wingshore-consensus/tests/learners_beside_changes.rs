//! Adding a learner that lacks the state while a change of voters is uncommitted.
//!
//! Guards against a slow start of a member with an empty disk: it once received the state only
//! seconds after its start on a machine with slow disks, because the addition of a learner waited,
//! like a change of voters, until each previous membership change was committed. A learner changes
//! no quorum, so it need not wait. In these tests nothing is committed any more, and the new member
//! still receives the state.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::member;
use wingshore_consensus::{ChangeError, ChangeOutcome, Raft};
use wingshore_types::{LogIndex, ReplicaId};

/// Number of founding members.
const VOTERS: u64 = 5;
/// Nodes with empty disks.
const JOINERS: [u64; 2] = [12, 13];
/// A member must have the state within this time of its start with an empty disk.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(6);

/// A cluster of five members, of which two have lost their disks.
struct Fixture {
    cluster: Cluster,
    leader: u64,
    failed_voters: Vec<u64>,
    /// The followers that still run.
    remaining_followers: Vec<u64>,
    committed: LogIndex,
}

impl Fixture {
    fn new() -> Result<Self> {
        let mut cluster = Cluster::new(VOTERS, 1);
        let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
        verify_that!(
            cluster.run_until(Duration::from_secs(5), has_leader),
            eq(true)
        )?;
        let leader = cluster.ready_leader().or_fail()?;
        for number in 0..40_u64 {
            cluster.propose(leader, &number.to_be_bytes())?;
        }
        cluster.run(Duration::from_secs(1));
        let mut remaining_followers: Vec<u64> = (1..=VOTERS).filter(|id| *id != leader).collect();
        let failed_voters = remaining_followers.split_off(2);
        for id in &failed_voters {
            cluster.crash(*id, 0);
        }
        for id in JOINERS {
            cluster.add_node(id, false, VOTERS);
        }
        let committed = cluster.raft(leader).commit_index();
        Ok(Self {
            cluster,
            leader,
            failed_voters,
            remaining_followers,
            committed,
        })
    }

    /// Stalls the disks of the followers, so that nothing is committed any more.
    fn stall_disks(&mut self) {
        self.cluster
            .stalled_disks
            .extend(self.remaining_followers.iter().copied().map(ReplicaId));
    }

    fn change(
        &mut self,
        ask: impl FnOnce(&mut Raft) -> std::result::Result<ChangeOutcome, ChangeError>,
    ) -> std::result::Result<ChangeOutcome, ChangeError> {
        let mut outcome = None;
        self.cluster.act(self.leader, |raft, _, _| {
            outcome = Some(ask(raft));
        });
        outcome.expect("the leader is running")
    }

    fn remove(&mut self, id: u64) -> std::result::Result<ChangeOutcome, ChangeError> {
        self.change(|raft| raft.remove(ReplicaId(id), &mut Vec::new()))
    }

    fn add(&mut self, id: u64) -> std::result::Result<ChangeOutcome, ChangeError> {
        self.change(|raft| raft.add_learner(member(id), &mut Vec::new()))
    }

    fn receives_state(&mut self, id: u64) -> bool {
        let committed = self.committed;
        self.cluster.run_until(CATCH_UP_TIMEOUT, |cluster| {
            cluster.raft(id).last_applied() >= committed
        })
    }
}

#[gtest]
fn joiner_receives_snapshot_while_a_removal_is_uncommitted() -> Result<()> {
    let mut fixture = Fixture::new()?;
    fixture.stall_disks();
    let failed_voters = fixture.failed_voters.clone();
    verify_that!(fixture.remove(failed_voters[0]), ok(anything()))?;
    for joiner in JOINERS {
        verify_that!(fixture.add(joiner), ok(anything()))?;
    }
    for joiner in JOINERS {
        verify_that!(fixture.receives_state(joiner), eq(true))?;
    }
    Ok(())
}

#[gtest]
fn voter_can_be_removed_while_a_learner_addition_is_uncommitted() -> Result<()> {
    let mut fixture = Fixture::new()?;
    let failed_voters = fixture.failed_voters.clone();
    verify_that!(fixture.remove(failed_voters[0]), ok(anything()))?;
    fixture.cluster.run(Duration::from_secs(1));
    fixture.stall_disks();
    verify_that!(fixture.add(JOINERS[0]), ok(anything()))?;
    verify_that!(fixture.remove(failed_voters[1]), ok(anything()))
}

#[gtest]
fn voter_changes_are_serialized() -> Result<()> {
    let mut fixture = Fixture::new()?;
    fixture.add(JOINERS[0])?;
    fixture.cluster.run(Duration::from_secs(1));
    fixture.stall_disks();
    let failed_voters = fixture.failed_voters.clone();
    fixture.remove(failed_voters[0])?;
    let underway = matches_pattern!(ChangeError::ChangeInProgress { .. });
    verify_that!(fixture.remove(failed_voters[1]), err(underway))?;
    let promoted = fixture.change(|raft| raft.promote(ReplicaId(JOINERS[0]), &mut Vec::new()));
    verify_that!(promoted, err(anything()))?;
    // A repeated request is not done yet, either.
    let underway = matches_pattern!(ChangeError::ChangeInProgress { .. });
    verify_that!(fixture.remove(failed_voters[0]), err(underway))
}

#[gtest]
fn repeated_addition_is_done_once_committed() -> Result<()> {
    let mut fixture = Fixture::new()?;
    fixture.add(JOINERS[0])?;
    let underway = matches_pattern!(ChangeError::ChangeInProgress { .. });
    verify_that!(fixture.add(JOINERS[0]), err(underway))?;
    fixture.cluster.run(Duration::from_secs(1));
    verify_that!(fixture.add(JOINERS[0]), ok(eq(&ChangeOutcome::AlreadyDone)))
}
