//! Leadership transfers while a snapshot is being sent.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use support::counted::CountingState;
use wingshore_consensus::{Faults, Limits};
use wingshore_types::ReplicaId;

/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 64;
/// Number of chunks of the state.
const CHUNKS: u64 = 400;
/// The member that is sent the snapshot.
const RECEIVER: u64 = 3;
/// Maximum time that a transfer waits for a snapshot, in election timeouts.
const SNAPSHOT_WAIT_ELECTION_TIMEOUTS: u32 = 4;

/// Returns a cluster and its leader, which is sending a snapshot to the third member, at a one-way
/// delay of `one_way_delay`.
fn sending_cluster(one_way_delay: Duration) -> Result<(Cluster, u64)> {
    let limits = Limits {
        snapshot_chunk_bytes: CHUNK_BYTES,
        snapshot_chunks_in_flight: 1,
        retained_log_bytes: 0,
        ..support::small_limits()
    };
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    cluster.network = Network {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(1),
        ..Network::default()
    };
    cluster.isolate(RECEIVER);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    let leader = cluster.ready_leader().or_fail()?;
    for _ in 0..60 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(10));
    }
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    cluster.node(leader).provided_state = Some(state.state());
    cluster
        .extra_delays
        .insert(ReplicaId(RECEIVER), one_way_delay);
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
    cluster.isolate(RECEIVER);
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
