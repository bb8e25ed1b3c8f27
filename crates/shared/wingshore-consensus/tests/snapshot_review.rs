//! Interruptions during and after the sending of a snapshot: the log after the snapshot, a link
//! that is cut for a while, and late messages. Progress must not be discarded, and nothing that was
//! not lost may be resent.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use support::counted::CountingState;
use wingshore_consensus::{AppendRejection, Body, Faults, Input, Limits, Message};
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{LogIndex, ReplicaId};

/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 64;
/// Number of chunks of the state.
const CHUNKS: u64 = 400;
/// Window size, in chunks.
const WINDOW: u64 = 4;
/// The member that is sent the snapshot.
const RECEIVER: u64 = 3;

/// Returns the number of chunks of the state and of the snapshot's header.
fn total_chunks() -> u64 {
    CHUNKS + 1
}

fn limits() -> Limits {
    Limits {
        snapshot_chunk_bytes: CHUNK_BYTES,
        snapshot_chunks_in_flight: WINDOW as usize,
        retained_log_bytes: 0,
        ..support::small_limits()
    }
}

fn ordered_network() -> Network {
    Network {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(1),
        ..Network::default()
    }
}

/// Returns a cluster of three members on a network that keeps the order of messages, and its
/// leader.
fn cluster_with(limits: Limits) -> Result<(Cluster, u64)> {
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    cluster.network = ordered_network();
    // The receiver is a voter, but must not become leader: it is isolated until another member is.
    cluster.isolate(RECEIVER);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    verify_that!(
        cluster.run_until(Duration::from_secs(5), has_leader),
        eq(true)
    )?;
    let leader = cluster.ready_leader().or_fail()?;
    Ok((cluster, leader))
}

/// Proposes `count` entries of 16 bytes, one every 10 ms.
fn write(cluster: &mut Cluster, leader: u64, count: u64) -> Result<()> {
    for _ in 0..count {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(10));
    }
    Ok(())
}

/// Returns a cluster and its leader, which is about to send `state` to the third member, which was
/// isolated for long.
fn cluster_before_snapshot(state: SnapshotState) -> Result<(Cluster, u64)> {
    let (mut cluster, leader) = cluster_with(limits())?;
    write(&mut cluster, leader, 60)?;
    cluster.node(leader).provided_state = Some(state);
    cluster.cut_links.clear();
    Ok((cluster, leader))
}

/// Runs until the receiver has applied the entries that the leader has applied now.
fn run_until_caught_up(cluster: &mut Cluster, leader: u64) -> Result<()> {
    let applied = cluster.raft(leader).last_applied();
    let has_caught_up = |cluster: &Cluster| {
        let receiver = cluster.nodes[&ReplicaId(RECEIVER)].raft.as_ref();
        receiver.is_some_and(|raft| raft.last_applied() >= applied)
    };
    verify_that!(
        cluster.run_until(Duration::from_secs(30), has_caught_up),
        eq(true)
    )
}

fn chunks_sent_at_least(count: u64) -> impl Fn(&Cluster) -> bool {
    move |cluster| cluster.sent_snapshot_chunks >= count
}

/// Delivers a message from the receiver to the leader, in the leader's term.
fn feed_from_receiver(cluster: &mut Cluster, leader: u64, body: Body) {
    let term = cluster.raft(leader).term();
    let message = Message { term, body };
    let from = ReplicaId(RECEIVER);
    cluster.feed(ReplicaId(leader), Input::Message { from, message });
}

/// Adds the indexes of the snapshots that are being sent to `sent_snapshots`.
fn record_sent_snapshots(cluster: &Cluster, leader: u64, sent_snapshots: &mut BTreeSet<LogIndex>) {
    let outgoing = cluster.raft(leader).outgoing_snapshots();
    sent_snapshots.extend(outgoing.into_iter().map(|sending| sending.index));
}

/// Guards against sending the whole snapshot again, by the same leader in the same term, to a voter
/// that was cut off in the middle for longer than an election timeout. The voter starts a pre-vote,
/// and the next message of its leader makes it a follower again. `become_follower` used to drop the
/// partial snapshot then, although the leader and the term are the same. Only one window is lost,
/// but nearly everything was sent twice.
#[gtest]
fn snapshot_resumes_after_receiver_was_cut_off() -> Result<()> {
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    let (mut cluster, leader) = cluster_before_snapshot(state.state())?;
    cluster.run_until(Duration::from_secs(5), chunks_sent_at_least(360));
    let term = cluster.raft(leader).term();
    cluster.isolate(RECEIVER);
    cluster.run(2 * support::timing().election_timeout + Duration::from_millis(100));
    cluster.cut_links.clear();
    run_until_caught_up(&mut cluster, leader)?;
    verify_that!(cluster.raft(leader).term(), eq(term))?;
    println!(
        "chunks {}, bytes read {}",
        cluster.sent_snapshot_chunks,
        state.bytes_read()
    );
    let lost_windows = 4;
    expect_that!(
        cluster.sent_snapshot_chunks,
        le(total_chunks() + lost_windows * WINDOW)
    );
    expect_that!(state.bytes_read(), le(CHUNKS * CHUNK_BYTES as u64));
    Ok(())
}

/// Returns limits that keep 8 KiB of log in memory, of which an eighth is kept when the leader
/// takes a snapshot.
fn catching_up_limits() -> Limits {
    Limits {
        retained_log_bytes: 1 << 10,
        cached_log_bytes: 8 << 10,
        append_bytes: 64,
        in_flight_messages: 1,
        in_flight_bytes: 64,
        ..limits()
    }
}

/// Guards against sending a snapshot to a member that was away for a moment, or that is receiving
/// the log after a snapshot, although the log in memory reaches back far enough. It came about when
/// the leader took a snapshot while the member was further behind than `retained_log_bytes`:
/// `compact` reduced the log in memory to `retained_log_bytes` instead of `cached_log_bytes`, and
/// only snapshots being sent prevented that. No snapshot is needed here, so none may be sent.
#[gtest]
fn leader_snapshot_keeps_log_needed_by_lagging_member() -> Result<()> {
    let (mut cluster, leader) = cluster_with(catching_up_limits())?;
    cluster.cut_links.clear();
    cluster.run(Duration::from_secs(1));
    cluster.isolate(RECEIVER);
    write(&mut cluster, leader, 100)?;
    cluster.cut_links.clear();
    cluster.run(Duration::from_millis(100));
    let behind = cluster.raft(leader).last_applied().0 - cluster.raft(RECEIVER).last_applied().0;
    let log_bytes = cluster.raft(leader).log_bytes();
    let state = cluster.node(leader).applied.encode();
    cluster.act(leader, |raft, _, _| raft.compact(state).unwrap());
    run_until_caught_up(&mut cluster, leader)?;
    println!(
        "behind {behind} entries, log in memory {log_bytes} bytes of 8192, chunks {}",
        cluster.sent_snapshot_chunks
    );
    verify_that!(behind, gt(0))?;
    verify_that!(log_bytes, lt(8 << 10))?;
    verify_that!(cluster.sent_snapshot_chunks, eq(0))
}

/// Guards against sending a second snapshot right after the first. While the first one is being
/// sent, more log than `cached_log_bytes` accumulates after it; up to four times as much is kept.
/// `trim_log` used to keep it only until the snapshot was acknowledged, and then cut it to
/// `cached_log_bytes` before the member had received it. Here the log after the snapshot never
/// exceeds the limit, so one transfer must suffice.
#[gtest]
fn log_after_snapshot_is_kept_until_member_caught_up() -> Result<()> {
    let cached_log_limit = 2 << 10;
    let limits = Limits {
        snapshot_chunk_bytes: 1,
        snapshot_chunks_in_flight: 1,
        cached_log_bytes: cached_log_limit,
        append_bytes: 1 << 10,
        in_flight_messages: 64,
        in_flight_bytes: 64 << 10,
        ..limits()
    };
    let (mut cluster, leader) = cluster_with(limits)?;
    write(&mut cluster, leader, 200)?;
    cluster.cut_links.clear();
    let mut sent_snapshots = BTreeSet::new();
    let mut most_bytes = 0;
    // Ten seconds of writes.
    for _ in 0..2_000 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(5));
        record_sent_snapshots(&cluster, leader, &mut sent_snapshots);
        most_bytes = most_bytes.max(cluster.raft(leader).log_bytes());
    }
    let behind = cluster.raft(leader).last_applied().0 - cluster.raft(RECEIVER).last_applied().0;
    println!(
        "snapshots sent {}, at most {most_bytes} bytes of log in memory (limit {cached_log_limit}), entries behind {behind}",
        sent_snapshots.len()
    );
    verify_that!(most_bytes, lt(4 * cached_log_limit))?;
    verify_that!(sent_snapshots.len(), eq(1))
}

/// Guards against rereading the whole state, and resending its end at each stall, although the
/// member has everything. It came about when the last acknowledgement overtook the previous one, as
/// happens when the network path changes, and the member took longer than a stall to make the
/// snapshot durable. `resend` took the most recently received acknowledgement for the member's
/// progress; the chunk at that offset was not kept any more and was read from the first byte on.
/// Nothing is lost here, and everything was read twice.
#[gtest]
fn reordered_last_acknowledgement_causes_no_second_read() -> Result<()> {
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    let (mut cluster, leader) = cluster_before_snapshot(state.state())?;
    cluster.run_until(Duration::from_secs(5), chunks_sent_at_least(100));
    cluster.stalled_disks.insert(ReplicaId(RECEIVER));
    run_until_caught_up(&mut cluster, leader)?;
    cluster.run_until(Duration::from_millis(5), |_| false);
    let sending = cluster.raft(leader).outgoing_snapshots();
    let sending = sending.first().copied().or_fail()?;
    verify_that!(sending.received, eq(sending.total))?;
    let late = Body::SnapshotReceived {
        index: sending.index,
        received: sending.total - CHUNK_BYTES as u64,
    };
    feed_from_receiver(&mut cluster, leader, late);
    let sent = cluster.sent_snapshot_chunks;
    cluster.run_until(Duration::from_secs(2), |_| false);
    let resent = cluster.sent_snapshot_chunks - sent;
    println!(
        "bytes read {}, chunks sent again {resent}",
        state.bytes_read()
    );
    expect_that!(
        state.bytes_read(),
        le((CHUNKS + WINDOW) * CHUNK_BYTES as u64)
    );
    expect_that!(resent, le(WINDOW));
    Ok(())
}

/// Guards against a late rejection that aborts a nearly complete transfer, which then starts again
/// with another snapshot. The rejection was sent before the transfer, when the follower's log was
/// shorter than what it has acknowledged since. `on_rejected` used to compare the last index before
/// it checked that a snapshot is being sent. Nothing is lost here, and the snapshot was sent twice.
#[gtest]
fn late_rejection_does_not_abort_snapshot() -> Result<()> {
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    let (mut cluster, leader) = cluster_with(limits())?;
    cluster.cut_links.clear();
    write(&mut cluster, leader, 10)?;
    cluster.run(Duration::from_millis(500));
    let last_index_before = cluster.raft(RECEIVER).last_index();
    cluster.isolate(RECEIVER);
    write(&mut cluster, leader, 60)?;
    cluster.node(leader).provided_state = Some(state.state());
    cluster.cut_links.clear();
    verify_that!(
        cluster.run_until(Duration::from_secs(5), chunks_sent_at_least(360)),
        eq(true)
    )?;
    let rejection = AppendRejection {
        rejected_index: LogIndex(last_index_before.0 - 1),
        hint_index: LogIndex(last_index_before.0 - 2),
        hint_term: cluster.raft(leader).term(),
        last_index: LogIndex(last_index_before.0 - 2),
    };
    feed_from_receiver(&mut cluster, leader, Body::AppendRejected(rejection));
    run_until_caught_up(&mut cluster, leader)?;
    println!("chunks {}", cluster.sent_snapshot_chunks);
    verify_that!(
        cluster.sent_snapshot_chunks,
        le(total_chunks() + 2 * WINDOW)
    )
}

/// Guards against resending the first entries to a member repeatedly although nothing is lost. The
/// member is paused for some heartbeats just after the entries were sent; when it continues, it
/// answers the heartbeats at once, and the entries once they are durable. In the state `Probe`,
/// each heartbeat reply, even to a heartbeat sent before the append, used to permit another append;
/// the rule for stalls applied only to streamed entries and snapshots. The test fails if entries
/// are sent more than twice.
#[gtest]
fn frozen_member_is_sent_first_entries_once() -> Result<()> {
    let limits = Limits {
        cached_log_bytes: 1 << 20,
        append_bytes: 1 << 10,
        in_flight_bytes: 64 << 10,
        in_flight_messages: 64,
        ..limits()
    };
    let (mut cluster, leader) = cluster_with(limits)?;
    cluster.cut_links.clear();
    cluster.run(Duration::from_secs(1));
    cluster.isolate(RECEIVER);
    write(&mut cluster, leader, 20)?;
    cluster.run(Duration::from_secs(1));
    let before = cluster.sent_entries;
    // Longer than a step of the simulation, so that the append is still in flight when it is
    // observed.
    cluster
        .extra_delays
        .insert(ReplicaId(RECEIVER), Duration::from_millis(10));
    cluster.cut_links.clear();
    let has_sent = |cluster: &Cluster| cluster.sent_entries > before;
    cluster.run_until(Duration::from_secs(5), has_sent);
    let until = cluster.now + 8 * support::timing().heartbeat_interval;
    cluster.node(RECEIVER).frozen_until = until;
    run_until_caught_up(&mut cluster, leader)?;
    cluster.run(Duration::from_secs(1));
    let sent = cluster.sent_entries - before;
    let missing = cluster.raft(leader).last_index().0;
    println!("entries sent {sent}, entries missing {missing}");
    verify_that!(sent, le(2 * missing))
}

/// Guards against sending the first entries after a snapshot several times on a path whose delay
/// exceeds a heartbeat interval. Heartbeat replies arrive while the append is in flight, and each
/// of them used to permit another append. Each entry must be sent once.
#[gtest]
fn slow_path_is_sent_first_entries_once() -> Result<()> {
    let limits = Limits {
        cached_log_bytes: 1 << 20,
        append_bytes: 1 << 10,
        in_flight_bytes: 64 << 10,
        in_flight_messages: 64,
        ..limits()
    };
    let (mut cluster, leader) = cluster_with(limits)?;
    write(&mut cluster, leader, 20)?;
    cluster.run(Duration::from_secs(1));
    let before = cluster.sent_entries;
    let one_way_delay = support::timing().heartbeat_interval * 6 / 5;
    cluster
        .extra_delays
        .insert(ReplicaId(RECEIVER), one_way_delay);
    cluster.cut_links.clear();
    run_until_caught_up(&mut cluster, leader)?;
    cluster.run(Duration::from_secs(1));
    let sent = cluster.sent_entries - before;
    let missing = cluster.raft(leader).last_index().0;
    println!("entries sent {sent}, entries missing {missing}");
    verify_that!(sent, le(missing))
}

/// Guards against sending the whole snapshot again to a member that had nine tenths of it when
/// leadership was transferred, as at a planned stop of the leader. `become_follower` drops the
/// partial snapshot, since another leader's snapshot has another index and may differ in its bytes,
/// so the leader must finish the transfer of the snapshot first. Nothing is lost here, and less
/// than half of the chunks may be sent twice.
#[gtest]
fn leadership_transfer_does_not_restart_snapshot() -> Result<()> {
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    let (mut cluster, leader) = cluster_before_snapshot(state.state())?;
    let other = 3 - leader;
    cluster.node(other).provided_state = Some(state.state());
    cluster.run_until(Duration::from_secs(5), chunks_sent_at_least(360));
    cluster.act(leader, |raft, now, _| {
        raft.transfer_leadership(now, ReplicaId(other)).unwrap();
    });
    cluster.run_until(Duration::from_secs(5), |cluster| {
        cluster.ready_leader() == Some(other)
    });
    run_until_caught_up(&mut cluster, other)?;
    println!("chunks {}", cluster.sent_snapshot_chunks);
    verify_that!(
        cluster.sent_snapshot_chunks,
        le(total_chunks() + total_chunks() / 2)
    )
}

/// Returns in how many of 1000 samples during 5 s of writes a learner with an extra one-way delay
/// of `one_way_delay` counts as caught up.
fn count_caught_up_samples(one_way_delay: Duration) -> Result<u64> {
    let limits = Limits {
        cached_log_bytes: 1 << 20,
        in_flight_bytes: 1 << 20,
        append_bytes: 64 << 10,
        in_flight_messages: 64,
        ..support::small_limits()
    };
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    cluster.network = ordered_network();
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    let leader = cluster.ready_leader().or_fail()?;
    cluster.add_node(4, false, 3);
    cluster.extra_delays.insert(ReplicaId(4), one_way_delay);
    cluster.act(leader, |raft, _, out| {
        raft.add_learner(support::member(4), out).unwrap();
    });
    cluster.run(Duration::from_secs(1));
    let mut caught_up = 0;
    for _ in 0..1_000 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(5));
        caught_up += u64::from(cluster.raft(leader).is_caught_up(ReplicaId(4)));
    }
    Ok(caught_up)
}

/// Guards against a learner that follows steadily but is never promoted, so that nobody replaces a
/// lost voter. The round trip to the learner, including its sync, takes longer than two heartbeat
/// intervals, as on a busy machine or a slow disk, while writes continue. `caught_up_index` used to
/// be the commit index of one to two rounds before now, whatever the learner had answered, so
/// entries sent before the last answered round did not count. Of 1000 samples in 5 s hardly any
/// counted as caught up, and those were from the first moments.
#[gtest]
fn steadily_lagging_learner_can_be_promoted() -> Result<()> {
    let interval = support::timing().heartbeat_interval;
    let one_way_delay = interval * 3 / 2;
    verify_that!(2 * one_way_delay, lt(support::timing().election_timeout))?;
    let samples = count_caught_up_samples(one_way_delay)?;
    println!("caught up at {samples} of 1000 samples in 5 s");
    // A planner that samples every two heartbeats finds the learner caught up within a second.
    verify_that!(samples, ge(100))
}

/// Guards against a slow recovery of a lost disk on a path, or between busy machines, where a chunk
/// is answered after 0.2 s: the state was not complete within 6 s, although nothing was lost and
/// the link was idle. The leader sent 1 MB and waited for the answer: with a fixed window of four
/// chunks of 256 KiB the throughput is 1 MB per round trip. The test sends a state of 56 MB with
/// the default limits, all scaled down by 1024, with a one-way delay of 0.1 s.
#[gtest]
fn usual_snapshot_completes_in_time_on_slow_path() -> Result<()> {
    let scale = 1_024;
    let usual = Limits::default();
    let limits = Limits {
        snapshot_chunk_bytes: usual.snapshot_chunk_bytes / scale,
        snapshot_chunks_in_flight: usual.snapshot_chunks_in_flight,
        ..limits()
    };
    let (mut cluster, leader) = cluster_with(limits)?;
    write(&mut cluster, leader, 60)?;
    let state = CountingState::new(56 * 1_024 * 1_024 / scale as u64);
    cluster.node(leader).provided_state = Some(state.state());
    // Members of a site send heartbeats every 100 ms.
    let one_way_delay = Duration::from_millis(100);
    cluster
        .extra_delays
        .insert(ReplicaId(RECEIVER), one_way_delay);
    cluster.cut_links.clear();
    let begin = cluster.now;
    run_until_caught_up(&mut cluster, leader)?;
    let elapsed = cluster.now.since(begin);
    println!("took {elapsed:?}, chunks {}", cluster.sent_snapshot_chunks);
    verify_that!(elapsed, le(Duration::from_secs(6)))
}

/// A member that received everything, took long to write it, and restarts before it is durable must
/// be sent the snapshot again in time, even if the intervals between probes have grown by then.
#[gtest]
fn member_restarted_during_write_is_resent_the_snapshot() -> Result<()> {
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    let (mut cluster, leader) = cluster_before_snapshot(state.state())?;
    cluster.run_until(Duration::from_secs(5), chunks_sent_at_least(100));
    cluster.stalled_disks.insert(ReplicaId(RECEIVER));
    run_until_caught_up(&mut cluster, leader)?;
    cluster.run_until(Duration::from_secs(5), |_| false);
    cluster.crash(RECEIVER, 0);
    cluster.stalled_disks.clear();
    cluster.restart(RECEIVER);
    let (begin, sent) = (cluster.now, cluster.sent_snapshot_chunks);
    run_until_caught_up(&mut cluster, leader)?;
    let elapsed = cluster.now.since(begin);
    let chunks = cluster.sent_snapshot_chunks - sent;
    println!("sent again after {elapsed:?}, {chunks} chunks");
    expect_that!(elapsed, le(Duration::from_secs(3)));
    expect_that!(chunks, le(total_chunks() + 2 * WINDOW));
    Ok(())
}
