//! Carries out what the rollout runners want done: streams from engines, calls to ledgers, scores.
//!
//! Owns a thread and groups of workers for each pool, and the means to interrupt each stream.
//! Relies on `wingshore-rollout` for every decision.

mod driver;
mod streams;
mod workers;

pub use driver::{RolloutDriver, start_rollouts};
