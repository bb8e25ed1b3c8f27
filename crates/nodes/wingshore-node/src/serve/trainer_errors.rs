//! What a trainer is answered when the group behind its request refuses, answers something else or
//! does not answer.
//!
//! Question: which status and code, has the request run, and when is asking again worth while?
//! Inputs: the group's refusal, or the error of the call with its verdict.
//! Rule: a refusal did not run; it has a retry-after where time alone can change it, in the
//! milliseconds that the ledger names where it names any. A call without an answer keeps the
//! verdict of the call, and has a retry-after since every request of a trainer takes effect once.

use crate::http::EdgeError;
use std::time::Duration;
use wingshore_client::CallError;
use wingshore_types::Verdict;
use wingshore_types::protocol::control::ControlRefusal;
use wingshore_types::protocol::ledger::LedgerRefusal;

/// Retry-after where the group names none: it did not answer, or does not know the pool yet.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The error for a refusal of the pool's ledger.
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

/// The error for a refusal of the control group.
pub fn control_refusal(refusal: &ControlRefusal) -> EdgeError {
    match refusal {
        ControlRefusal::Invalid { message } => EdgeError::not_run(400, "invalid_request", message),
        ControlRefusal::Conflict { message, .. } => EdgeError::not_run(409, "conflict", message),
        other => EdgeError::not_run(409, "refused", format!("{other:?}")),
    }
}

/// The error for a call to a group that was not answered. Requests to groups are safe to repeat,
/// so the caller learns when.
pub fn call_error(error: &CallError) -> EdgeError {
    EdgeError {
        status: 503,
        code: "group_unavailable".to_owned(),
        verdict: error.verdict(),
        message: error.to_string(),
        retry_after: Some(RETRY_AFTER),
    }
}

/// The error for an answer of a kind that the request cannot have.
pub fn unexpected<T: std::fmt::Debug>(reply: &T) -> EdgeError {
    EdgeError {
        status: 502,
        code: "bad_answer".to_owned(),
        verdict: Verdict::MayHaveRun,
        message: format!("the group answered something else: {reply:?}"),
        retry_after: Some(RETRY_AFTER),
    }
}
