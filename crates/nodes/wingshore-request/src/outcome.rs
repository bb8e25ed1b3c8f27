//! Maps the end of an attempt to the outcome that is reported to the router.
//!
//! Question: does the end of an attempt count as a success or a failure of the server?
//! Inputs: the HTTP status and the latency of a complete answer, or the kind of the failure.
//! Rule: a status of 500 or above and every failure count against the server, with two exceptions:
//! an explicit rejection by the server is reported as a refusal, and an attempt that the node did
//! not send because its own lease had expired says nothing about the server.

use crate::attempt::FailureKind;
use std::time::Duration;
use wingshore_routing::AttemptOutcome;
use wingshore_types::Verdict;

/// Lowest HTTP status that counts as a failure of the server.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Returns the outcome of an attempt whose complete answer arrived after `latency`.
pub(crate) fn outcome_of_answer(status: u16, latency: Duration) -> AttemptOutcome {
    if status >= MIN_SERVER_ERROR_STATUS {
        return AttemptOutcome::Failed(Verdict::Ran);
    }
    AttemptOutcome::Success { latency }
}

/// Returns the outcome of a failed attempt.
pub(crate) fn outcome_of_failure(kind: FailureKind) -> AttemptOutcome {
    match kind {
        FailureKind::RefusedByServer => AttemptOutcome::Refused,
        FailureKind::LeaseLost => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Failed(kind.verdict()),
    }
}
