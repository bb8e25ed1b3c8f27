//! Requests that end their servers, among innocent ones, under crashes of other causes, resets,
//! cuts that look like dead ports, releases and changes of the leader: the real watch of gateways
//! and the real leader, with drawn faults.
//!
//! Two things are checked: no innocent request is ever rejected, and one that ends its servers
//! reaches few of them after the third. `WINGSHORE_DRAWN_RUNS=100000` runs more by hand.

mod crash_simulation {
    pub mod group;
    pub mod world;
}

use crash_simulation::world::{Chance, Run};

/// The users' bound on sends later than 3 s after the third ending.
const MOST_LATE_SENDS: usize = 3;
/// Runs of each kind in CI: some 3 s.
const RUNS: u64 = 300;

fn runs() -> u64 {
    let wanted = std::env::var("WINGSHORE_DRAWN_RUNS").ok();
    wanted.and_then(|count| count.parse().ok()).unwrap_or(RUNS)
}

/// Plays all runs of a kind, prints their sums, and gives the seeds that broke something.
fn play_all(chance: Chance) -> (Vec<u64>, Sums) {
    let mut sums = Sums::default();
    let mut broken = Vec::new();
    for seed in 0..runs() {
        let end = Run::new(seed, chance).play();
        sums.evidence += end.evidence;
        sums.ended += end.ended_by_it;
        sums.late_sends += end.late_sends;
        if end.innocents_rejected > 0 || end.late_sends > MOST_LATE_SENDS {
            println!(
                "seed {seed}: {} innocent requests rejected, {} late sends",
                end.innocents_rejected, end.late_sends
            );
            broken.push(seed);
        }
    }
    println!("{} runs: {sums:?}, broken {broken:?}", runs());
    (broken, sums)
}

/// Over all runs.
#[derive(Debug, Default)]
struct Sums {
    /// Pieces of evidence that gateways told.
    evidence: u64,
    /// Servers that ended under the request that ends them.
    ended: u64,
    /// Sends of it later than 3 s after the third.
    late_sends: usize,
}

#[test]
fn crashes_of_other_causes_never_reject_a_request() {
    let (broken, sums) = play_all(Chance::NoCrashingRequest);
    assert_eq!(broken, [0_u64; 0]);
    // Enough was seen for the check to mean something.
    assert!(sums.evidence > runs());
}

#[test]
fn a_request_that_ends_its_servers_reaches_few_of_them() {
    let (broken, sums) = play_all(Chance::OneCrashingRequest);
    assert_eq!(broken, [0_u64; 0]);
    assert!(sums.ended > runs());
}

/// Plays one run without a request that ends servers, and checks that no innocent one is rejected.
fn no_innocent_is_rejected_at(seed: u64) {
    let end = Run::new(seed, Chance::NoCrashingRequest).play();
    println!(
        "seed {seed}: {} innocent requests rejected",
        end.innocents_rejected
    );
    assert_eq!(end.innocents_rejected, 0);
}

// What is seen in the runs of these seeds: a request that ends no server is rejected.
// How it comes about: servers end of other causes, up to once a second, and by chance it stands on three of them.
// Cause: three endings are taken for its doing where it alone stood on all three and on half of the servers that ended
// meanwhile; what such a coincidence is worth where servers end often anyway is not asked.
// Proof: 5 of 100,000 drawn runs.

#[test]
fn no_innocent_is_rejected_at_seed_43559() {
    no_innocent_is_rejected_at(43_559);
}

#[test]
fn no_innocent_is_rejected_at_seed_49534() {
    no_innocent_is_rejected_at(49_534);
}

#[test]
fn no_innocent_is_rejected_at_seed_71715() {
    no_innocent_is_rejected_at(71_715);
}

#[test]
fn no_innocent_is_rejected_at_seed_93887() {
    no_innocent_is_rejected_at(93_887);
}

#[test]
fn no_innocent_is_rejected_at_seed_99489() {
    no_innocent_is_rejected_at(99_489);
}
