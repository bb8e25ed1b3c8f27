//! One caller's request from its first byte to its final answer, and the node's copy of the
//! configuration. Nothing here does I/O, reads a clock or draws randomness.
//!
//! [`RequestExecution`] is the state machine of a request; its rules stand in `retry`, `attempt`
//! and `errors`. It relies on `wingshore-routing` for the choice of a server and for the retry
//! budget, and on its driver to make attempts and to call claims groups. [`ConfigurationView`] owns
//! the copy of the configuration and its lease.

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
