//! Idempotency keys: claimed in a replicated log before the first byte of a request leaves for a
//! back end, so that a key never runs twice through any node.
//!
//! A claim is kept for [`RETENTION`] after its last change. Within that time it is never
//! forgotten: when there is no room, new keys are refused.

mod command;
mod entry;
mod faults;
mod leader;
mod state;

pub use command::ClaimsCommand;
pub use faults::Faults;
pub use leader::ClaimsLeader;
pub use state::{ClaimsLimits, ClaimsState, RESEND_WINDOW, RETENTION};
