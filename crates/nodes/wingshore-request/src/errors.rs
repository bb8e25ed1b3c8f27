//! Final errors of a caller's request.
//!
//! Question: which code, verdict and retry-after does a caller get?
//! Inputs: the last failure, the worst verdict of all attempts, whether the deadline has passed, or
//! the answer of the claims group.
//! Rule: a passed deadline takes precedence over the last failure. The verdict is never better than
//! that of the worst attempt. The retry-after is the one given by the server or the claims group,
//! otherwise [`DEFAULT_RETRY_AFTER`]; it is absent where a retry cannot help.

use crate::answer::{ErrorCode, RequestError};
use crate::attempt::{AttemptFailure, FailureKind};
use std::time::Duration;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::ClaimsReply;

/// Retry-after when neither the server nor the claims group gives one.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Returns the error after the last attempt failed; `verdict` is the worst verdict of all attempts,
/// `expired` whether the deadline has passed.
pub(crate) fn attempt_error(
    failure: &AttemptFailure,
    verdict: Verdict,
    expired: bool,
) -> RequestError {
    let code = match failure.kind {
        _ if expired => ErrorCode::DeadlineExceeded,
        FailureKind::ConnectFailed => ErrorCode::ConnectFailed,
        FailureKind::RefusedByServer => ErrorCode::RefusedByServer,
        FailureKind::ConnectionLost => ErrorCode::ConnectionLost,
        FailureKind::AnswerCut => ErrorCode::AnswerCut,
        FailureKind::AnswerTooLarge => ErrorCode::AnswerTooLarge,
        FailureKind::TimedOut => ErrorCode::DeadlineExceeded,
        FailureKind::BadAnswer => ErrorCode::BadAnswer,
        FailureKind::LeaseLost => ErrorCode::LeaseLost,
    };
    RequestError {
        code,
        verdict,
        message: failure.message.clone(),
        retry_after: Some(failure.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
    }
}

/// Returns the error of a request whose deadline passed.
pub(crate) fn deadline_error(verdict: Verdict) -> RequestError {
    RequestError {
        code: ErrorCode::DeadlineExceeded,
        verdict,
        message: "the deadline passed before an answer came".to_owned(),
        retry_after: Some(DEFAULT_RETRY_AFTER),
    }
}

/// Returns the error for a claim that was not granted.
pub(crate) fn claim_error(reply: &ClaimsReply) -> RequestError {
    let (code, verdict, message, retry_after_ms) = match reply {
        ClaimsReply::Taken { retry_after_ms } => (
            ErrorCode::KeyTaken,
            Verdict::MayHaveRun,
            "a request with this idempotency key is running or ended without a known outcome",
            Some(*retry_after_ms),
        ),
        ClaimsReply::Mismatch => (
            ErrorCode::KeyMismatch,
            Verdict::NotRun,
            "this idempotency key was used for a request with another method, path or body",
            None,
        ),
        ClaimsReply::Full { retry_after_ms } => (
            ErrorCode::ClaimsFull,
            Verdict::NotRun,
            "too many idempotency keys are kept at the moment",
            Some(*retry_after_ms),
        ),
        _ => (
            ErrorCode::AlreadyRan,
            Verdict::Ran,
            "the request with this idempotency key ran; its answer is not kept",
            None,
        ),
    };
    RequestError {
        code,
        verdict,
        message: message.to_owned(),
        retry_after: retry_after_ms.map(Duration::from_millis),
    }
}
