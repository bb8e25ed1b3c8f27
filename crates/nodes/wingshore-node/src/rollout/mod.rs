//! Carries out what the rollout runners want done: streams from engines, calls to ledgers, scores.

mod driver;
mod streams;
mod workers;

pub use driver::{RolloutDriver, start_rollouts};
