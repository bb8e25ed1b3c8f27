//! Settings of the stand-in for live callers.

use crate::durations;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How live callers behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveCallerSettings {
    /// Their name in logs.
    pub name: String,
    pub log: PathBuf,
    /// The node beside them.
    pub node: SocketAddr,
    /// The live service they call.
    pub service: String,
    /// The model they ask for completions; none asks for none.
    pub model: Option<String>,
    pub load: LoadSettings,
}

/// What is sent, and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Mean requests a second; arrivals are a Poisson process.
    pub requests_per_second: f64,
    /// Requests under way at once; arrivals beyond wait, and their wait counts as latency.
    pub most_under_way: usize,
    /// Share of charges, in thousandths; the rest are look-ups, but for completions.
    pub charge_permille: u32,
    /// Share of completions, in thousandths.
    pub completion_permille: u32,
    /// Share of charges that carry an idempotency key, in thousandths.
    pub keyed_permille: u32,
    /// Share of answered keyed charges that are sent again, as if the answer had been lost.
    pub resend_permille: u32,
    /// Time that a caller waits.
    #[serde(with = "durations")]
    pub deadline: Duration,
    /// Most tokens of a completion.
    pub max_tokens: u32,
    /// Tokens of a completion's prompt.
    pub prompt_tokens: usize,
    /// Seed of arrivals and requests.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            requests_per_second: 40.0,
            most_under_way: 32,
            charge_permille: 400,
            completion_permille: 50,
            keyed_permille: 500,
            resend_permille: 100,
            deadline: Duration::from_secs(5),
            max_tokens: 48,
            prompt_tokens: 32,
            seed: 0,
        }
    }
}
