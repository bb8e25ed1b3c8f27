//! Random runs with faults of every kind: safety in each run, and progress once all faults are
//! healed.
//!
//! To run more seeds: `WINGSHORE_CONSENSUS_SEEDS=2000 cargo test -p wingshore-consensus --test
//! random_runs -- --nocapture`.

mod support;

use googletest::prelude::*;
use std::ops::Range;
use support::chaos::{Chaos, Profile, run};
use wingshore_consensus::Faults;

/// Environment variable that overrides the number of seeds.
const SEEDS_VARIABLE: &str = "WINGSHORE_CONSENSUS_SEEDS";
/// Default number of seeds.
const SEEDS: u64 = 40;
/// Number of rounds in a run, 20 ms each.
const ROUNDS: u32 = 1500;
/// Each injected fault must be detected within these seeds.
const FAULT_SEEDS: Range<u64> = 0..2000;

fn seeds() -> Range<u64> {
    let count = std::env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

fn check_safety_and_progress(profile: Profile, voters: u64) -> Result<()> {
    let mut commits = 0;
    let mut reads = 0;
    let mut elections = 0;
    let mut snapshot_chunks = 0;
    for seed in seeds() {
        let chaos = Chaos {
            profile,
            voters,
            seed,
            faults: Faults::default(),
            rounds: ROUNDS,
        };
        let report = run(chaos);
        verify_that!(report.violation, none()).with_failure_message(|| format!("{chaos:?}"))?;
        verify_that!(report.recovered, eq(true))
            .with_failure_message(|| format!("no progress after {chaos:?}"))?;
        commits += report.committed;
        reads += report.reads;
        elections += report.elections;
        snapshot_chunks += report.snapshot_chunks;
    }
    println!(
        "{profile:?}, {voters} members, seeds {:?}: {commits} commits, {reads} reads, \
         {elections} elections, {snapshot_chunks} snapshot chunks",
        seeds()
    );
    verify_that!(snapshot_chunks, gt(0))
}

#[gtest]
fn three_members_stay_safe_under_mixed_failures() -> Result<()> {
    check_safety_and_progress(Profile::Mixed, 3)
}

#[gtest]
fn five_members_stay_safe_under_mixed_failures() -> Result<()> {
    check_safety_and_progress(Profile::Mixed, 5)
}

#[gtest]
fn three_members_stay_safe_under_leader_failures() -> Result<()> {
    check_safety_and_progress(Profile::Elections, 3)
}

#[gtest]
fn five_members_stay_safe_under_leader_failures() -> Result<()> {
    check_safety_and_progress(Profile::Elections, 5)
}

#[gtest]
fn runs_are_deterministic() -> Result<()> {
    let chaos = Chaos {
        profile: Profile::Mixed,
        voters: 3,
        seed: 7,
        faults: Faults::default(),
        rounds: ROUNDS,
    };
    verify_that!(run(chaos), eq(&run(chaos)))
}

/// Checks that the runs above detect an injected fault; otherwise their success would mean nothing.
fn check_fault_is_detected(profile: Profile, voters: u64, faults: Faults) -> Result<()> {
    let first = FAULT_SEEDS.into_iter().find_map(|seed| {
        let chaos = Chaos {
            profile,
            voters,
            seed,
            faults,
            rounds: ROUNDS,
        };
        run(chaos).violation.map(|violation| (seed, violation))
    });
    println!("{faults:?}: {first:?}");
    verify_that!(first, some(anything()))
}

#[gtest]
fn non_durable_vote_is_detected() -> Result<()> {
    let faults = Faults {
        vote_without_persist: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Elections, 5, faults)
}

#[gtest]
fn acknowledgement_before_persistence_is_detected() -> Result<()> {
    let faults = Faults {
        acknowledge_without_persist: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Elections, 3, faults)
}

#[gtest]
fn ignored_lease_is_detected() -> Result<()> {
    let faults = Faults {
        skip_lease_check: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Mixed, 5, faults)
}

#[gtest]
fn vote_with_empty_disk_is_detected() -> Result<()> {
    let faults = Faults {
        empty_disk_votes: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Elections, 3, faults)
}

#[gtest]
fn commit_without_quorum_is_detected() -> Result<()> {
    let faults = Faults {
        commit_without_quorum: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Mixed, 3, faults)
}

#[gtest]
fn commit_of_earlier_term_is_detected() -> Result<()> {
    let faults = Faults {
        commit_previous_term: true,
        ..Faults::default()
    };
    check_fault_is_detected(Profile::Elections, 5, faults)
}
