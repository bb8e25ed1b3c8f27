//! Execution of a caller's request from admission to the final answer, and the node's copy of the
//! configuration. The crate performs no I/O, reads no clock and uses no randomness.
//!
//! [`RequestExecution`] is the state machine of a request; `retry`, `attempt` and `errors` contain
//! its rules. `wingshore-routing` chooses servers and keeps the retry budget; the driver makes the
//! attempts and calls the claims groups. [`ConfigurationView`] owns the copy of the configuration
//! and its lease.

mod answer;
mod attempt;
mod claim;
mod configuration_view;
mod errors;
mod execution;
mod faults;
mod messages;
mod outcome;
mod retry;
mod specification;

pub use answer::{ErrorCode, FinalAnswer, RequestError};
pub use attempt::{AnswerBody, AttemptEnd, AttemptFailure, FailureKind};
pub use configuration_view::{
    ConfigurationView, NotAdmitted, UpdateOutcome, WatchPosition, WithoutLease,
};
pub use execution::RequestExecution;
pub use faults::Faults;
pub use messages::{ExecutionInput, ExecutionOutput, SendAttempt};
pub use specification::{ClaimIntent, ExecutionLimits, RequestSpecification, claims_group};
