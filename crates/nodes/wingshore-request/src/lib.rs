//! One caller's request from its first byte to its final answer, and the node's copy of the
//! configuration. Nothing here does I/O, reads a clock or draws randomness.

mod answer;
mod attempt;
mod configuration_view;
mod errors;
mod execution;
mod faults;
mod specification;

pub use answer::{ErrorCode, FinalAnswer, RequestError};
pub use attempt::{AnswerBody, AttemptEnd, AttemptFailure, FailureKind};
pub use configuration_view::{
    ConfigurationView, NotAdmitted, UpdateOutcome, WatchPosition, WithoutLease,
};
pub use execution::{ExecutionInput, ExecutionOutput, RequestExecution, SendAttempt};
pub use faults::Faults;
pub use specification::{ClaimIntent, ExecutionLimits, RequestSpecification, claims_group};
