//! Whether a machine that is being emptied may be stopped, where a voter has fallen silent.

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordinator::{KnownCoordinator, MembershipView};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{Instant, ReplicaId};

fn address(id: u64) -> SocketAddr {
    ([10, 0, 0, id as u8], 7700).into()
}

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: address(id),
    }
}

/// Whether three voters are whole without the retired coordinator 4, which has left, where voter 3 was last
/// heard of `silence` ago. All hold all that is committed, as far as the leader, voter 1, knows.
fn is_whole_where_a_voter_is_silent_for(silence: Duration) -> bool {
    let now = Instant::from_millis(60_000);
    let membership = Membership {
        voters: [1, 2, 3].map(member).into(),
        learners: Vec::new(),
    };
    let heard_at = |id, last_heard_at| KnownCoordinator {
        id: ReplicaId(id),
        address: address(id),
        zone: format!("zone-{id}"),
        last_heard_at,
    };
    let known_coordinators: BTreeMap<ReplicaId, KnownCoordinator> =
        [heard_at(2, now), heard_at(3, now - silence)]
            .map(|joiner| (joiner.id, joiner))
            .into();
    let retired: BTreeSet<ReplicaId> = [ReplicaId(4)].into();
    let view = MembershipView {
        own: ReplicaId(1),
        own_zone: "zone-1",
        membership: &membership,
        known_coordinators: &known_coordinators,
        caught_up: [1, 2, 3].map(ReplicaId).into(),
        losses_borne: 1,
        retired: &retired,
    };
    view.is_fault_tolerant_without(now, ReplicaId(4))
}

#[gtest]
fn a_group_whose_voters_are_all_heard_of_is_whole() {
    expect_that!(
        is_whole_where_a_voter_is_silent_for(Duration::ZERO),
        eq(true)
    );
}

/// What is seen: a machine is answered to be retired, and stopped, while one of three voters is gone: the next
/// loss takes the majority.
/// How it comes about: the voter is lost while little is written; what the leader last knew of it is all that is
/// committed.
/// Cause: `is_fault_tolerant_without` asks what each voter holds, and not whether it was heard of; a successor of a voter and
/// a member to transfer leadership to must have been heard of lately.
/// Proof: whole with a voter that has been silent for 20 s.
#[gtest]
fn a_group_with_a_silent_voter_is_not_whole() {
    expect_that!(
        is_whole_where_a_voter_is_silent_for(Duration::from_secs(20)),
        eq(false)
    );
}
