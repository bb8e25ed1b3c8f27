//! What sending the state to a member costs when chunks of it come late or twice.
//!
//! Seen: two coordinators with empty disks were sent the state for 12 s and did not get it; when two
//! more were lost, no majority was left, and batch jobs that had been accepted could not be read.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use support::counted::CountedState;
use wingshore_consensus::{Faults, Limits};
use wingshore_types::{LogIndex, ReplicaId};

/// Bytes of a chunk.
const CHUNK_BYTES: usize = 64;
/// Chunks of the state.
const CHUNKS: u64 = 400;
/// Chunks that may be under way.
const WINDOW: u64 = 4;
/// The member that is sent the state.
const RECEIVER: u64 = 3;

/// What the sending of the state took.
struct Sending {
    chunks: u64,
    bytes_read: u64,
}

/// Three members on a network that keeps the order.
fn ordered_cluster(limits: Limits) -> Cluster {
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    cluster.network = Network {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(1),
        ..Network::default()
    };
    cluster
}

fn wait_for_leader(cluster: &mut Cluster) -> Result<u64> {
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    verify_that!(
        cluster.run_until(Duration::from_secs(5), has_leader),
        eq(true)
    )?;
    cluster.ready_leader().or_fail()
}

/// A member stands still for eight heartbeats.
fn freeze(cluster: &mut Cluster, id: u64) {
    let until = cluster.now + 8 * support::timing().heartbeat_interval;
    cluster.node(id).frozen_until = until;
}

/// A member that was away for long, and the leader that is to send it a state.
struct Scene {
    cluster: Cluster,
    state: CountedState,
    applied: LogIndex,
}

impl Scene {
    fn new() -> Result<Self> {
        let limits = Limits {
            snapshot_chunk_bytes: CHUNK_BYTES,
            snapshot_chunks_in_flight: usize::try_from(WINDOW).or_fail()?,
            retained_log_bytes: 0,
            ..support::small_limits()
        };
        let mut cluster = ordered_cluster(limits);
        cluster.isolate(RECEIVER);
        let leader = wait_for_leader(&mut cluster)?;
        for _ in 0..60 {
            cluster.propose(leader, &[1; 16]).or_fail()?;
            cluster.run(Duration::from_millis(10));
        }
        let state = CountedState::new(CHUNKS * CHUNK_BYTES as u64);
        cluster.node(leader).provided_state = Some(state.state());
        cluster.cut.clear();
        let applied = cluster.raft(leader).last_applied();
        Ok(Self {
            cluster,
            state,
            applied,
        })
    }

    /// Runs until the member has the state and what follows it.
    fn run(mut self) -> Result<Sending> {
        let applied = self.applied;
        let has_caught_up = |cluster: &Cluster| {
            let receiver = cluster.nodes[&ReplicaId(RECEIVER)].raft.as_ref();
            receiver.is_some_and(|raft| raft.last_applied() >= applied)
        };
        let duration = Duration::from_secs(20);
        verify_that!(self.cluster.run_until(duration, has_caught_up), eq(true))?;
        Ok(Sending {
            chunks: self.cluster.sent_snapshot_chunks,
            bytes_read: self.state.bytes_read(),
        })
    }
}

/// Sends the state, with the chunks of these numbers late or twice.
fn send_state(late: &[u64], doubled: &[u64]) -> Result<Sending> {
    let mut scene = Scene::new()?;
    scene.cluster.late_chunks = late.iter().copied().collect();
    scene.cluster.doubled_chunks = doubled.iter().copied().collect();
    scene.run()
}

/// Chunks of the whole with its head.
fn chunks_of_all() -> u64 {
    CHUNKS + 1
}

/// Each chunk that comes late lets at most a window be sent again: what is sent again comes twice, and must
/// not be taken for the next gap.
#[gtest]
fn a_late_chunk_lets_one_window_be_sent_again() -> Result<()> {
    for late in [&[10][..], &[100], &[10, 100, 300]] {
        let sending = send_state(late, &[])?;
        let most = chunks_of_all() + WINDOW * late.len() as u64;
        expect_that!(
            sending.chunks,
            all![ge(chunks_of_all()), le(most)],
            "late: {late:?}"
        );
    }
    Ok(())
}

/// The same for a chunk that comes twice.
#[gtest]
fn a_doubled_chunk_lets_one_window_be_sent_again() -> Result<()> {
    for doubled in [&[10][..], &[100], &[10, 100, 300]] {
        let sending = send_state(&[], doubled)?;
        let most = chunks_of_all() + WINDOW * doubled.len() as u64;
        expect_that!(
            sending.chunks,
            all![ge(chunks_of_all()), le(most)],
            "twice: {doubled:?}"
        );
    }
    Ok(())
}

/// To send a window again, only that window is read again, however much was sent before it.
#[gtest]
fn what_is_sent_again_costs_no_more_than_itself() -> Result<()> {
    let late = [50, 200, 390];
    let sending = send_state(&late, &[])?;
    let windows = late.len() as u64 * WINDOW;
    let most = (chunks_of_all() + windows) * CHUNK_BYTES as u64;
    verify_that!(sending.bytes_read, le(most))
}

/// Without any of it, each chunk is sent once and each byte read once.
#[gtest]
fn on_a_path_that_keeps_the_order_each_chunk_is_sent_once() -> Result<()> {
    let sending = send_state(&[], &[])?;
    expect_that!(sending.chunks, eq(chunks_of_all()));
    expect_that!(sending.bytes_read, eq(CHUNKS * CHUNK_BYTES as u64));
    Ok(())
}

/// A member that stood still answers all heartbeats at once that waited in its socket: nothing is lost, and
/// nothing is sent again. A member with an empty disk does the same when its first write is durable.
#[gtest]
fn a_member_that_stood_still_is_sent_no_chunk_again() -> Result<()> {
    let mut scene = Scene::new()?;
    let half = |cluster: &Cluster| cluster.sent_snapshot_chunks >= CHUNKS / 2;
    verify_that!(
        scene.cluster.run_until(Duration::from_secs(5), half),
        eq(true)
    )?;
    freeze(&mut scene.cluster, RECEIVER);
    let sending = scene.run()?;
    verify_that!(sending.chunks, eq(chunks_of_all()))
}

/// The same for entries of the log.
#[gtest]
fn a_member_that_stood_still_is_sent_no_entry_again() -> Result<()> {
    let limits = Limits {
        cached_log_bytes: 1 << 20,
        ..support::small_limits()
    };
    let mut cluster = ordered_cluster(limits);
    let leader = wait_for_leader(&mut cluster)?;
    let other = (1..=3).find(|id| *id != leader).or_fail()?;
    cluster.run(Duration::from_secs(1));
    let before = cluster.sent_entries;
    freeze(&mut cluster, other);
    let proposed = 20;
    for _ in 0..proposed {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(40));
    }
    cluster.run(Duration::from_secs(1));
    let others = 2;
    verify_that!(cluster.sent_entries - before, eq(others * proposed))
}

/// Entries that are sent now and then, with heartbeats answered between them, are sent once.
#[gtest]
fn an_answer_that_was_under_way_before_an_entry_says_nothing_of_it() -> Result<()> {
    let limits = Limits {
        cached_log_bytes: 1 << 20,
        ..support::small_limits()
    };
    let mut cluster = ordered_cluster(limits);
    cluster.network.min_delay = Duration::from_millis(4);
    cluster.network.max_delay = Duration::from_millis(4);
    let leader = wait_for_leader(&mut cluster)?;
    cluster.run(Duration::from_secs(1));
    let before = cluster.sent_entries;
    let proposed = 200;
    for number in 0..proposed {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(85 + 5 * (number % 20)));
    }
    let others = 2;
    verify_that!(cluster.sent_entries - before, eq(others * proposed))
}

/// On a path that is longer than a heartbeat interval, heartbeats from before a chunk are answered while the
/// chunk is on its way: each chunk and each entry is sent once.
#[gtest]
fn on_a_path_longer_than_a_heartbeat_nothing_is_sent_again() -> Result<()> {
    let mut scene = Scene::new()?;
    let way = support::timing().heartbeat_interval * 6 / 5;
    scene.cluster.network.min_delay = way;
    scene.cluster.network.max_delay = way;
    let sending = scene.run()?;
    expect_that!(sending.chunks, eq(chunks_of_all()));
    Ok(())
}
