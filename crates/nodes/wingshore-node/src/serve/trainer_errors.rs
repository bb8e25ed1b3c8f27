//! Errors for trainers' requests whose group refuses, replies with an unexpected kind or does not
//! reply.
//!
//! Decides the status, the code, whether the request ran and when to retry, from the group's
//! refusal or from the error of the call with its verdict.
//! A refused request did not run. It has a retry-after only if time alone can resolve the refusal,
//! with the ledger's own value in milliseconds where it gives one. A call without a reply keeps the
//! verdict of the call and has a retry-after, because every trainer request takes effect only once.

use crate::http::EdgeError;
use std::time::Duration;
use wingshore_client::CallError;
use wingshore_types::Verdict;
use wingshore_types::protocol::control::ControlRefusal;
use wingshore_types::protocol::ledger::LedgerRefusal;

/// Retry-after where the group gives none: it did not reply, or does not know the pool yet.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the error for a refusal by the pool's ledger.
pub fn ledger_refusal(refusal: &LedgerRefusal) -> EdgeError {
    match refusal {
        LedgerRefusal::UnknownPool => EdgeError::not_run(
            503,
            "unknown_to_ledger",
            "the pool's ledger has not been told of the pool yet",
        )
        .retry_after(RETRY_AFTER),
        LedgerRefusal::Full { retry_after_ms } => EdgeError::not_run(
            503,
            "ledger_full",
            "too many samples are submitted and not yet acknowledged; none of these was added",
        )
        .retry_after(Duration::from_millis(*retry_after_ms)),
        LedgerRefusal::NotReady {
            ready,
            retry_after_ms,
        } => EdgeError::not_run(
            503,
            "not_ready",
            format!("{ready} samples are ready, fewer than asked for; none was handed over"),
        )
        .retry_after(Duration::from_millis(*retry_after_ms)),
        LedgerRefusal::WrongStep { message } => EdgeError::not_run(409, "wrong_step", message),
        LedgerRefusal::WrongTrainer { expected } => EdgeError::not_run(
            403,
            "wrong_trainer",
            format!("the pool's trainer is `{expected}`"),
        ),
        LedgerRefusal::Invalid { message } => EdgeError::not_run(400, "invalid_request", message),
    }
}

/// Returns the error for a refusal by the control group.
pub fn control_refusal(refusal: &ControlRefusal) -> EdgeError {
    match refusal {
        ControlRefusal::Invalid { message } => EdgeError::not_run(400, "invalid_request", message),
        ControlRefusal::Conflict { message, .. } => EdgeError::not_run(409, "conflict", message),
        other => EdgeError::not_run(409, "refused", format!("{other:?}")),
    }
}

/// Returns the error for a call to a group that got no reply. Group requests are safe to repeat, so
/// the error has a retry-after.
pub fn call_error(error: &CallError) -> EdgeError {
    EdgeError {
        status: 503,
        code: "group_unavailable".to_owned(),
        verdict: error.verdict(),
        message: error.to_string(),
        retry_after: Some(RETRY_AFTER),
    }
}

/// Returns the error for a reply of a kind that does not match the request.
pub fn unexpected_reply<T: std::fmt::Debug>(reply: &T) -> EdgeError {
    EdgeError {
        status: 502,
        code: "bad_answer".to_owned(),
        verdict: Verdict::MayHaveRun,
        message: format!("the group answered something else: {reply:?}"),
        retry_after: Some(RETRY_AFTER),
    }
}
