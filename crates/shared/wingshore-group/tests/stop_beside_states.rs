//! Planned stop of a leader that is sending a snapshot.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::member::{config, member};
use support::numbers::Request;
use wingshore_group::{HostInput, HostReply};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::MembershipRequest;

const JOINER: u64 = 40;
/// Count of numbers in the state; its snapshot takes about a hundred chunks.
const NUMBERS: u64 = 3_000;
/// Limit of each wait in simulated time; more than a stop may take.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Returns whether a member has received part of a snapshot from the leader.
fn is_sending(cluster: &Cluster, leader: u64) -> bool {
    let sendings = cluster.host(leader).outgoing_snapshots();
    sendings.iter().any(|sending| sending.received > 0)
}

/// Returns a cluster whose leader has sent part of a snapshot to a new member, and the leader's id.
fn cluster_sending_snapshot() -> Result<(Cluster, u64)> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.add_numbers(leader, 0..NUMBERS);
    cluster.max_delay = Duration::from_millis(10);
    cluster.add(config(JOINER, None));
    cluster.membership_request(leader, MembershipRequest::AddLearner(member(JOINER)));
    verify_that!(
        cluster.run_until(MAX_WAIT, |cluster| is_sending(cluster, leader)),
        eq(true)
    )?;
    Ok((cluster, leader))
}

/// Runs until `leader` has stopped; returns whether it did within the limit.
fn wait_for_stop(cluster: &mut Cluster, leader: u64) -> bool {
    cluster.run_until(MAX_WAIT, |cluster| {
        cluster.replicas[&ReplicaId(leader)].has_stopped
    })
}

/// Guards against a stop that refuses requests while it waits for a snapshot to be sent, and
/// against one that ends before the new member has the complete state.
#[gtest]
fn a_stop_that_waits_for_a_snapshot_accepts_requests() -> Result<()> {
    let (mut cluster, leader) = cluster_sending_snapshot()?;
    cluster.feed(leader, vec![HostInput::Stop]);
    let tag = cluster.request(leader, Request::Add(NUMBERS));
    let answered = cluster.run_until(MAX_WAIT, |cluster| cluster.replies.contains_key(&tag));
    verify_that!(answered, eq(true))?;
    verify_that!(
        cluster.replies.get(&tag),
        some(matches_pattern!(HostReply::Reply(_)))
    )?;
    verify_that!(wait_for_stop(&mut cluster, leader), eq(true))?;
    verify_that!(
        cluster.numbers(JOINER).applied.len(),
        ge(usize::try_from(NUMBERS).or_fail()?)
    )
}

/// Guards against a stop that waits for a snapshot to reach a member that was lost during the
/// transfer: the stop is delayed only until the loss is detected.
#[gtest]
fn a_stop_does_not_wait_for_a_member_that_is_gone() -> Result<()> {
    let (mut cluster, leader) = cluster_sending_snapshot()?;
    cluster.isolate(JOINER);
    let start = cluster.now;
    cluster.feed(leader, vec![HostInput::Stop]);
    verify_that!(wait_for_stop(&mut cluster, leader), eq(true))?;
    let took = cluster.now.since(start);
    let election_timeout = config(JOINER, None).timing.election_timeout;
    println!("stopped after {took:?}");
    // The loss is detected after one election timeout and leadership is handed over within another.
    verify_that!(took, le(3 * election_timeout))
}
