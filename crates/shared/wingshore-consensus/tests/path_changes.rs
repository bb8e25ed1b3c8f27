//! Sending of a snapshot while the network path to the receiver changes.
//!
//! Failure: two coordinators have up to two connections, one dialled by each, and send on the newer
//! one. The leader dials a member when it adds it, which is when it begins to send it the state, so
//! that the first chunks on the new connection overtake the last ones on the old one. Nothing is
//! lost, but up to twice the whole state was sent again: the answers to overtaken chunks arrived
//! after those to their resent copies, the count of unanswered chunks was then too low, every
//! window looked like a gap, and the answers to each resent window kept the count too low.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use support::transfer::{CHUNKS, RECEIVER, cluster_before_transfer};

/// Window size, in chunks.
const WINDOW: u64 = 4;
/// Numbers of chunks that are sent on the old path.
const CHUNKS_ON_OLD_PATH: [u64; 9] = [1, 4, 8, 15, 20, 60, 120, 200, 330];
/// One-way delays of the old path in milliseconds, so short that no heartbeat which is sent behind
/// the chunks is answered much earlier than they are: the follower does not seem stalled.
const SHORT_DELAYS_MS: [u64; 6] = [3, 8, 14, 20, 32, 40];
/// One-way delays of the old path in milliseconds with which the follower may seem stalled.
const LONG_DELAYS_MS: [u64; 5] = [60, 80, 110, 150, 260];
/// Maximum number of windows that one transfer may send again, as in the soak test.
const MAX_RESENT_WINDOWS: u64 = 4;
/// The same if the follower seems stalled: twice the window at its maximum growth, once at the
/// stall and once for the answers that are late then.
const MAX_RESENT_WINDOWS_WITH_STALL: u64 = 8;

/// Returns a cluster whose leader is about to send a snapshot to a member that was isolated for long.
fn cluster_before_snapshot() -> Result<Cluster> {
    let (mut cluster, _) = cluster_before_transfer(WINDOW)?;
    cluster.cut_links.clear();
    Ok(cluster)
}

/// Returns the number of chunks that are resent if the messages change from a path with this delay
/// to a faster one after `on_old_path` chunks.
fn resent_chunks(on_old_path: u64, old_path_delay: Duration) -> Result<u64> {
    let mut cluster = cluster_before_snapshot()?;
    let leader = cluster.ready_leader().or_fail()?;
    let applied = cluster.raft(leader).last_applied();
    let receiver = RECEIVER;
    cluster.extra_delays.insert(receiver, old_path_delay);
    let is_sent = |cluster: &Cluster| cluster.sent_snapshot_chunks >= on_old_path;
    verify_that!(
        cluster.run_until(Duration::from_secs(60), is_sent),
        eq(true)
    )?;
    cluster.extra_delays.clear();
    let has_caught_up = |cluster: &Cluster| {
        let receiver = cluster.nodes[&receiver].raft.as_ref();
        receiver.is_some_and(|raft| raft.last_applied() >= applied)
    };
    verify_that!(
        cluster.run_until(Duration::from_secs(60), has_caught_up),
        eq(true)
    )?;
    Ok(cluster.sent_snapshot_chunks - CHUNKS - 1)
}

fn expect_few_resent(delays_ms: &[u64], max_resent: u64) -> Result<()> {
    for on_old_path in CHUNKS_ON_OLD_PATH {
        for delay_ms in delays_ms {
            let resent = resent_chunks(on_old_path, Duration::from_millis(*delay_ms))?;
            println!("{on_old_path} chunks on a path of {delay_ms} ms: {resent} resent");
            expect_that!(
                resent,
                le(max_resent),
                "{on_old_path} chunks on a path of {delay_ms} ms"
            );
        }
    }
    Ok(())
}

#[gtest]
fn overtaken_chunks_cause_few_resends() -> Result<()> {
    expect_few_resent(&SHORT_DELAYS_MS, MAX_RESENT_WINDOWS * WINDOW)
}

#[gtest]
fn overtaken_chunks_of_a_stalled_member_cause_few_resends() -> Result<()> {
    expect_few_resent(&LONG_DELAYS_MS, MAX_RESENT_WINDOWS_WITH_STALL * WINDOW)
}
