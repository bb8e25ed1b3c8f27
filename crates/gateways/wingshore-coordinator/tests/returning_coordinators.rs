//! Coordinators that return with empty disks hold the state in time, even where each commit is
//! slow.
//!
//! Guards against a fault seen while other processes wrote files: a coordinator was added 2.06 s
//! after all had heard from it, and held the state 0.2 s later. Four changes came before its own,
//! for another coordinator that had returned too, and each waited for the commit of the one before:
//! an addition was one of the changes that wait for each other. These tests run the changes with
//! slow commits.

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordinator::{KnownCoordinator, MembershipPlanner, MembershipView};
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// Time within which a coordinator that starts with an empty disk must hold the state.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);
/// Time between two planning steps of the leader.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the append of a change to its commit: so long that only one fits beside the sending of
/// the state.
const COMMIT_TIME: Duration = Duration::from_secs(3);
/// Time from the addition of a member until it holds the state.
const SENDING_TIME: Duration = Duration::from_secs(2);
/// Machines whose disks are lost. Machine 1 leads, machine 6 is a learner.
const LOST: [u64; 2] = [2, 3];
/// Added to a machine's number to give its identity after the loss.
const NEW_IDENTITY_OFFSET: u64 = 10;

fn address(machine: u64) -> SocketAddr {
    ([10, 0, 0, machine as u8], 7700).into()
}

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: address(id % NEW_IDENTITY_OFFSET),
    }
}

/// Six coordinators as their leader sees them, two of which return with empty disks.
struct Site {
    now: Instant,
    membership: Membership,
    known_coordinators: BTreeMap<ReplicaId, KnownCoordinator>,
    planner: MembershipPlanner,
    /// When the pending change of voters will be committed.
    committed_at: Option<Instant>,
    added_at: BTreeMap<ReplicaId, Instant>,
}

impl Site {
    fn new() -> Self {
        let now = Instant::from_millis(60_000);
        let mut planner = MembershipPlanner::default();
        planner.leadership_began(Instant::from_millis(1_000));
        Self {
            now,
            membership: Membership {
                voters: (1..=5).map(member).collect(),
                learners: vec![member(6)],
            },
            known_coordinators: BTreeMap::new(),
            planner,
            committed_at: None,
            added_at: BTreeMap::new(),
        }
    }

    fn record_hellos(&mut self) {
        let returned = LOST.map(|machine| machine + NEW_IDENTITY_OFFSET);
        for id in [4, 5, 6].into_iter().chain(returned) {
            let Member { id, address } = member(id);
            let joiner = KnownCoordinator {
                id,
                address,
                zone: format!("zone-{}", address.ip()),
                last_heard_at: self.now,
            };
            self.known_coordinators.insert(id, joiner);
        }
    }

    fn holds_state(&self, id: ReplicaId) -> bool {
        let added = self.added_at.get(&id);
        added.is_some_and(|added| self.now.since(*added) >= SENDING_TIME)
    }

    fn caught_up(&self) -> BTreeSet<ReplicaId> {
        let others = [4, 5, 6].map(ReplicaId);
        let returned = self.added_at.keys().copied();
        let returned = returned.filter(|id| self.holds_state(*id));
        others.into_iter().chain(returned).collect()
    }

    fn plan(&self) -> Option<MembershipRequest> {
        let retired = BTreeSet::new();
        let view = MembershipView {
            own: ReplicaId(1),
            own_zone: "zone-1",
            membership: &self.membership,
            known_coordinators: &self.known_coordinators,
            caught_up: self.caught_up(),
            losses_borne: 2,
            retired: &retired,
        };
        match self.committed_at {
            Some(_) => self.planner.plan_concurrent(self.now, &view),
            None => self.planner.plan(self.now, &view),
        }
    }

    fn plan_and_apply(&mut self) {
        self.committed_at.take_if(|at| self.now >= *at);
        match self.plan() {
            Some(MembershipRequest::AddLearner(member)) => {
                self.added_at.insert(member.id, self.now);
                self.membership.learners.push(member);
                return;
            }
            Some(MembershipRequest::Remove(id)) => {
                self.membership.voters.retain(|member| member.id != id);
                self.membership.learners.retain(|member| member.id != id);
            }
            Some(MembershipRequest::Promote(id)) => {
                self.membership.learners.retain(|member| member.id != id);
                self.membership.voters.push(member(id.0));
            }
            _ => return,
        }
        assert!(
            self.committed_at.is_none(),
            "one change of voters at a time"
        );
        self.committed_at = Some(self.now + COMMIT_TIME);
    }
}

#[gtest]
fn two_returning_coordinators_hold_the_state_in_time_however_slow_a_commit_is() {
    let mut site = Site::new();
    let started_at = site.now;
    while site.now.since(started_at) < RECOVERY_LIMIT {
        site.record_hellos();
        site.plan_and_apply();
        site.now = site.now + PLAN_INTERVAL;
    }
    for machine in LOST {
        let id = ReplicaId(machine + NEW_IDENTITY_OFFSET);
        expect_that!(site.holds_state(id), eq(true), "{id}");
    }
}

#[gtest]
fn a_site_with_two_returned_coordinators_ends_with_five_voters_that_hold_the_state() {
    let mut site = Site::new();
    for _ in 0..600 {
        site.record_hellos();
        site.plan_and_apply();
        site.now = site.now + PLAN_INTERVAL;
    }
    let voters: BTreeSet<u64> = site.membership.voters.iter().map(|it| it.id.0).collect();
    let lost = LOST.map(|machine| voters.contains(&machine));
    expect_that!(lost, eq([false, false]));
    expect_that!(voters.len(), eq(5));
    expect_that!(site.membership.learners.len(), eq(1));
    expect_that!(site.plan(), none());
}
