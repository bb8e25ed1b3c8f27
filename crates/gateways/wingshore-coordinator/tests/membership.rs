//! Which membership change the group needs next.

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordinator::{KnownCoordinator, MembershipPlanner, MembershipView, Shortage};
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// Group of three as its leader, member 1, sees it.
struct Site {
    now: Instant,
    membership: Membership,
    known_coordinators: BTreeMap<ReplicaId, KnownCoordinator>,
    caught_up: BTreeSet<ReplicaId>,
    retired: BTreeSet<ReplicaId>,
    losses_borne: usize,
    own_zone: String,
    planner: MembershipPlanner,
}

fn address(machine: u64) -> SocketAddr {
    ([10, 0, 0, machine as u8], 7700).into()
}

/// Returns the zone of a machine: one of its own, except that machines from 100 on share two zones.
fn zone_of(machine: u64) -> String {
    match machine {
        100.. => format!("shared-{}", machine % 2),
        _ => format!("zone-{machine}"),
    }
}

fn member(id: u64, machine: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: address(machine),
    }
}

impl Site {
    fn new() -> Self {
        let mut planner = MembershipPlanner::default();
        planner.leadership_began(Instant::from_millis(1_000));
        let mut site = Self {
            now: Instant::from_millis(60_000),
            membership: Membership {
                voters: vec![member(1, 1), member(2, 2), member(3, 3)],
                learners: Vec::new(),
            },
            known_coordinators: BTreeMap::new(),
            caught_up: [1, 2, 3].map(ReplicaId).into(),
            retired: BTreeSet::new(),
            losses_borne: 1,
            own_zone: zone_of(1),
            planner,
        };
        site.record_contact(2, 2, 0);
        site.record_contact(3, 3, 0);
        site
    }

    /// Records that machine `machine` with identity `id` was last heard from `ago` milliseconds
    /// ago.
    fn record_contact(&mut self, id: u64, machine: u64, ago: u64) {
        let joiner = KnownCoordinator {
            id: ReplicaId(id),
            address: address(machine),
            zone: zone_of(machine),
            last_heard_at: self.now - Duration::from_millis(ago),
        };
        self.known_coordinators.insert(joiner.id, joiner);
    }

    fn view(&self) -> MembershipView<'_> {
        MembershipView {
            own: ReplicaId(1),
            own_zone: &self.own_zone,
            membership: &self.membership,
            known_coordinators: &self.known_coordinators,
            caught_up: self.caught_up.clone(),
            losses_borne: self.losses_borne,
            retired: &self.retired,
        }
    }

    fn plan(&self) -> Option<MembershipRequest> {
        self.planner.plan(self.now, &self.view())
    }
}

#[gtest]
fn a_healthy_group_needs_no_change() {
    expect_that!(Site::new().plan(), none());
}

#[gtest]
fn a_silent_voter_stays_while_no_learner_can_replace_it() {
    let mut site = Site::new();
    site.record_contact(3, 3, 20_000);
    expect_that!(site.plan(), none());
}

#[gtest]
fn an_empty_disk_at_a_known_address_replaces_the_member_there() {
    let mut site = Site::new();
    site.known_coordinators.remove(&ReplicaId(3));
    site.record_contact(99, 3, 0);
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Remove(ReplicaId(3))))
    );
    site.membership.voters.pop();
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::AddLearner(member(99, 3))))
    );
    site.membership.learners.push(member(99, 3));
    expect_that!(site.plan(), none());
    site.caught_up.insert(ReplicaId(99));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Promote(ReplicaId(99))))
    );
}

#[gtest]
fn a_machine_at_a_new_address_replaces_a_silent_voter() {
    let mut site = Site::new();
    site.record_contact(3, 3, 5_000);
    site.record_contact(99, 4, 0);
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::AddLearner(member(99, 4))))
    );
    site.membership.learners.push(member(99, 4));
    site.caught_up.insert(ReplicaId(99));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Promote(ReplicaId(99)))),
        "with two voters one more lost disk would end the group"
    );
    site.membership.learners.pop();
    site.membership.voters.push(member(99, 4));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Remove(ReplicaId(3))))
    );
    site.membership.voters.remove(2);
    expect_that!(site.plan(), none());
}

#[gtest]
fn an_added_machine_stays_a_learner_while_all_voters_are_live() {
    let mut site = Site::new();
    site.record_contact(99, 4, 0);
    site.membership.learners.push(member(99, 4));
    site.caught_up.insert(ReplicaId(99));
    expect_that!(site.plan(), none());
}

#[gtest]
fn silence_from_before_the_leadership_does_not_count() {
    let mut site = Site::new();
    site.known_coordinators.clear();
    site.planner
        .leadership_began(site.now - Duration::from_millis(500));
    site.record_contact(99, 4, 0);
    site.membership.learners.push(member(99, 4));
    site.caught_up.insert(ReplicaId(99));
    expect_that!(site.plan(), none());
}

#[gtest]
fn one_machine_of_three_cannot_be_retired() {
    let site = Site::new();
    let can = site
        .planner
        .can_retire(site.now, ReplicaId(2), &site.view());
    expect_that!(can, eq(false));
}

#[gtest]
fn a_retired_voter_goes_only_after_its_successor_votes() {
    let mut site = Site::new();
    site.record_contact(99, 4, 0);
    site.membership.learners.push(member(99, 4));
    let can = site
        .planner
        .can_retire(site.now, ReplicaId(2), &site.view());
    expect_that!(can, eq(true));
    site.retired.insert(ReplicaId(2));
    expect_that!(site.plan(), none(), "the successor has not caught up");
    site.caught_up.insert(ReplicaId(99));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Promote(ReplicaId(99))))
    );
    site.membership.learners.clear();
    site.membership.voters.push(member(99, 4));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Remove(ReplicaId(2))))
    );
    expect_that!(
        site.view()
            .is_fault_tolerant_without(site.now, ReplicaId(2)),
        eq(false)
    );
    site.membership.voters.remove(1);
    expect_that!(
        site.view()
            .is_fault_tolerant_without(site.now, ReplicaId(2)),
        eq(true)
    );
    expect_that!(site.plan(), none(), "a retired member is not added again");
}

#[gtest]
fn a_leader_that_is_to_leave_transfers_its_leadership_first() {
    let mut site = Site::new();
    site.retired.insert(ReplicaId(1));
    site.membership.voters.push(member(99, 4));
    site.record_contact(99, 4, 0);
    site.caught_up.insert(ReplicaId(99));
    let transfer = MembershipRequest::TransferLeadership(ReplicaId(2));
    expect_that!(site.plan(), some(eq(&transfer)));
}

#[gtest]
fn a_group_is_not_fault_tolerant_while_a_voter_lags() {
    let mut site = Site::new();
    site.caught_up.remove(&ReplicaId(3));
    expect_that!(
        site.view()
            .is_fault_tolerant_without(site.now, ReplicaId(9)),
        eq(false)
    );
}

#[gtest]
fn a_group_that_must_tolerate_two_losses_grows_to_five_voters() {
    let mut site = Site::new();
    site.losses_borne = 2;
    for (id, machine) in [(4, 4), (5, 5)] {
        site.record_contact(id, machine, 0);
        site.membership.learners.push(member(id, machine));
        site.caught_up.insert(ReplicaId(id));
    }
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Promote(ReplicaId(4))))
    );
}

#[gtest]
fn of_six_members_five_vote_so_that_each_majority_of_members_can_commit() {
    let mut site = Site::new();
    for (id, machine) in [(4, 4), (5, 5), (6, 6)] {
        site.record_contact(id, machine, 0);
        site.membership.learners.push(member(id, machine));
    }
    expect_that!(site.view().target_voters(site.now), eq(5));
    site.membership.learners.pop();
    site.membership.learners.pop();
    expect_that!(site.view().target_voters(site.now), eq(3));
}

#[gtest]
fn a_machine_can_be_retired_only_while_enough_are_left_to_tolerate_the_losses() {
    let mut site = Site::new();
    for (id, machine) in [(4, 4), (5, 5)] {
        site.record_contact(id, machine, 0);
        site.membership.voters.push(member(id, machine));
    }
    let leaving = ReplicaId(5);
    expect_that!(
        site.planner.can_retire(site.now, leaving, &site.view()),
        eq(true)
    );
    site.losses_borne = 2;
    expect_that!(
        site.planner.can_retire(site.now, leaving, &site.view()),
        eq(false)
    );
}

/// Guards against a group that replaces two machines while their predecessors still vote: five
/// voters became seven, two of them gone, and the loss of two more left no majority.
#[gtest]
fn a_lost_voter_is_replaced_before_the_group_grows() {
    let mut site = Site::new();
    site.losses_borne = 2;
    for (id, machine) in [(4, 4), (5, 5)] {
        site.record_contact(id, machine, 0);
        site.membership.voters.push(member(id, machine));
    }
    site.record_contact(3, 3, 5_000);
    for (id, machine) in [(6, 6), (7, 7)] {
        site.record_contact(id, machine, 0);
        site.membership.learners.push(member(id, machine));
        site.caught_up.insert(ReplicaId(id));
    }
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Promote(ReplicaId(6))))
    );
    site.membership.learners.remove(0);
    site.membership.voters.push(member(6, 6));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Remove(ReplicaId(3)))),
        "before any further promotion"
    );
    site.membership.voters.remove(2);
    expect_that!(site.plan(), none());
}

#[gtest]
fn a_long_silent_voter_is_removed_where_fewer_tolerate_the_losses() {
    let mut site = Site::new();
    for (id, machine) in [(4, 4), (5, 5)] {
        site.record_contact(id, machine, 0);
        site.membership.voters.push(member(id, machine));
    }
    site.record_contact(5, 5, 20_000);
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::Remove(ReplicaId(5))))
    );
    site.losses_borne = 2;
    expect_that!(site.plan(), none(), "five voters are the minimum");
}

/// A site of three zones that must tolerate two losses needs six members; the others are on
/// standby.
#[gtest]
fn coordinators_beyond_the_target_are_on_standby() {
    let mut site = Site::new();
    site.losses_borne = 2;
    site.own_zone = zone_of(100);
    site.known_coordinators.clear();
    site.membership.voters = (1..=5).map(|id| member(id, 99 + id)).collect();
    site.membership.learners = vec![member(6, 105)];
    site.caught_up = (1..=6).map(ReplicaId).collect();
    for id in 2..=9 {
        site.record_contact(id, 99 + id, 0);
    }
    expect_that!(site.plan(), none());
    // A lost member is replaced by a coordinator on standby.
    site.membership.learners.clear();
    site.known_coordinators.remove(&ReplicaId(6));
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::AddLearner(member(7, 106))))
    );
}

/// Gateways read from the member in their zone, so a zone without a member is given one first.
#[gtest]
fn a_zone_without_a_member_is_given_one_first() {
    let mut site = Site::new();
    site.own_zone = zone_of(100);
    site.known_coordinators.clear();
    site.membership.voters = vec![member(1, 100), member(2, 102), member(3, 104)];
    site.record_contact(2, 102, 0);
    site.record_contact(3, 104, 0);
    site.record_contact(4, 106, 0);
    site.record_contact(5, 107, 0);
    expect_that!(
        site.plan(),
        some(eq(&MembershipRequest::AddLearner(member(5, 107))))
    );
}

#[gtest]
fn a_shortage_of_coordinators_is_detected() {
    let mut site = Site::new();
    expect_that!(site.view().shortage(site.now), none());
    site.losses_borne = 2;
    let shortage = |coordinators| Shortage {
        coordinators,
        needed: 5,
    };
    expect_that!(site.view().shortage(site.now), some(eq(shortage(3))));
    // A silent member still counts, a coordinator on standby only while it is live.
    site.record_contact(3, 3, 20_000);
    site.record_contact(4, 4, 0);
    site.record_contact(5, 5, 20_000);
    expect_that!(site.view().shortage(site.now), some(eq(shortage(4))));
    site.record_contact(5, 5, 0);
    expect_that!(site.view().shortage(site.now), none());
    site.retired.insert(ReplicaId(3));
    expect_that!(site.view().shortage(site.now), some(eq(shortage(4))));
}

#[gtest]
fn discovery_is_not_complete_early_in_a_leadership() {
    let mut planner = MembershipPlanner::default();
    let begin = Instant::from_millis(1_000);
    expect_that!(planner.is_discovery_complete(begin), eq(false));
    planner.leadership_began(begin);
    let after = |millis| begin + Duration::from_millis(millis);
    expect_that!(planner.is_discovery_complete(after(4_999)), eq(false));
    expect_that!(planner.is_discovery_complete(after(5_000)), eq(true));
}
