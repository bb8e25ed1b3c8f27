//! What is measured during a run, and what comes of it.

use super::bound::{LowerBound, Work};
use super::settings::BenchSettings;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;
use wingshore_types::Instant;

/// Longest latency that is told apart, in microseconds.
const LONGEST_LATENCY: u64 = 600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// Percentiles of live latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyFigures {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunFigures {
    /// The seed.
    pub seed: u64,
    /// Steps trained after the warm-up.
    pub steps: u64,
    /// Share of the time in which the trainer waited for a batch.
    pub trainer_idle: f64,
    /// Mean staleness of delivered samples, in versions.
    pub staleness_mean: f64,
    /// 99th percentile of it.
    pub staleness_p99: f64,
    /// Largest.
    pub staleness_max: f64,
    /// Mean time from one delivered batch to the next, in seconds.
    pub step_seconds: f64,
    /// The least it could be, in seconds.
    pub bound_seconds: f64,
    /// The part of the bound that comes from token work, in seconds a step.
    pub bound_work_seconds: f64,
    /// Time that the longest sample takes alone, in seconds.
    pub longest_sample_seconds: f64,
    /// Step time over its lower bound.
    pub step_over_bound: f64,
    /// Tokens generated and not delivered, per delivered token.
    pub wasted_share: f64,
    /// Live requests that arrived.
    pub live_requests: u64,
    /// Whole latency of those that were answered.
    pub live: LatencyFigures,
    /// Time to the first tokens.
    pub live_first: LatencyFigures,
    /// Share of live requests that were refused at once.
    pub live_refused: f64,
    /// Share of live requests that failed otherwise.
    pub live_failed: f64,
    /// Rollout tokens generated a second.
    pub rollout_tokens_per_second: f64,
    /// Longest time from a publication until the last engine had the version, mean in seconds.
    pub swap_seconds: f64,
}

/// Counts during a run.
#[derive(Debug)]
pub struct Meter {
    begins: Instant,
    idle: Duration,
    staleness: Vec<u64>,
    batches: Vec<Instant>,
    work: Work,
    generated: u64,
    delivered: u64,
    live: Histogram<u64>,
    live_first: Histogram<u64>,
    live_requests: u64,
    live_refused: u64,
    live_failed: u64,
    rollout_tokens: u64,
    swaps: Vec<Duration>,
}

impl Meter {
    /// Counts from the end of the warm-up on.
    ///
    /// # Errors
    /// Never for the constants of this module.
    pub fn new(begins: Instant) -> Result<Self, hdrhistogram::CreationError> {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_LATENCY, LATENCY_DIGITS);
        Ok(Self {
            begins,
            idle: Duration::ZERO,
            staleness: Vec::new(),
            batches: Vec::new(),
            work: Work::default(),
            generated: 0,
            delivered: 0,
            live: histogram()?,
            live_first: histogram()?,
            live_requests: 0,
            live_refused: 0,
            live_failed: 0,
            rollout_tokens: 0,
            swaps: Vec::new(),
        })
    }

    /// Whether figures count by now.
    pub fn counts(&self, now: Instant) -> bool {
        now >= self.begins
    }

    /// The trainer waited from `since` until now.
    pub fn idle(&mut self, since: Instant, now: Instant) {
        self.idle += now.since(since.max(self.begins));
    }

    /// A batch reached the trainer.
    pub fn batch(&mut self, now: Instant) {
        if self.counts(now) {
            self.batches.push(now);
        }
    }

    /// A sample of that batch: its prompt's and own tokens, and all tokens generated for it.
    pub fn sample(
        &mut self,
        now: Instant,
        staleness: u64,
        prompt: usize,
        tokens: usize,
        made: u64,
    ) {
        if !self.counts(now) {
            return;
        }
        self.staleness.push(staleness);
        self.work.add(prompt, tokens);
        self.delivered += tokens as u64;
        self.generated += made;
    }

    /// A live request arrived.
    pub fn live_arrived(&mut self, now: Instant) {
        self.live_requests += u64::from(self.counts(now));
    }

    /// A live request was answered.
    pub fn live_answered(&mut self, now: Instant, arrived: Instant, first: Option<Instant>) {
        if !self.counts(arrived) {
            return;
        }
        self.live.saturating_record(micros(now.since(arrived)));
        if let Some(first) = first {
            self.live_first
                .saturating_record(micros(first.since(arrived)));
        }
    }

    /// A live request got a refusal as its final answer.
    pub fn live_refused(&mut self, arrived: Instant) {
        self.live_refused += u64::from(self.counts(arrived));
    }

    /// A live request failed.
    pub fn live_failed(&mut self, arrived: Instant) {
        self.live_failed += u64::from(self.counts(arrived));
    }

    /// Tokens of rollouts were generated.
    pub fn rollout_tokens(&mut self, now: Instant, tokens: usize) {
        if self.counts(now) {
            self.rollout_tokens += tokens as u64;
        }
    }

    /// All engines in use had a published version after this time.
    pub fn swapped(&mut self, now: Instant, took: Duration) {
        if self.counts(now) {
            self.swaps.push(took);
        }
    }

    /// The figures.
    pub fn figures(
        &self,
        seed: u64,
        end: Instant,
        bound: &LowerBound,
        bench: &BenchSettings,
    ) -> RunFigures {
        let measured = end.since(self.begins).as_secs_f64();
        let steps = self.batches.len() as u64;
        let step_seconds = self.step_seconds();
        let work_seconds = bound.seconds(&self.work) / steps.max(1) as f64;
        let longest = bound.longest_sample_seconds(&self.work);
        let least = [
            work_seconds,
            bench.workload.training_time.as_secs_f64(),
            longest / steps.max(1) as f64,
        ];
        let bound_seconds = least.into_iter().fold(0.0, f64::max);
        let mut staleness = self.staleness.clone();
        staleness.sort_unstable();
        let requests = self.live_requests.max(1) as f64;
        let swaps: f64 = self.swaps.iter().map(Duration::as_secs_f64).sum();
        RunFigures {
            seed,
            steps,
            trainer_idle: self.idle.as_secs_f64() / measured,
            staleness_mean: mean(&staleness),
            staleness_p99: percentile(&staleness, 0.99),
            staleness_max: percentile(&staleness, 1.0),
            step_seconds,
            bound_seconds,
            bound_work_seconds: work_seconds,
            longest_sample_seconds: longest,
            step_over_bound: step_seconds / bound_seconds,
            wasted_share: self.generated.saturating_sub(self.delivered) as f64
                / self.delivered.max(1) as f64,
            live_requests: self.live_requests,
            live: latency(&self.live),
            live_first: latency(&self.live_first),
            live_refused: self.live_refused as f64 / requests,
            live_failed: self.live_failed as f64 / requests,
            rollout_tokens_per_second: self.rollout_tokens as f64 / measured,
            swap_seconds: swaps / self.swaps.len().max(1) as f64,
        }
    }

    /// Mean time between batches.
    fn step_seconds(&self) -> f64 {
        let (Some(first), Some(last)) = (self.batches.first(), self.batches.last()) else {
            return 0.0;
        };
        let intervals = self.batches.len().saturating_sub(1).max(1);
        last.since(*first).as_secs_f64() / intervals as f64
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn latency(histogram: &Histogram<u64>) -> LatencyFigures {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencyFigures {
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
    }
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

/// Of sorted values.
fn percentile(values: &[u64], quantile: f64) -> f64 {
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    values.get(index).map_or(0.0, |value| *value as f64)
}
