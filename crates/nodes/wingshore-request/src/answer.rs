//! The final answer to a caller.

use std::time::Duration;
use wingshore_routing::{Refusal, RefusalCode};
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::StoredAnswer;

/// Stable error codes of the API; `docs/API.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorCode {
    /// The router refused the request, with the given refusal code.
    Routing(RefusalCode),
    /// No connection to any server could be made.
    ConnectFailed,
    /// The servers rejected the request explicitly, without running it.
    RefusedByServer,
    /// The connection to the server was lost.
    ConnectionLost,
    /// The server's answer was truncated.
    AnswerCut,
    /// The server's answer exceeds the node's size limit.
    AnswerTooLarge,
    /// The server's answer violates the protocol.
    BadAnswer,
    /// The node lost its configuration lease.
    LeaseLost,
    /// The deadline passed.
    DeadlineExceeded,
    /// Another attempt under the same idempotency key may have run, or is running.
    KeyTaken,
    /// The request under this idempotency key ran, but its answer was not stored.
    AlreadyRan,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// The claims group has no capacity for further idempotency keys at the moment.
    ClaimsFull,
    /// The claims group did not answer.
    ClaimsUnavailable,
}

impl ErrorCode {
    /// Returns the stable text of the code, as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routing(code) => code.as_str(),
            Self::ConnectFailed => "connect_failed",
            Self::RefusedByServer => "refused_by_server",
            Self::ConnectionLost => "connection_lost",
            Self::AnswerCut => "answer_cut",
            Self::AnswerTooLarge => "answer_too_large",
            Self::BadAnswer => "bad_answer",
            Self::LeaseLost => "no_lease",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::KeyTaken => "key_taken",
            Self::AlreadyRan => "already_ran",
            Self::KeyMismatch => "key_mismatch",
            Self::ClaimsFull => "claims_full",
            Self::ClaimsUnavailable => "claims_unavailable",
        }
    }

    /// Returns the HTTP status of an answer with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::Routing(RefusalCode::UnknownService) => 404,
            Self::Routing(RefusalCode::DeadlinePassed) | Self::DeadlineExceeded => 504,
            Self::Routing(_)
            | Self::ConnectFailed
            | Self::RefusedByServer
            | Self::LeaseLost
            | Self::ClaimsFull
            | Self::ClaimsUnavailable => 503,
            Self::ConnectionLost | Self::AnswerCut | Self::AnswerTooLarge | Self::BadAnswer => 502,
            Self::KeyTaken | Self::AlreadyRan => 409,
            Self::KeyMismatch => 422,
        }
    }
}

/// An error as returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Stable error code.
    pub code: ErrorCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Explanation for the caller: what went wrong, where, and what is allowed.
    pub message: String,
    /// Time after which the caller may retry; `None` when a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates the error for a refusal by the router; `verdict` is the worst verdict of the
    /// attempts made before it.
    pub fn from_refusal(refusal: Refusal, verdict: Verdict) -> Self {
        Self {
            code: ErrorCode::Routing(refusal.code),
            verdict,
            message: refusal.message,
            retry_after: refusal.retry_after,
        }
    }
}

/// The final answer to a caller. Each execution gives exactly one, unless the caller disconnects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Forwards the answer received by an attempt.
    Forward {
        /// Number of the attempt, counted from 1.
        attempt: u32,
    },
    /// Returns the stored answer of an earlier request with the same idempotency key.
    Replay(StoredAnswer),
    /// Returns an error.
    Error(RequestError),
}
