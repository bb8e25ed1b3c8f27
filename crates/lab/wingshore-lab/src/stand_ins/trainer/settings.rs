//! Settings of the stand-in trainer.

use crate::durations;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How a trainer behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrainerSettings {
    /// Its name in logs and towards the service.
    pub name: String,
    /// Where it logs; after a restart it also reads there where it was.
    pub log: PathBuf,
    /// The node beside it.
    pub node: SocketAddr,
    /// Where it puts its weights.
    pub weight_store: SocketAddr,
    pub pool: String,
    /// The model it trains.
    pub model: String,
    /// The pool's staleness bound, for the log.
    pub staleness_bound: u64,
    /// The training itself.
    pub training: TrainingSettings,
}

/// What is trained, and how fast.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrainingSettings {
    /// Samples of a step.
    pub batch: u32,
    /// Steps submitted ahead of the one being pulled.
    pub steps_ahead: u64,
    /// Samples that share a prompt.
    pub group: u64,
    pub prompt_tokens: usize,
    /// Tokens at the beginning that all prompts share.
    pub shared_tokens: usize,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// Time to train a step.
    #[serde(with = "durations")]
    pub step_time: Duration,
    /// A new version is published after this many steps.
    pub steps_per_version: u64,
    /// Size of the weights, in bytes.
    pub weight_bytes: usize,
    /// How long one pull may wait.
    #[serde(with = "durations")]
    pub pull_wait: Duration,
    /// Seed of the prompts.
    pub seed: u64,
}

impl Default for TrainingSettings {
    fn default() -> Self {
        Self {
            batch: 64,
            steps_ahead: 3,
            group: 8,
            prompt_tokens: 48,
            shared_tokens: 32,
            max_tokens: 256,
            step_time: Duration::from_millis(500),
            steps_per_version: 2,
            weight_bytes: 4 * 1024 * 1024,
            pull_wait: Duration::from_secs(2),
            seed: 0,
        }
    }
}
