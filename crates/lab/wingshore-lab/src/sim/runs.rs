//! Many seeds of many scenarios, over threads. Each seed runs in one thread alone.

use super::data_site::SimFaults;
use super::scenarios::{self, Outcome, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use std::num::NonZero;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// What came of all seeds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Scenarios run.
    pub scenarios: usize,
    /// Seeds run, over all scenarios.
    pub seeds: usize,
    /// Events handled.
    pub events: u64,
    /// Simulated time, in milliseconds.
    pub simulated_ms: u64,
    /// How often each promise was broken.
    pub violations: BTreeMap<String, usize>,
    /// The first seed that broke one.
    pub first_failing_seed: Option<u64>,
    /// Its scenario.
    pub first_failing_scenario: Option<&'static str>,
}

impl Summary {
    /// Adds one outcome; they come in the order of scenarios and seeds.
    pub fn add(&mut self, outcome: &Outcome) {
        self.seeds += 1;
        self.events += outcome.events;
        self.simulated_ms += outcome.simulated_ms;
        for (promise, _) in &outcome.violations {
            *self.violations.entry(promise.clone()).or_default() += 1;
        }
        if !outcome.violations.is_empty() && self.first_failing_seed.is_none() {
            self.first_failing_seed = Some(outcome.seed);
            self.first_failing_scenario = Some(outcome.scenario);
        }
    }
}

/// Runs `seeds` of each scenario; the outcomes come in the order of scenarios and seeds.
pub fn run_all(
    scenarios: &[Scenario],
    seeds: Range<u64>,
    faults: impl Into<SimFaults>,
    threads: Option<NonZero<usize>>,
) -> Vec<Outcome> {
    let faults = faults.into();
    let jobs: Vec<(usize, u64)> = (0..scenarios.len())
        .flat_map(|scenario| seeds.clone().map(move |seed| (scenario, seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    let work = || {
        while let Some((scenario, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let outcome = scenarios::run(&scenarios[*scenario], *seed, faults, false);
            let mut done = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
            done.insert((*scenario, *seed), outcome);
        }
    };
    let threads = threads.or_else(|| thread::available_parallelism().ok());
    thread::scope(|scope| {
        for _ in 0..threads.map_or(1, NonZero::get) {
            scope.spawn(work);
        }
    });
    let outcomes = outcomes.into_inner();
    outcomes
        .unwrap_or_else(PoisonError::into_inner)
        .into_values()
        .collect()
}
