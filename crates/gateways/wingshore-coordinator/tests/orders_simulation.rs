//! Orders to engines that do not look at fences, as the engines see them.
//!
//! Such engines carry out whatever arrives. So that two leaders never give orders beside each other,
//! one leads under a lease, looks at it before each order, and waits out the time of the machine
//! before it. The simulation runs the real members with their logs, and strikes them: killed,
//! frozen, suspended (also between the look at the lease and the send), cut off from each other or
//! from the engines, several at once. The checker knows only which orders reached an engine, and when.

mod simulation;

use simulation::Simulation;
use simulation::machine::Fault;

/// Runs seeds; gives the first that broke something, and how many orders of how many machines counted.
fn run_seeds(seeds: std::ops::Range<u64>, fault: Fault) -> (Option<(u64, String)>, usize, usize) {
    let (mut counted, mut handovers) = (0, 0);
    for seed in seeds {
        let mut simulation = Simulation::new(seed, fault);
        let result = simulation.run();
        counted += simulation.counted;
        handovers += usize::from(simulation.holders.len() > 1);
        if let Err(broken) = result {
            return (Some((seed, broken)), counted, handovers);
        }
    }
    (None, counted, handovers)
}

#[test]
fn engines_never_see_two_machines_give_orders_beside_each_other() {
    let (broken, counted, handovers) = run_seeds(0..160, Fault::None);
    assert_eq!(broken, None);
    // Enough was ordered, and by several machines, for the check to mean something.
    assert!(counted > 4000, "{counted} orders");
    assert!(handovers > 80, "{handovers} runs with several holders");
}

#[test]
fn a_leader_that_does_not_wait_is_seen() {
    let (broken, _, _) = run_seeds(0..40, Fault::ShortHandover);
    assert!(broken.is_some());
}

#[test]
fn a_leader_that_counts_on_fences_is_seen() {
    let (broken, _, _) = run_seeds(0..40, Fault::TrustsFences);
    assert!(broken.is_some());
}

/// One run in a hundred shows it: a suspension has to fall between the look at the lease and the send.
#[test]
fn a_leader_whose_clock_stands_still_while_it_is_suspended_is_seen() {
    let (broken, _, _) = run_seeds(0..400, Fault::StoppedClock);
    assert!(broken.is_some());
}
