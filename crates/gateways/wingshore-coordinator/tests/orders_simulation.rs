//! Orders to engines that do not check fences, as the engines receive them.
//!
//! Such engines carry out every order that arrives. So that two leaders never send orders at the
//! same time, a leader holds a lease, checks it before each order, and first waits for the orders
//! of the machine before it to expire. The simulation runs real members with their logs and injects
//! faults: members are killed, frozen, suspended (also between the check of the lease and the
//! send), or partitioned from each other or from the engines, several at once. The checker knows
//! only which orders reached an engine, and when.

mod simulation;

use simulation::Simulation;
use simulation::machine::Fault;

/// Runs a range of seeds. Returns the first seed that broke the rule, the number of checked orders,
/// and the number of runs with several lease holders.
fn run_seeds(seeds: std::ops::Range<u64>, fault: Fault) -> (Option<(u64, String)>, usize, usize) {
    let (mut counted, mut handovers) = (0, 0);
    for seed in seeds {
        let mut simulation = Simulation::new(seed, fault);
        let result = simulation.run();
        counted += simulation.counted;
        handovers += usize::from(simulation.holders.len() > 1);
        if let Err(violation) = result {
            return (Some((seed, violation)), counted, handovers);
        }
    }
    (None, counted, handovers)
}

#[test]
fn engines_never_receive_orders_of_two_machines_at_the_same_time() {
    let (violation, counted, handovers) = run_seeds(0..160, Fault::None);
    assert_eq!(violation, None);
    // The check is meaningful only with enough orders from several machines.
    assert!(counted > 4000, "{counted} orders");
    assert!(handovers > 80, "{handovers} runs with several holders");
}

#[test]
fn a_leader_that_does_not_wait_is_detected() {
    let (violation, _, _) = run_seeds(0..40, Fault::ShortHandover);
    assert!(violation.is_some());
}

#[test]
fn a_leader_that_relies_on_fences_is_detected() {
    let (violation, _, _) = run_seeds(0..40, Fault::TrustsFences);
    assert!(violation.is_some());
}

/// One run in a hundred shows it: a suspension must occur between the check of the lease and the
/// send.
#[test]
fn a_leader_whose_clock_stops_while_it_is_suspended_is_detected() {
    let (violation, _, _) = run_seeds(0..400, Fault::StoppedClock);
    assert!(violation.is_some());
}
