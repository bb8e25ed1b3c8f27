//! How one attempt at a back end ended.

use std::time::Duration;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::StoredAnswer;

/// Whether all of an answer's body came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// To its declared end.
    Whole,
    /// Less than was declared, or without its end.
    Cut,
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// No connection was made: no byte left.
    ConnectFailed,
    /// The server says itself that it did not run the request.
    RefusedByServer,
    /// The connection broke after bytes may have left.
    ConnectionLost,
    /// The answer ended before its declared end.
    AnswerCut,
    /// The answer is larger than the node takes.
    AnswerTooLarge,
    /// No answer within the deadline.
    TimedOut,
    /// The answer is not what the protocol allows.
    BadAnswer,
    /// The node lost its configuration lease before the first byte left.
    LeaseLost,
}

impl FailureKind {
    /// What it says about the execution.
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
    /// What went wrong.
    pub kind: FailureKind,
    /// The same in words, for the caller.
    pub message: String,
    /// When the server wants to be asked again, where it says so.
    pub retry_after: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the body is whole.
        body: AnswerBody,
        /// The answer, where it is small enough to be kept for repeats of the key.
        kept: Option<StoredAnswer>,
    },
    /// It failed.
    Failed(AttemptFailure),
}
