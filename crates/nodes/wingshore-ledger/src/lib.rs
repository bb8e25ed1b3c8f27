//! Replicated state machines of the ledger groups, without I/O.
//!
//! * [`samples`]: the lifecycle of rollout samples, from submission to the trainer's
//!   acknowledgement.
//! * [`claims`]: idempotency keys, claimed before a request is sent to a back end.
//! * `batching`: collects the requests of either leader into log commands.

mod batching;
pub mod claims;
pub mod samples;

/// Effect type of a leader that causes no effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEffect {}

/// Event type of a leader that receives no events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEvent {}
