//! The result of one attempt at a server, and what a failure implies about the execution of the
//! request.
//!
//! Question: may the request of a failed attempt have run?
//! Input: the kind of the failure, as reported by the driver of the sockets.
//! Rule: the request did not run if no byte was sent or the server rejected it explicitly. It ran
//! if the answer exceeded the size limit. In all other cases it may have run.
//! Why: a non-repeatable request is retried only after an attempt that did not run.

use std::time::Duration;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::StoredAnswer;

/// Whether the body of an answer was received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// Received up to its declared end.
    Complete,
    /// Shorter than declared, or without an end marker.
    Truncated,
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// No connection was established, so no byte was sent.
    ConnectFailed,
    /// The server rejected the request explicitly, without running it.
    RefusedByServer,
    /// The connection was lost after bytes may have been sent.
    ConnectionLost,
    /// The answer ended before its declared end.
    AnswerCut,
    /// The answer exceeds the node's size limit.
    AnswerTooLarge,
    /// No answer arrived before the deadline.
    TimedOut,
    /// The answer violates the protocol.
    BadAnswer,
    /// The node's configuration lease expired before the first byte was sent.
    LeaseLost,
}

impl FailureKind {
    /// Returns what this failure implies about the execution of the request.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::ConnectFailed | Self::RefusedByServer | Self::LeaseLost => Verdict::NotRun,
            Self::ConnectionLost | Self::AnswerCut | Self::TimedOut | Self::BadAnswer => {
                Verdict::MayHaveRun
            }
            Self::AnswerTooLarge => Verdict::Ran,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Description of the failure for the caller.
    pub message: String,
    /// Retry-after given by the server, if any.
    pub retry_after: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered, completely or not.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Whether the body is complete.
        body: AnswerBody,
        /// The answer, if it is small enough to be stored under the idempotency key for replays.
        stored_answer: Option<StoredAnswer>,
    },
    /// The attempt failed.
    Failed(AttemptFailure),
}
