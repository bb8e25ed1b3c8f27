//! The final answer to a caller.

use std::time::Duration;
use wingshore_routing::{Refusal, RefusalCode};
use wingshore_types::protocol::claims::StoredAnswer;
use wingshore_types::{ErrorBody, ErrorDetail, Verdict};

/// Stable codes of errors; `docs/API.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorCode {
    /// The router refused; its own code.
    Routing(RefusalCode),
    /// No connection to any server could be made.
    ConnectFailed,
    /// The servers asked said themselves that they did not run it.
    RefusedByServer,
    /// The connection to the server broke.
    ConnectionLost,
    /// The server's answer was cut short.
    AnswerCut,
    /// The server's answer is larger than the node takes.
    AnswerTooLarge,
    /// The server's answer breaks the protocol.
    BadAnswer,
    /// The node lost its configuration lease.
    LeaseLost,
    /// The deadline passed.
    DeadlineExceeded,
    /// Another attempt under the same idempotency key may have run, or is running.
    KeyTaken,
    /// The request under this idempotency key ran; its answer is not kept.
    AlreadyRan,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The group that keeps idempotency keys takes no more now.
    ClaimsFull,
    /// The group that keeps idempotency keys did not answer.
    ClaimsUnavailable,
}

impl ErrorCode {
    /// Stable text of the code.
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

    /// The HTTP status it is answered with.
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

/// An error as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Stable code.
    pub code: ErrorCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong, where, and what is allowed.
    pub message: String,
    /// When asking again makes sense; `None` where it never does.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// A refusal of the router, after attempts whose worst verdict is `verdict`.
    pub fn from_refusal(refusal: Refusal, verdict: Verdict) -> Self {
        Self {
            code: ErrorCode::Routing(refusal.code),
            verdict,
            message: refusal.message,
            retry_after: refusal.retry_after,
        }
    }

    /// The JSON body.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code.as_str().to_owned(),
                verdict: self.verdict,
                message: self.message.clone(),
                retry_after_ms: self.retry_after.map(whole_milliseconds),
            },
        }
    }
}

/// The final answer to a caller; exactly one per execution, unless the caller has gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer that the attempt of this number brought.
    Forward {
        /// The attempt, from 1.
        attempt: u32,
    },
    /// The kept answer of an earlier request with the same idempotency key.
    Replay(StoredAnswer),
    /// An error.
    Error(RequestError),
}

fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
