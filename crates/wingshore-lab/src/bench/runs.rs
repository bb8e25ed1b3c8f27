//! Runs over seeds, some at a time.

use super::figures::RunFigures;
use super::scenario::Scenario;
use super::world::World;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

/// One run.
///
/// # Errors
/// When the histograms of latency cannot be made.
pub fn run_one(scenario: &Scenario, seed: u64) -> Result<RunFigures, hdrhistogram::CreationError> {
    Ok(World::new(scenario, seed)?.run())
}

/// A run for each seed, on so many threads; the result does not depend on their number.
///
/// # Errors
/// As [`run_one`].
pub fn run_all(
    scenario: &Scenario,
    seeds: std::ops::RangeInclusive<u64>,
    threads: usize,
) -> Result<Vec<RunFigures>, hdrhistogram::CreationError> {
    let todo = Mutex::new(seeds);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = lock(&todo).next();
                    let Some(seed) = seed else {
                        return;
                    };
                    let run = run_one(scenario, seed);
                    lock(&done).push((seed, run));
                }
            });
        }
    });
    let mut done = std::mem::take(&mut *lock(&done));
    done.sort_by_key(|(seed, _)| *seed);
    done.into_iter().map(|(_, run)| run).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
