//! A planned stop of a leader that is sending a state.

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
/// Numbers in the state: some hundred chunks.
const NUMBERS: u64 = 3_000;
/// More than a stop may take.
const PATIENCE: Duration = Duration::from_secs(20);

fn is_sending(cluster: &Cluster, leader: u64) -> bool {
    let sendings = cluster.host(leader).outgoing_snapshots();
    sendings.iter().any(|sending| sending.received > 0)
}

/// A cluster whose leader is in the middle of sending its state to a new member; and the leader.
fn sending_cluster() -> Result<(Cluster, u64)> {
    let (mut cluster, leader) = Cluster::led(3);
    cluster.add_numbers(leader, 0..NUMBERS);
    cluster.max_delay = Duration::from_millis(10);
    cluster.add(config(JOINER, None));
    cluster.membership_request(leader, MembershipRequest::AddLearner(member(JOINER)));
    verify_that!(
        cluster.run_until(PATIENCE, |cluster| is_sending(cluster, leader)),
        eq(true)
    )?;
    Ok((cluster, leader))
}

fn stops(cluster: &mut Cluster, leader: u64) -> bool {
    cluster.run_until(PATIENCE, |cluster| {
        cluster.replicas[&ReplicaId(leader)].has_stopped
    })
}

/// What it protects: a stop that waits for a state takes requests as long, and the new member has the whole state when
/// the next leader begins.
#[gtest]
fn a_stop_that_waits_for_a_state_takes_requests_meanwhile() -> Result<()> {
    let (mut cluster, leader) = sending_cluster()?;
    cluster.feed(leader, vec![HostInput::Stop]);
    let taken = cluster.request(leader, Request::Add(NUMBERS));
    let answered = cluster.run_until(PATIENCE, |cluster| cluster.replies.contains_key(&taken));
    verify_that!(answered, eq(true))?;
    verify_that!(
        cluster.replies.get(&taken),
        some(matches_pattern!(HostReply::Reply(_)))
    )?;
    verify_that!(stops(&mut cluster, leader), eq(true))?;
    verify_that!(
        cluster.numbers(JOINER).applied.len(),
        ge(usize::try_from(NUMBERS).or_fail()?)
    )
}

/// What it protects: a member that is gone in the middle of a sending does not hold a stop up for longer than it takes to
/// notice that.
#[gtest]
fn a_stop_does_not_wait_for_a_member_that_is_gone() -> Result<()> {
    let (mut cluster, leader) = sending_cluster()?;
    cluster.isolate(JOINER);
    let begin = cluster.now;
    cluster.feed(leader, vec![HostInput::Stop]);
    verify_that!(stops(&mut cluster, leader), eq(true))?;
    let took = cluster.now.since(begin);
    let election_timeout = config(JOINER, None).timing.election_timeout;
    println!("stopped after {took:?}");
    // Noticed after one election timeout, handed over within another.
    verify_that!(took, le(3 * election_timeout))
}
