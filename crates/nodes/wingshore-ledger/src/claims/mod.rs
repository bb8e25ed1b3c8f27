//! Idempotency keys: claimed in a replicated log before the first byte of a request is sent to a
//! back end, so that the requests of a key are executed at most once across all nodes.
//!
//! Question: may this attempt send the request with this key?
//!
//! Inputs: the key with its service, a fingerprint of the request, the claimant (node, boot,
//! attempt), the stored claim of the key, and committed time in milliseconds.
//!
//! Rule: a key without a stored claim, or whose request did not run, is granted. The same claimant
//! is granted it again for [`RESEND_WINDOW`], so that it can repeat a claim whose reply was lost.
//! Any other claimant gets the stored answer, or the reply that the key is taken; the request may
//! have run in that case. A claim with the same key and another fingerprint is refused.
//!
//! A claim is kept for [`RETENTION`] after its last change and never evicted earlier: when the
//! group is full, new keys are refused.

mod command;
mod entry;
mod faults;
mod leader;
mod state;

pub use command::ClaimsCommand;
pub use faults::Faults;
pub use leader::ClaimsLeader;
pub use state::{ClaimsState, RESEND_WINDOW, RETENTION};
