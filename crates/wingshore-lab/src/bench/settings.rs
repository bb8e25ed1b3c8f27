//! `sites/<site>/bench.toml`: the load of a benchmark, in simulated time.

use crate::durations;
use serde::Deserialize;
use std::time::Duration;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchSettings {
    /// Length of a run.
    #[serde(with = "durations")]
    pub duration: Duration,
    /// Beginning of a run that no figure counts.
    #[serde(with = "durations")]
    pub warm_up: Duration,
    /// What the trainer asks for.
    pub workload: WorkloadSettings,
    /// What `lab.toml` says for the small fleet and a benchmark needs larger.
    pub engines: EngineFleetSettings,
    /// Live completions on the same engines.
    pub live: LiveSettings,
}

/// What the trainer asks for, and how fast it trains.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSettings {
    /// Samples of a step.
    pub batch: u32,
    /// Steps submitted ahead of the one being pulled.
    pub steps_ahead: u64,
    /// A version is published after this many steps.
    pub steps_per_version: u64,
    /// Assumed: time to train a step.
    #[serde(with = "durations")]
    pub training_time: Duration,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// Median of the generated length, in tokens (log-normal).
    pub length_median: f64,
    /// Standard deviation of its logarithm.
    pub length_sigma: f64,
    /// Samples that share a prompt.
    pub group: u64,
    /// Tokens of a prompt.
    pub prompt_tokens: usize,
    /// Tokens at the beginning that all prompts share.
    pub shared_tokens: usize,
}

/// Engines, their faults, and the weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFleetSettings {
    /// Cache memory of an engine, in tokens.
    pub kv_capacity_tokens: u64,
    /// How many tokens a stream event carries at most.
    pub tokens_per_event: usize,
    /// Assumed: time to fetch a version when nobody else fetches.
    #[serde(with = "durations")]
    pub fetch_time: Duration,
    /// Fetches that the store serves at once; they share its rate, further ones wait.
    pub most_fetches: usize,
    /// Assumed: how long generation stands still while fetched weights take force.
    #[serde(with = "durations")]
    pub swap_pause: Duration,
    /// Share of swaps that fail partway, in thousandths.
    pub swap_failure_permille: u32,
    /// Mean time between crashes of one engine (exponential).
    #[serde(with = "durations")]
    pub mean_time_between_crashes: Duration,
    /// How long a crashed engine is away.
    #[serde(with = "durations")]
    pub down_time: Duration,
}

/// Live completions: Poisson arrivals at each live node, with bursts of their own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveSettings {
    /// Arrivals at one node between bursts.
    pub requests_per_second: f64,
    /// Arrivals at one node during a burst.
    pub burst_requests_per_second: f64,
    /// Mean time between bursts (exponential).
    #[serde(with = "durations")]
    pub mean_calm: Duration,
    /// Mean length of a burst (exponential).
    #[serde(with = "durations")]
    pub mean_burst: Duration,
    /// Most tokens of an answer; nearly all answers have as many.
    pub max_tokens: u32,
    /// Tokens of a prompt.
    pub prompt_tokens: usize,
    /// Nobody waits longer.
    #[serde(with = "durations")]
    pub deadline: Duration,
    /// Arrivals at one node under a flood, all the time.
    pub flood_requests_per_second: f64,
}
