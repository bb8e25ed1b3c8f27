//! Membership changes, leadership transfers, planned stops, restarts and snapshots of members.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::member::{config, member};
use support::numbers::{Numbers, NumbersLeader, Request};
use wingshore_group::{Host, HostInput, HostReply, MachineFactory};
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

const SECOND: Duration = Duration::from_secs(1);
const JOINER: u64 = 40;

/// Starts a new member and asks the leader to add it as a learner.
fn add_joiner(cluster: &mut Cluster, leader: u64) -> Option<MembershipReply> {
    cluster.add(config(JOINER, None));
    cluster.membership_answer(leader, MembershipRequest::AddLearner(member(JOINER)))
}

#[gtest]
fn a_new_member_joins_by_snapshot_catches_up_and_is_promoted() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..200);
    verify_that!(
        add_joiner(&mut cluster, leader),
        some(eq(&MembershipReply::Done))
    )?;
    cluster.run(SECOND);
    verify_that!(cluster.numbers(JOINER), eq(cluster.numbers(leader)))?;
    let promote = MembershipRequest::Promote(ReplicaId(JOINER));
    verify_that!(
        cluster.membership_answer(leader, promote.clone()),
        some(eq(&MembershipReply::Done))
    )?;
    // A repeated request, as after a lost answer, succeeds as well.
    verify_that!(
        cluster.membership_answer(leader, promote),
        some(eq(&MembershipReply::Done))
    )?;
    cluster.run(SECOND);
    verify_that!(cluster.host(JOINER).membership().voters.len(), eq(4))?;
    let shown = cluster.membership_answer(leader, MembershipRequest::Show);
    let Some(MembershipReply::Members {
        synced, last_index, ..
    }) = shown
    else {
        return fail!("{shown:?}");
    };
    verify_that!(synced, len(eq(4)))?;
    let synced: Vec<u64> = synced.into_iter().map(|(_, index)| index).collect();
    verify_that!(synced, each(eq(&last_index)))
}

#[gtest]
fn a_learner_that_is_behind_is_not_promoted() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..20);
    cluster.add(config(JOINER, None));
    cluster.isolate(JOINER);
    let add = MembershipRequest::AddLearner(member(JOINER));
    verify_that!(
        cluster.membership_answer(leader, add),
        some(eq(&MembershipReply::Done))
    )?;
    let promote = MembershipRequest::Promote(ReplicaId(JOINER));
    let answer = cluster.membership_answer(leader, promote);
    verify_that!(
        answer,
        some(matches_pattern!(MembershipReply::Refused { .. }))
    )
}

#[gtest]
fn impossible_changes_are_refused_with_a_reason() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let mut moved = member(leader);
    moved.address.set_port(1);
    let cases = [
        (MembershipRequest::Remove(ReplicaId(leader)), "transfer"),
        (MembershipRequest::Promote(ReplicaId(77)), "not a learner"),
        (MembershipRequest::AddLearner(moved), "remove it first"),
        (
            MembershipRequest::TransferLeadership(ReplicaId(77)),
            "not a voter",
        ),
    ];
    for (request, reason) in cases {
        let answer = cluster.membership_answer(leader, request);
        let Some(MembershipReply::Refused { message }) = answer else {
            return fail!("{answer:?}");
        };
        verify_that!(message, contains_substring(reason))?;
    }
    Ok(())
}

#[gtest]
fn only_one_change_of_voters_is_accepted_at_a_time() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(5);
    let mut others = (1..=5).filter(|id| *id != leader).map(ReplicaId);
    let first = MembershipRequest::Remove(others.next().or_fail()?);
    let second = MembershipRequest::Remove(others.next().or_fail()?);
    let first = cluster.membership_request(leader, first);
    let add_learner = MembershipRequest::AddLearner(member(JOINER));
    let add_learner = cluster.membership_request(leader, add_learner);
    let second = cluster.membership_request(leader, second);
    let refused = cluster.answer(second);
    verify_that!(
        refused,
        some(matches_pattern!(HostReply::Membership(matches_pattern!(
            MembershipReply::Refused {
                message: contains_substring("one change at a time")
            }
        ))))
    )?;
    for done in [first, add_learner] {
        verify_that!(
            cluster.answer(done),
            some(eq(&HostReply::Membership(MembershipReply::Done)))
        )?;
    }
    verify_that!(cluster.host(leader).membership().voters, len(eq(4)))
}

#[gtest]
fn a_second_loss_after_a_lost_member_was_replaced_loses_nothing() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..50);
    let lost = if leader == 1 { 2 } else { 1 };
    cluster.crash(lost);
    add_joiner(&mut cluster, leader);
    cluster.run(SECOND);
    let replaced = [
        MembershipRequest::Promote(ReplicaId(JOINER)),
        MembershipRequest::Remove(ReplicaId(lost)),
    ];
    for request in replaced {
        verify_that!(
            cluster.membership_answer(leader, request),
            some(eq(&MembershipReply::Done))
        )?;
    }
    // The replacement is complete: losing any one further machine must lose no data.
    cluster.crash(leader);
    let new_leader = cluster.wait_for_leader();
    verify_that!(cluster.numbers(new_leader).applied.len(), eq(50))?;
    cluster.add_numbers(new_leader, [51]);
    Ok(())
}

#[gtest]
fn leadership_is_transferred_to_the_requested_member() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let target = if leader == 3 { 1 } else { 3 };
    let transfer = MembershipRequest::TransferLeadership(ReplicaId(target));
    verify_that!(
        cluster.membership_answer(leader, transfer),
        some(eq(&MembershipReply::Done))
    )?;
    verify_that!(cluster.wait_for_leader(), eq(target))
}

#[gtest]
fn a_transfer_to_an_unreachable_member_is_aborted_and_proposals_continue() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let target = if leader == 3 { 1 } else { 3 };
    cluster.isolate(target);
    cluster.add_numbers(leader, [1]);
    let transfer = MembershipRequest::TransferLeadership(ReplicaId(target));
    let tag = cluster.membership_request(leader, transfer);
    // Proposed during the transfer, committed after it is aborted.
    cluster.feed(leader, vec![HostInput::Event(2)]);
    verify_that!(
        cluster.answer(tag),
        some(matches_pattern!(HostReply::Membership(matches_pattern!(
            MembershipReply::Refused { .. }
        ))))
    )?;
    cluster.add_numbers(leader, [3]);
    verify_that!(
        cluster.numbers(leader).applied,
        elements_are![eq(&1), eq(&2), eq(&3)]
    )
}

#[gtest]
fn a_planned_stop_hands_leadership_over_and_loses_nothing() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let adds: Vec<_> = (0..20)
        .map(|number| cluster.request(leader, Request::Add(number)))
        .collect();
    cluster.feed(leader, vec![HostInput::Stop]);
    let refused = cluster.request(leader, Request::Add(99));
    verify_that!(
        cluster.replies.get(&refused),
        some(matches_pattern!(HostReply::NotLeader { .. }))
    )?;
    let stopped = cluster.run_until(SECOND * 5, |cluster| {
        cluster.replicas[&ReplicaId(leader)].has_stopped
    });
    verify_that!(stopped, eq(true))?;
    for tag in adds {
        verify_that!(
            cluster.replies.get(&tag),
            some(matches_pattern!(HostReply::Reply(_)))
        )?;
    }
    cluster.crash(leader);
    let new_leader = cluster.wait_for_leader();
    verify_that!(cluster.numbers(new_leader).applied.len(), eq(20))
}

#[gtest]
fn a_planned_stop_ends_where_nobody_can_take_over() -> Result<()> {
    for (voters, isolated) in [(1, false), (3, true)] {
        let (mut cluster, leader) = Cluster::with_leader(voters);
        if isolated {
            cluster.isolate(leader);
        }
        let pending = cluster.request(leader, Request::Wait);
        let transfer = MembershipRequest::TransferLeadership(ReplicaId(voters));
        let transferring = cluster.membership_request(leader, transfer);
        cluster.feed(leader, vec![HostInput::Stop]);
        let stopped = cluster.run_until(SECOND * 10, |cluster| {
            cluster.replicas[&ReplicaId(leader)].has_stopped
        });
        verify_that!(stopped, eq(true))?;
        // Pending requests are answered nevertheless.
        for tag in [pending, transferring] {
            verify_that!(cluster.replies.get(&tag), some(anything()))?;
        }
    }
    Ok(())
}

#[gtest]
fn a_restart_recovers_everything_acknowledged() -> Result<()> {
    for voters in [1, 3] {
        let (mut cluster, leader) = Cluster::with_leader(voters);
        cluster.add_numbers(leader, 0..300);
        for id in 1..=voters {
            cluster.crash(id);
        }
        for id in 1..=voters {
            cluster.restart(id);
        }
        let leader = cluster.wait_for_leader();
        let expected: Vec<u64> = (0..300).collect();
        verify_that!(cluster.numbers(leader).applied, eq(&expected))?;
    }
    Ok(())
}

#[gtest]
fn snapshots_keep_the_log_short() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..500);
    cluster.run(SECOND);
    for id in 1..=3 {
        let contents = &cluster.replica(id).disk.contents;
        verify_that!(contents.snapshot, some(anything()))?;
        verify_that!(contents.records.len(), lt(200))?;
    }
    Ok(())
}

/// Guards against losing the preparation of a state by a factory, such as an injected fault, when a
/// snapshot replaces the state.
#[gtest]
fn a_restored_state_is_prepared_like_a_new_one() -> Result<()> {
    const MARKER: u64 = 1_000_000;
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..500);
    cluster.run(SECOND);
    let recovered = cluster.replica(leader).disk.contents.clone();
    verify_that!(recovered.snapshot, some(anything()))?;
    let machines = MachineFactory::<NumbersLeader> {
        leader: Box::new(NumbersLeader::default),
        prepare: Box::new(|state: &mut Numbers| state.applied.push(MARKER)),
    };
    let config = cluster.replica(leader).config.clone();
    let host = Host::with_machines(Instant::ZERO, config, recovered, machines);
    let markers = host.map(|host| {
        let applied = host.state().applied.iter();
        applied.filter(|number| **number == MARKER).count()
    });
    verify_that!(markers.ok(), some(eq(1)))
}

/// Guards against snapshots whose cost per byte of log increases as the state grows: it must stay
/// at a few bytes.
#[gtest]
fn snapshot_bytes_stay_proportional_to_the_log() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(1);
    cluster.add_numbers(leader, (0..4_000).map(|number| u64::MAX - number));
    let replica = cluster.replica(leader);
    println!(
        "{} bytes of log, {} bytes of snapshots",
        replica.log_bytes, replica.snapshot_bytes
    );
    verify_that!(replica.snapshot_bytes, gt(replica.log_bytes / 10))?;
    verify_that!(replica.snapshot_bytes, lt(replica.log_bytes * 3))
}

/// Guards against commits that stall because all members take a snapshot at the same entry.
#[gtest]
fn members_take_their_snapshots_at_different_entries() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..2_000);
    let [first, second, third] = [1, 2, 3].map(|id| cluster.replica(id).snapshot_indexes.clone());
    verify_that!(first.len(), gt(10))?;
    let common: Vec<_> = first
        .iter()
        .filter(|index| second.contains(index) && third.contains(index))
        .collect();
    verify_that!(common, is_empty())
}

#[gtest]
fn an_unknown_command_stops_the_host() -> Result<()> {
    let (mut cluster, _) = Cluster::with_leader(1);
    cluster.add_numbers(1, [5]);
    cluster.crash(1);
    for record in &mut cluster.replica(1).disk.contents.records {
        let is_command = record.data.first() == Some(&1);
        if is_command {
            record.data.truncate(1);
        }
    }
    cluster.restart(1);
    cluster.run(SECOND * 3);
    verify_that!(
        cluster.replica(1).failure,
        some(contains_substring("cannot be decoded"))
    )
}

/// Guards against members of two builds that hold different states after the same log: the older
/// build silently dropped a field that the newer one had appended to a command. A member that
/// applies such a command and continues fails this test.
#[gtest]
fn a_command_with_trailing_bytes_stops_the_host() -> Result<()> {
    let (mut cluster, _) = Cluster::with_leader(1);
    cluster.add_numbers(1, [5]);
    cluster.crash(1);
    for record in &mut cluster.replica(1).disk.contents.records {
        let is_command = record.data.first() == Some(&1);
        if is_command {
            record.data.extend([7, 7]);
        }
    }
    cluster.restart(1);
    cluster.run(SECOND * 3);
    verify_that!(
        cluster.replica(1).failure,
        some(contains_substring("2 bytes are left after the end"))
    )
}
