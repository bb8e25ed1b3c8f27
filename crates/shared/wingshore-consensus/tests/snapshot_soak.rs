//! Soak test: snapshots are sent over networks that lose, duplicate and reorder messages, to a
//! member that restarts during the transfer. Each transfer must complete with identical bytes.

mod support;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use wingshore_consensus::{Faults, Limits};
use wingshore_types::ReplicaId;

const RECEIVER: u64 = 3;

#[gtest]
fn snapshot_transfers_complete_with_identical_bytes() -> Result<()> {
    let mut slowest = (Duration::ZERO, 0);
    let mut highest_cost = (0, 0);
    let mut times = Vec::new();
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let limits = Limits {
            snapshot_chunk_bytes: random.random_range(7..90),
            snapshot_chunks_in_flight: random.random_range(1..9),
            retained_log_bytes: 0,
            ..support::small_limits()
        };
        let mut cluster = Cluster::with(3, seed, Faults::default(), limits);
        cluster.isolate(RECEIVER);
        let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
        cluster.run_until(Duration::from_secs(5), has_leader);
        let leader = cluster.ready_leader().or_fail()?;
        for _ in 0..30 {
            cluster.propose(leader, &[1; 16]).or_fail()?;
            cluster.run(Duration::from_millis(10));
        }
        let mut state = cluster.node(leader).applied.encode();
        state.extend((0..6_000u32).flat_map(|number| (number as u16).to_le_bytes()));
        cluster.node(leader).provided_state = Some(state.clone().into());
        cluster.network = Network {
            loss: random.random_range(0.0..0.08),
            duplication: random.random_range(0.0..0.08),
            max_delay: Duration::from_millis(random.random_range(1..9)),
            straggler_chance: random.random_range(0.0..0.02),
            straggler_delay: Duration::from_millis(60),
            ..Network::default()
        };
        cluster.cut_links.clear();
        let begin = cluster.now;
        for _ in 0..random.random_range(0..3) {
            let wait = Duration::from_millis(random.random_range(1..900));
            cluster.run_until(wait, |_| false);
            cluster.crash_with_random_write(RECEIVER);
            cluster.run_until(Duration::from_millis(random.random_range(0..40)), |_| false);
            cluster.restart(RECEIVER);
        }
        let is_durable = |cluster: &Cluster| {
            let contents = &cluster.nodes[&ReplicaId(RECEIVER)].disk.contents;
            contents.snapshot.is_some()
        };
        let ended = cluster.run_until(Duration::from_secs(1200), is_durable);
        verify_that!(ended, eq(true)).with_failure_message(|| format!("seed {seed}"))?;
        verify_that!(cluster.checker.violation.is_none(), eq(true))?;
        let contents = &cluster.nodes[&ReplicaId(RECEIVER)].disk.contents;
        let bytes = contents
            .snapshot
            .as_ref()
            .or_fail()?
            .data
            .to_bytes()
            .or_fail()?;
        verify_that!(bytes.ends_with(&state), eq(true))
            .with_failure_message(|| format!("seed {seed}"))?;
        times.push(cluster.now.since(begin));
        slowest = slowest.max((cluster.now.since(begin), seed));
        let chunks = (state.len() / limits.snapshot_chunk_bytes) as u64;
        highest_cost = highest_cost.max((cluster.sent_snapshot_chunks * 100 / chunks, seed));
    }
    times.sort();
    println!(
        "median {:?}, 9 in 10 {:?}",
        times[times.len() / 2],
        times[times.len() * 9 / 10]
    );
    println!("slowest {slowest:?}; most sent, in % of the state {highest_cost:?}");
    Ok(())
}
