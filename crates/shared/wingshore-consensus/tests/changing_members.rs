//! Random runs with concurrent changes of voters and learners, message loss, crashes, cut links and
//! slow disks. No committed entry may be lost, and the group must make progress once all faults are
//! healed.
//!
//! To run more seeds: `WINGSHORE_CONSENSUS_SEEDS=2000 cargo test -p wingshore-consensus --test
//! changing_members -- --nocapture`.

mod support;

use googletest::prelude::*;
use rand::RngExt;
use std::time::Duration;
use support::cluster::{Cluster, Network};
use support::member;
use wingshore_consensus::{ChangeError, ChangeOutcome, Raft};
use wingshore_types::ReplicaId;

/// Environment variable that overrides the number of seeds.
const SEEDS_VARIABLE: &str = "WINGSHORE_CONSENSUS_SEEDS";
/// Default number of seeds.
const SEEDS: u64 = 40;
/// Number of founding members.
const VOTERS: u64 = 5;
/// Number of nodes; nodes that are not founding members can be added.
const NODES: u64 = 9;
/// Number of rounds in a run.
const ROUNDS: u32 = 600;
/// Duration of a round.
const ROUND: Duration = Duration::from_millis(20);
/// Number of attempts of a healed group to commit an entry; each takes one or two seconds.
const HEALED_ROUNDS: u32 = 20;
/// Voters are removed only while there are more than this many.
const MIN_VOTERS: usize = 3;

/// Counts of what the runs did.
#[derive(Default)]
struct Counts {
    changes: u64,
    /// Changes that were appended while the previous change was not committed.
    concurrent: u64,
    commits: usize,
}

fn random_network(cluster: &mut Cluster) -> Network {
    let random = &mut cluster.random;
    Network {
        loss: random.random_range(0.0..0.1),
        duplication: 0.05,
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(random.random_range(2..60)),
        straggler_chance: 0.03,
        straggler_delay: Duration::from_millis(1500),
        sync: Duration::from_millis(random.random_range(1..200)),
    }
}

fn restart_stopped(cluster: &mut Cluster) {
    for id in 1..=NODES {
        if cluster.node(id).raft.is_none() {
            cluster.restart(id);
        }
    }
}

/// Returns whether the leader's newest membership is not committed.
fn is_changing(raft: &mut Raft) -> bool {
    // Adding an existing member is rejected until the newest change is committed.
    let Some(known) = raft.membership().voters.first().cloned() else {
        return false;
    };
    let asked = raft.add_learner(known, &mut Vec::new());
    matches!(asked, Err(ChangeError::ChangeInProgress { .. }))
}

fn change_members(cluster: &mut Cluster, counts: &mut Counts) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    let id = cluster.random.random_range(1..=NODES);
    let choice = cluster.random.random_range(0..3);
    cluster.act(leader, |raft, _, out| {
        let is_concurrent = is_changing(raft);
        let may_remove = raft.membership().voters.len() > MIN_VOTERS;
        let asked = match choice {
            0 => raft.add_learner(member(id), out),
            1 => raft.promote(ReplicaId(id), out),
            _ if may_remove => raft.remove(ReplicaId(id), out),
            _ => return,
        };
        if let Ok(ChangeOutcome::Proposed { .. }) = asked {
            counts.changes += 1;
            counts.concurrent += u64::from(is_concurrent);
        }
    });
}

fn act(cluster: &mut Cluster, counts: &mut Counts, round: u32) {
    let id = cluster.random.random_range(1..=NODES);
    match cluster.random.random_range(0..24) {
        0..8 => change_members(cluster, counts),
        8..14 => {
            if let Some(leader) = cluster.leader() {
                let _ = cluster.propose(leader, &round.to_be_bytes());
            }
        }
        14 => cluster.crash_with_random_write(id),
        15 => cluster.isolate(id),
        16 => {
            let until = cluster.now + Duration::from_millis(700);
            cluster.node(id).frozen_until = until;
        }
        17 | 18 => restart_stopped(cluster),
        19 | 20 => cluster.cut_links.clear(),
        _ => {}
    }
}

/// Returns whether a healed group commits a new entry.
fn recovers(cluster: &mut Cluster) -> bool {
    for _ in 0..HEALED_ROUNDS {
        if let Some(leader) = cluster.ready_leader()
            && let Ok(index) = cluster.propose(leader, b"healed")
        {
            let is_committed = |cluster: &Cluster| {
                cluster.leader() == Some(leader) && cluster.raft(leader).commit_index() >= index
            };
            if cluster.run_until(Duration::from_secs(1), is_committed) {
                return true;
            }
        }
        cluster.run(Duration::from_secs(1));
    }
    false
}

fn run(seed: u64, counts: &mut Counts) -> Result<()> {
    let mut cluster = Cluster::new(VOTERS, seed);
    for id in VOTERS + 1..=NODES {
        cluster.add_node(id, false, VOTERS);
    }
    cluster.network = random_network(&mut cluster);
    for round in 0..ROUNDS {
        act(&mut cluster, counts, round);
        cluster.run(ROUND);
        cluster.check_logs();
        verify_that!(cluster.checker.violation, none())?;
    }
    restart_stopped(&mut cluster);
    cluster.cut_links.clear();
    cluster.network = Network::default();
    verify_that!(recovers(&mut cluster), eq(true))?;
    verify_that!(cluster.checker.violation, none())?;
    counts.commits += cluster.checker.committed_entries();
    Ok(())
}

#[gtest]
fn concurrent_membership_changes_lose_no_commits() -> Result<()> {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let mut counts = Counts::default();
    for seed in 0..seeds {
        run(seed, &mut counts).with_failure_message(|| format!("seed {seed}"))?;
    }
    let Counts {
        changes,
        concurrent,
        commits,
    } = counts;
    println!(
        "{seeds} seeds: {changes} changes, {concurrent} of them concurrent, {commits} commits"
    );
    verify_that!(concurrent, gt(0))
}
