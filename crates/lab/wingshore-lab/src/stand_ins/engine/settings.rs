//! Settings of the stand-in engine.

use crate::durations;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wingshore_types::WeightVersion;

/// How the stand-in engine behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// The base model it serves.
    pub model: String,
    /// The version it starts with.
    pub initial_version: WeightVersion,
    /// Most sequences in one batch.
    pub max_batch: usize,
    /// Most requests waiting; more are refused as not run.
    pub max_queue: usize,
    /// Cache memory, in tokens, for running sequences and for cached prefixes.
    pub kv_capacity_tokens: u64,
    /// Tokens of one cache block; prefixes are cached in whole blocks.
    pub cache_block_tokens: u32,
    /// Time of a step with nothing in it.
    #[serde(with = "durations")]
    pub step_base: Duration,
    /// Further time for each sequence of the batch.
    #[serde(with = "durations")]
    pub step_per_sequence: Duration,
    /// Further time for each thousand tokens of context in the batch.
    #[serde(with = "durations")]
    pub step_per_thousand_context: Duration,
    /// Time to prefill a thousand tokens that are not in the cache.
    #[serde(with = "durations")]
    pub prefill_per_thousand: Duration,
    /// How many tokens a stream event carries at most.
    pub tokens_per_event: usize,
    /// How long generation stands still while fetched weights take force.
    #[serde(with = "durations")]
    pub swap_pause: Duration,
    /// How late cache events are published.
    #[serde(with = "durations")]
    pub cache_event_delay: Duration,
    /// Share of cache events that are lost, in thousandths.
    pub cache_event_loss_permille: u32,
    /// How often the load report is read off.
    #[serde(with = "durations")]
    pub load_report_interval: Duration,
    /// Median of the generated length, in tokens (log-normal).
    pub length_median: f64,
    /// Shape of the generated length: standard deviation of its logarithm.
    pub length_sigma: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "base".to_owned(),
            initial_version: WeightVersion(0),
            max_batch: 32,
            max_queue: 64,
            kv_capacity_tokens: 64 * 1024,
            cache_block_tokens: 16,
            step_base: Duration::from_millis(8),
            step_per_sequence: Duration::from_micros(100),
            step_per_thousand_context: Duration::from_micros(200),
            prefill_per_thousand: Duration::from_millis(30),
            tokens_per_event: 8,
            swap_pause: Duration::from_millis(100),
            cache_event_delay: Duration::from_millis(300),
            cache_event_loss_permille: 20,
            load_report_interval: Duration::from_millis(500),
            length_median: 40.0,
            length_sigma: 0.7,
        }
    }
}
