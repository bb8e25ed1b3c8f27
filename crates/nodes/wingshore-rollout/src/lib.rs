//! Runs a pool's leased samples on engines, as a state machine without I/O.
//!
//! [`RolloutRunner`] leases samples from the ledger, streams them from engines that the router
//! chooses, reports whole generations, and has finished samples scored. A driver carries out its
//! [`RolloutOutput`]s and feeds it [`RolloutInput`]s; the same inputs at the same times give the
//! same outputs.
//!
//! * `window`: how many samples to hold, from what the router admits
//! * `held`: leased samples that are not finished yet
//! * `starting`: starting attempts on engines
//! * `streams`: attempts on engines, from their first event to their end
//! * `placement`: moving attempts off engines
//! * `cache_moves`: whether an attempt moves with its KV cache
//! * `second_attempts`: second attempts of stragglers
//! * `reports`: what must reach the ledger, sent again until it does
//! * `polls`: asking the ledger for leases, renewals and unscored samples
//! * `scoring`: finished samples on their way through the scorer
//! * `stopping`: the planned stop

mod cache_moves;
mod faults;
mod held;
mod messages;
mod placement;
mod polls;
mod reports;
mod runner;
mod scoring;
mod second_attempts;
mod settings;
mod starting;
mod stopping;
mod streams;
mod window;

pub use cache_moves::CacheMoveCosts;
pub use faults::Faults;
pub use messages::{
    AttemptId, CallId, PoolBinding, RolloutInput, RolloutOutput, ScoreCallId, StreamEnd,
};
pub use runner::{RolloutRunner, RolloutStatus};
pub use settings::{OverIssue, RolloutSettings};
