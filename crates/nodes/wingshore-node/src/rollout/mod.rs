//! Executes the outputs of the rollout runners: streams from engines, calls to ledgers, scorings.
//!
//! Owns a thread and worker pools for each rollout pool, and the clients that can interrupt
//! streams. All decisions are made by `wingshore-rollout`.

mod driver;
mod streams;
mod workers;

pub use driver::{RolloutDriver, start_rollouts};
