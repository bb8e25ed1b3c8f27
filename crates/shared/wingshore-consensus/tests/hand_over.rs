//! Leadership transfers while a snapshot is being sent.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::transfer::{RECEIVER, cluster_before_transfer};
use wingshore_types::ReplicaId;

/// Maximum time that a transfer waits for a snapshot, in election timeouts.
const SNAPSHOT_WAIT_ELECTION_TIMEOUTS: u32 = 4;

/// Returns a cluster and its leader, which is sending a snapshot to the third member, at a one-way
/// delay of `one_way_delay`.
fn sending_cluster(one_way_delay: Duration) -> Result<(Cluster, u64)> {
    let (mut cluster, leader) = cluster_before_transfer(1)?;
    cluster.extra_delays.insert(RECEIVER, one_way_delay);
    cluster.cut_links.clear();
    let is_sending = |cluster: &Cluster| cluster.sent_snapshot_chunks > 10;
    verify_that!(
        cluster.run_until(Duration::from_secs(10), is_sending),
        eq(true)
    )?;
    Ok((cluster, leader))
}

fn transfer_leadership_to_other(cluster: &mut Cluster, leader: u64) -> u64 {
    let other = 3 - leader;
    cluster.act(leader, |raft, now, _| {
        raft.transfer_leadership(now, ReplicaId(other)).unwrap();
    });
    other
}

/// A leader must accept proposals while a transfer waits for a snapshot, and must not wait longer
/// than the limit for a member with a long network delay.
#[gtest]
fn transfer_waits_a_limited_time_for_slow_member_and_accepts_proposals() -> Result<()> {
    let election_timeout = support::timing().election_timeout;
    let (mut cluster, leader) = sending_cluster(election_timeout / 4)?;
    let begin = cluster.now;
    let other = transfer_leadership_to_other(&mut cluster, leader);
    cluster.run(election_timeout);
    verify_that!(cluster.raft(leader).is_leader(), eq(true))?;
    verify_that!(cluster.propose(leader, &[1; 16]), ok(anything()))?;
    let has_transferred = |cluster: &Cluster| cluster.ready_leader() == Some(other);
    verify_that!(
        cluster.run_until(Duration::from_secs(30), has_transferred),
        eq(true)
    )?;
    let elapsed = cluster.now.since(begin);
    println!("leadership transferred after {elapsed:?}");
    verify_that!(
        elapsed,
        le((SNAPSHOT_WAIT_ELECTION_TIMEOUTS + 1) * election_timeout)
    )
}

/// A leader must not wait for a member that is unreachable.
#[gtest]
fn transfer_does_not_wait_for_unreachable_member() -> Result<()> {
    let (mut cluster, leader) = sending_cluster(Duration::from_millis(1))?;
    cluster.isolate(RECEIVER.0);
    let begin = cluster.now;
    let other = transfer_leadership_to_other(&mut cluster, leader);
    let has_transferred = |cluster: &Cluster| cluster.ready_leader() == Some(other);
    verify_that!(
        cluster.run_until(Duration::from_secs(30), has_transferred),
        eq(true)
    )?;
    let elapsed = cluster.now.since(begin);
    println!("leadership transferred after {elapsed:?}");
    verify_that!(elapsed, le(2 * support::timing().election_timeout))
}
