//! What the router learns about a server from the end of an attempt.
//!
//! Question: does the end of an attempt count for or against the server?
//! Inputs: the HTTP status of a whole answer with its latency, or the kind of the failure.
//! Rule: a status from 500 on and each failure count against the server, with two exceptions: a
//! server's own word that it did not run the request goes to the router as a refusal, and an attempt that the node itself
//! did not send, because its lease had run out, says nothing about the server.

use crate::attempt::FailureKind;
use std::time::Duration;
use wingshore_routing::AttemptOutcome;
use wingshore_types::Verdict;

/// First HTTP status that counts as the server's own failure.
const FIRST_SERVER_ERROR: u16 = 500;

/// The outcome of an attempt whose whole answer came after `latency`.
pub(crate) fn outcome_of_answer(status: u16, latency: Duration) -> AttemptOutcome {
    if status >= FIRST_SERVER_ERROR {
        return AttemptOutcome::Failed(Verdict::Ran);
    }
    AttemptOutcome::Success { latency }
}

/// The outcome of an attempt that failed.
pub(crate) fn outcome_of_failure(kind: FailureKind) -> AttemptOutcome {
    match kind {
        FailureKind::RefusedByServer => AttemptOutcome::Refused,
        FailureKind::LeaseLost => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Failed(kind.verdict()),
    }
}
