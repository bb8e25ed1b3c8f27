//! Tests of snapshots and of the log kept in memory.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use wingshore_consensus::{Faults, Limits};
use wingshore_types::ReplicaId;

/// Size of the snapshot's state, in bytes.
const STATE_BYTES: usize = 4_000;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 24;

/// Reordered acknowledgements must not make the leader resend every chunk for each of them: as each
/// chunk is acknowledged, the number of chunks would grow without limit.
#[gtest]
fn reordered_acknowledgements_do_not_multiply_chunks() -> Result<()> {
    let limits = Limits {
        snapshot_chunk_bytes: CHUNK_BYTES,
        snapshot_chunks_in_flight: 8,
        retained_log_bytes: 0,
        cached_log_bytes: 0,
        ..support::small_limits()
    };
    for seed in 0..20 {
        let mut cluster = Cluster::with(3, seed, Faults::default(), limits);
        cluster.network = Network {
            duplication: 0.02,
            max_delay: Duration::from_millis(6),
            ..Network::default()
        };
        cluster.isolate(3);
        let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
        verify_that!(
            cluster.run_until(Duration::from_secs(5), has_leader),
            eq(true)
        )?;
        let leader = cluster.ready_leader().or_fail()?;
        cluster.propose(leader, b"command").or_fail()?;
        cluster.run(Duration::from_millis(100));
        let state = vec![7; STATE_BYTES];
        cluster.node(leader).provided_state = Some(state.clone().into());
        cluster.act(leader, |raft, _, _| raft.compact(state).unwrap());
        cluster.cut_links.clear();
        let applied = cluster.raft(leader).last_applied();
        let caught_up = |cluster: &Cluster| {
            let is_excessive =
                cluster.sent_snapshot_chunks > 40 * (STATE_BYTES / CHUNK_BYTES) as u64;
            is_excessive
                || cluster.nodes[&ReplicaId(3)]
                    .raft
                    .as_ref()
                    .unwrap()
                    .last_applied()
                    >= applied
        };
        verify_that!(
            cluster.run_until(Duration::from_secs(20), caught_up),
            eq(true)
        )?;
        let min_chunks = (STATE_BYTES / CHUNK_BYTES) as u64;
        verify_that!(
            cluster.sent_snapshot_chunks,
            all![ge(min_chunks), lt(10 * min_chunks)]
        )
        .with_failure_message(|| format!("seed {seed}"))?;
    }
    Ok(())
}

/// Applied and durable entries are on disk, so memory keeps only what a follower that is slightly
/// behind may need, however long the log on disk grows between snapshots.
#[gtest]
fn a_log_without_snapshots_does_not_fill_the_memory() -> Result<()> {
    let limits = support::small_limits();
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    for _ in 0..100 {
        let leader = cluster.ready_leader().or_fail()?;
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(20));
    }
    cluster.run(Duration::from_millis(500));
    let entry_bytes = 16 + 16;
    let max_entries = (limits.cached_log_bytes / entry_bytes + 1) as u64;
    for id in 1..=3 {
        let raft = cluster.raft(id);
        let held = raft.last_index().0 + 1 - raft.first_index().0;
        verify_that!(held, le(max_entries)).with_failure_message(|| format!("member {id}"))?;
        verify_that!(
            cluster.nodes[&ReplicaId(id)].disk.contents.records.len(),
            ge(100)
        )?;
    }
    Ok(())
}

/// A member that needs entries older than the log in memory must be sent a snapshot, even though
/// none was ever written to disk.
#[gtest]
fn a_member_that_was_away_for_long_gets_a_snapshot_made_for_it() -> Result<()> {
    let mut cluster = Cluster::with(3, 2, Faults::default(), support::small_limits());
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    let leader = cluster.ready_leader().or_fail()?;
    let absent_member = (1..=3).find(|id| *id != leader).or_fail()?;
    cluster.isolate(absent_member);
    for _ in 0..60 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(10));
    }
    cluster.cut_links.clear();
    let applied = cluster.raft(leader).last_applied();
    let is_back = |cluster: &Cluster| cluster.raft(absent_member).last_applied() >= applied;
    verify_that!(cluster.run_until(Duration::from_secs(5), is_back), eq(true))?;
    verify_that!(cluster.sent_snapshot_chunks, gt(0))
}

/// A member that receives a long committed log must apply it in batches, and request a tick at once
/// for the next batch.
#[gtest]
fn long_log_is_applied_in_batches() -> Result<()> {
    let limits = Limits {
        apply_bytes: 64,
        cached_log_bytes: 1 << 20,
        append_bytes: 1 << 20,
        in_flight_bytes: 1 << 20,
        ..support::small_limits()
    };
    let mut cluster = Cluster::with(3, 3, Faults::default(), limits);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    let leader = cluster.ready_leader().or_fail()?;
    let absent_member = (1..=3).find(|id| *id != leader).or_fail()?;
    cluster.isolate(absent_member);
    for _ in 0..50 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(10));
    }
    cluster.cut_links.clear();
    let mut largest = 0;
    let mut before = cluster.raft(absent_member).last_applied().0;
    let applied = cluster.raft(leader).last_applied().0;
    let mut has_lagged = false;
    for _ in 0..5_000 {
        cluster.run(Duration::from_micros(500));
        let raft = cluster.raft(absent_member);
        has_lagged |= raft.last_applied() < raft.commit_index();
        if raft.last_applied() < raft.commit_index() {
            verify_that!(raft.next_deadline(), eq(wingshore_types::Instant::ZERO))?;
        }
        largest = largest.max(raft.last_applied().0 - before);
        before = raft.last_applied().0;
    }
    verify_that!(before, ge(applied))?;
    verify_that!(has_lagged, eq(true))?;
    verify_that!(largest, lt(50))
}
