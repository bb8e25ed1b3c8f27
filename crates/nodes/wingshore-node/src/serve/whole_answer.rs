//! What requests that are answered in one piece have in common: counting them, the answers that are
//! kept for repeats of an idempotency key, and the error for a fault of the node itself.

use crate::http::{Caller, EdgeAnswer, EdgeError};
use crate::state::NodeState;
use std::time::Instant;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::StoredAnswer;

/// Largest answer that is kept for repeats of an idempotency key, in bytes; part of the interface
/// to callers.
const MAX_KEPT_ANSWER: usize = 64 * 1024;
/// Header that marks an answer kept from an earlier request with the same key.
const REPLAYED_HEADER: &str = "x-wingshore-replayed";

/// Answers a request of `kind` with what `work` makes of it, and counts it.
pub fn serve_whole(
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

/// The answer as it is kept for repeats of its key; `None` where it is too large.
pub fn kept_answer(status: u16, content_type: &str, body: &[u8]) -> Option<StoredAnswer> {
    (body.len() <= MAX_KEPT_ANSWER).then(|| StoredAnswer {
        status,
        content_type: content_type.to_owned(),
        body: body.to_vec(),
    })
}

/// The answer of an earlier request with the same key.
pub fn replayed(kept: StoredAnswer) -> EdgeAnswer {
    EdgeAnswer::new(kept.status, &kept.content_type, kept.body).with_header(REPLAYED_HEADER, "true")
}

/// A fault of the node itself.
pub fn internal(node: &NodeState, what: &str) -> EdgeError {
    node.report_invariant_violation(what);
    EdgeError {
        status: 500,
        code: "internal".to_owned(),
        verdict: Verdict::MayHaveRun,
        message: what.to_owned(),
        retry_after: None,
    }
}
