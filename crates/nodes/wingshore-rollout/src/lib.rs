//! State machine, without I/O, that runs the leased samples of a pool on engines.
//!
//! [`RolloutRunner`] leases samples from the ledger, generates them on engines that the router
//! chooses, reports complete generations to the ledger and has them scored. A driver executes its
//! [`RolloutOutput`]s and supplies [`RolloutInput`]s. The state machine is deterministic: the same
//! inputs at the same times give the same outputs.
//!
//! * `window`: how many samples to lease, derived from the admissions of the router
//! * `leased`: leased samples that are not finished yet
//! * `starting`: starting attempts on engines
//! * `streams`: running attempts, from their first event to their end
//! * `placement`: moving attempts between engines
//! * `cache_moves`: moving attempts together with their KV cache
//! * `second_attempts`: second attempts of stragglers
//! * `reports`: reports to the ledger, retried until they are answered
//! * `polls`: requests to the ledger for leases, renewals and unscored samples
//! * `scoring`: requests to the scorer for finished samples
//! * `stopping`: the planned stop

mod cache_moves;
mod faults;
mod leased;
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
pub use settings::{RolloutSettings, SecondAttemptPolicy};
