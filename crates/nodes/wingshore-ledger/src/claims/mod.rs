//! Idempotency keys: claimed in a replicated log before the first byte of a request leaves for a
//! back end, so that a key never runs twice through any node.
//!
//! Question: may this attempt send the request with this key?
//!
//! Inputs: the key with its service, a fingerprint of the request, who claims (node, boot, attempt),
//! what is remembered of the key, and committed time in milliseconds.
//!
//! Rule: a key that is not remembered, or whose request did not run, is granted. The claimant itself
//! is granted it again for [`RESEND_WINDOW`], so that a lost answer costs nothing. Everybody else
//! gets the kept answer, or hears that the key is taken, which may mean that it ran. Another request
//! with the same key is refused.
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
pub use state::{ClaimsState, RESEND_WINDOW, RETENTION};
