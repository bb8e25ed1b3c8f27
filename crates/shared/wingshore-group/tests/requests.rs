//! Requests, replies and effects: when they are released and how requests are answered after a loss
//! of leadership.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::numbers::{Added, Count, Request};
use wingshore_group::{Faults, HostInput, HostReply, Leadership};
use wingshore_types::{Epoch, ReplicaId};

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn a_request_is_committed_and_answered_in_groups_of_any_size() -> Result<()> {
    for voters in [1, 2, 3, 5] {
        let (mut cluster, leader) = Cluster::with_leader(voters);
        let tag = cluster.request(leader, Request::Add(7));
        verify_that!(cluster.answer(tag), some(eq(&HostReply::Reply(Count(1)))))?;
        verify_that!(
            cluster.replica(leader).effects,
            elements_are![eq(&Added(1))]
        )?;
        cluster.run(SECOND);
        for id in 1..=voters {
            verify_that!(cluster.numbers(id).applied, elements_are![eq(&7)])?;
        }
    }
    Ok(())
}

#[gtest]
fn a_follower_names_the_leader() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.run(SECOND);
    let follower = if leader == 1 { 2 } else { 1 };
    for request in [Request::Count, Request::Add(1)] {
        let tag = cluster.request(follower, request);
        let expected = HostReply::NotLeader {
            leader: Some(ReplicaId(leader)),
        };
        verify_that!(cluster.replies.get(&tag), some(eq(&expected)))?;
    }
    Ok(())
}

#[gtest]
fn reads_see_every_acknowledged_write() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    for number in 1..=20 {
        cluster.add_numbers(leader, [number]);
        let tag = cluster.request(leader, Request::Count);
        let expected = HostReply::Reply(Count(usize::try_from(number).unwrap()));
        verify_that!(cluster.replies.get(&tag), some(eq(&expected)))?;
    }
    Ok(())
}

#[gtest]
fn an_isolated_leader_answers_nothing_after_its_lease_expires() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.isolate(leader);
    let add = cluster.request(leader, Request::Add(1));
    cluster.run_until(SECOND, |cluster| {
        !cluster.host(leader).holds_lease(cluster.now)
    });
    let still_leads = cluster.host(leader).is_leader();
    let read = cluster.request(leader, Request::Count);
    verify_that!(still_leads, eq(true))?;
    verify_that!(
        cluster.replies.get(&read),
        some(eq(&HostReply::NotLeader { leader: None }))
    )?;
    let new_leader = cluster.wait_for_leader();
    verify_that!(new_leader, not(eq(leader)))?;
    verify_that!(cluster.answer(add), some(eq(&HostReply::Unknown)))?;
    verify_that!(cluster.replica(leader).effects, is_empty())
}

/// Guards the sensitivity of the lease test: without the lease check an isolated leader answers.
#[gtest]
fn an_isolated_leader_without_lease_check_answers_reads() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let faults = Faults {
        skip_lease_check: true,
        ..Faults::default()
    };
    for id in 1..=3 {
        cluster.crash(id);
        cluster.replica(id).config.faults = faults;
        cluster.restart(id);
    }
    let _ = leader;
    let leader = cluster.wait_for_leader();
    cluster.isolate(leader);
    cluster.run(Duration::from_millis(480));
    let read = cluster.request(leader, Request::Count);
    verify_that!(
        cluster.replies.get(&read),
        some(matches_pattern!(HostReply::Reply(_)))
    )
}

#[gtest]
fn a_frozen_leader_releases_nothing_when_it_resumes() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let add = cluster.request(leader, Request::Add(1));
    cluster.replica(leader).is_frozen = true;
    cluster.run(SECOND * 3);
    let new_leader = cluster.wait_for_leader();
    verify_that!(new_leader, not(eq(leader)))?;
    // The delayed acknowledgements are handled before the leader's next tick.
    cluster.replica(leader).is_frozen = false;
    let read = cluster.request(leader, Request::Count);
    cluster.run(SECOND);
    verify_that!(
        cluster.replies.get(&read),
        some(eq(&HostReply::NotLeader { leader: None }))
    )?;
    verify_that!(cluster.replies.get(&add), some(eq(&HostReply::Unknown)))?;
    verify_that!(cluster.replica(leader).effects, is_empty())
}

#[gtest]
fn lost_leadership_distinguishes_requests_without_effect() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let add = cluster.request(leader, Request::Add(1));
    let wait = cluster.request(leader, Request::Wait);
    cluster.isolate(leader);
    cluster.run(SECOND * 3);
    verify_that!(cluster.replies.get(&add), some(eq(&HostReply::Unknown)))?;
    verify_that!(
        cluster.replies.get(&wait),
        some(eq(&HostReply::NotLeader { leader: None }))
    )
}

#[gtest]
fn requests_of_one_step_share_one_write() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.run(SECOND);
    let writes_before = cluster.replica(leader).writes.len();
    let tags: Vec<_> = (0..100).map(|_| cluster.new_tag()).collect();
    let inputs = tags
        .iter()
        .map(|tag| HostInput::Request {
            tag: *tag,
            request: Request::Add(tag.0),
        })
        .collect();
    cluster.feed(leader, inputs);
    // Requests that arrive while that write is in progress share the next one.
    for number in 0..50 {
        cluster.request(leader, Request::Add(number));
    }
    cluster.run(SECOND);
    // Ignores writes without records, which carry snapshots.
    let mut writes = cluster.replica(leader).writes[writes_before..].to_vec();
    writes.retain(|records| *records > 0);
    verify_that!(writes, elements_are![eq(&100), eq(&50)])?;
    for tag in tags {
        verify_that!(
            cluster.replies.get(&tag),
            some(matches_pattern!(HostReply::Reply(_)))
        )?;
    }
    Ok(())
}

#[gtest]
fn events_reach_the_leader_machine_only() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    for id in 1..=3 {
        cluster.feed(id, vec![HostInput::Event(id)]);
    }
    cluster.run(SECOND);
    verify_that!(cluster.numbers(leader).applied, elements_are![eq(&leader)])
}

#[gtest]
fn leadership_is_announced_with_its_epoch() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.run(SECOND);
    let epoch = Epoch(cluster.host(leader).term());
    for id in 1..=3 {
        let expected = if id == leader {
            Leadership::Leading { epoch }
        } else {
            Leadership::Following {
                leader: Some(ReplicaId(leader)),
            }
        };
        verify_that!(cluster.replica(id).leadership.last(), some(eq(&expected)))?;
    }
    Ok(())
}

#[gtest]
fn undecodable_messages_are_treated_as_lost() -> Result<()> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    for message in [vec![], vec![255; 40], vec![1, 2, 3]] {
        let from = ReplicaId(2);
        cluster.feed(leader, vec![HostInput::Consensus { from, message }]);
    }
    cluster.add_numbers(leader, [1]);
    verify_that!(cluster.replica(leader).failure, none())
}
