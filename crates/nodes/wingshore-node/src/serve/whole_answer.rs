//! Shared by requests that are answered in one piece: counting them, storing answers for repeats of
//! an idempotency key, and the error for an internal fault.

use crate::http::{Caller, EdgeAnswer, EdgeError};
use crate::state::NodeState;
use std::time::Instant;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::StoredAnswer;

/// Largest answer in bytes that is stored for repeats of an idempotency key. Part of the public
/// API.
const MAX_STORED_ANSWER: usize = 64 * 1024;
/// Header that marks the stored answer of an earlier request with the same key.
const REPLAYED_HEADER: &str = "x-wingshore-replayed";

/// Runs `work`, sends its answer or error to the caller and counts the request under `kind`.
pub fn serve_buffered(
    node: &NodeState,
    kind: &'static str,
    mut caller: Caller,
    work: impl FnOnce(&mut Caller) -> Result<EdgeAnswer, EdgeError>,
) {
    let started = Instant::now();
    let _in_flight = node.metrics.begin(kind);
    let (code, answer) = match work(&mut caller) {
        Ok(answer) => ("ok".to_owned(), answer),
        Err(error) => (error.code.clone(), error.answer()),
    };
    caller.respond(answer);
    node.metrics.on_answered(kind, &code, started.elapsed());
}

/// Returns the answer in the form stored for repeats of its key, or `None` if it is too large.
pub fn storable_answer(status: u16, content_type: &str, body: &[u8]) -> Option<StoredAnswer> {
    (body.len() <= MAX_STORED_ANSWER).then(|| StoredAnswer {
        status,
        content_type: content_type.to_owned(),
        body: body.to_vec(),
    })
}

/// Returns the stored answer of an earlier request with the same key.
pub fn replayed_answer(stored: StoredAnswer) -> EdgeAnswer {
    EdgeAnswer::new(stored.status, &stored.content_type, stored.body)
        .with_header(REPLAYED_HEADER, "true")
}

/// Reports a fault of the node itself and returns the error for the caller.
pub fn internal_error(node: &NodeState, what: &str) -> EdgeError {
    node.report_invariant_violation(what);
    EdgeError {
        status: 500,
        code: "internal".to_owned(),
        verdict: Verdict::MayHaveRun,
        message: what.to_owned(),
        retry_after: None,
    }
}
