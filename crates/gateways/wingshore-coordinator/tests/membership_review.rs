//! Whether a machine that is being retired may be stopped while a voter is silent.

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

/// Returns whether a group of three voters is fault-tolerant without the retired coordinator 4,
/// which has left, where voter 3 was last heard from `silence` ago. As far as the leader, voter 1,
/// knows, all voters hold all committed entries.
fn is_fault_tolerant_where_a_voter_is_silent_for(silence: Duration) -> bool {
    let now = Instant::from_millis(60_000);
    let membership = Membership {
        voters: [1, 2, 3].map(member).into(),
        learners: Vec::new(),
    };
    let coordinator_at = |id, last_heard_at| KnownCoordinator {
        id: ReplicaId(id),
        address: address(id),
        zone: format!("zone-{id}"),
        last_heard_at,
    };
    let known_coordinators: BTreeMap<ReplicaId, KnownCoordinator> =
        [coordinator_at(2, now), coordinator_at(3, now - silence)]
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
fn a_group_whose_voters_are_all_live_is_fault_tolerant() {
    expect_that!(
        is_fault_tolerant_where_a_voter_is_silent_for(Duration::ZERO),
        eq(true)
    );
}

/// Guards against a machine that is reported as retired, and stopped, while one of three voters is
/// lost: the next loss takes the majority. A voter that is lost while little is written seems to
/// hold all that is committed, by what the leader last knew of it.
/// [`MembershipView::is_fault_tolerant_without`] checked what each voter holds but not whether it
/// was heard from recently, which the successor of a voter and the target of a leadership transfer
/// must have been. With a voter that had been silent for 20 s, the group counted as fault-tolerant.
#[gtest]
fn a_group_with_a_silent_voter_is_not_fault_tolerant() {
    expect_that!(
        is_fault_tolerant_where_a_voter_is_silent_for(Duration::from_secs(20)),
        eq(false)
    );
}
