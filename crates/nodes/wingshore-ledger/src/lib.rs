//! Ledger groups, as replicated state machines without I/O.
//!
//! * [`samples`]: the life of rollout samples, from submission to the trainer's acknowledgement.
//! * [`claims`]: idempotency keys, claimed before a request leaves for a back end.
//! * [`batching`]: how either leader gathers requests into log commands.

pub mod batching;
pub mod claims;
pub mod samples;

/// The effect of a leader that has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEffect {}

/// The event of a leader that waits for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEvent {}
