//! Retry policy of the node: whether and when a request is retried.
//!
//! Questions: after a failed attempt, is a retry allowed, and how long is the backoff before it?
//! After a refusal because no slot is free, when is the router asked again?
//! Inputs: the verdict of the failed attempt, the number of attempts so far, whether the request
//! must run at most once, the limits of the execution, and instants of the node's clock.
//! Rule: an at-most-once request is retried only after an attempt that did not run; any other
//! request is retried while attempts are left. The router's retry budget is checked last, because
//! the check consumes budget. The backoff doubles with each attempt. When no slot is free, the
//! router is polled until the wait limit or the deadline.
//! Why: the effects of running twice cannot be undone, while the caller of a failed request learns
//! the verdict and can retry it.
//! An attempt with an unknown result counts as one that may have run.

use crate::specification::ExecutionLimits;
use std::time::Duration;
use wingshore_routing::RefusalCode;
use wingshore_types::{Instant, Verdict};

/// Maximum number of doublings; the default backoff of 5 ms grows to at most 5.12 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Returns whether a request may be retried after attempt number `attempts` failed with `verdict`.
pub(crate) fn may_retry(
    limits: &ExecutionLimits,
    attempts: u32,
    is_at_most_once: bool,
    verdict: Verdict,
) -> bool {
    let is_allowed = !is_at_most_once || verdict.allows_retry_of_no_repeat();
    is_allowed && attempts < limits.attempts
}

/// Returns the backoff after attempt number `attempts` failed.
pub(crate) fn backoff(limits: &ExecutionLimits, attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    limits.backoff * (1 << doublings)
}

/// Returns the time of the next admission attempt after a refusal with `code`; `None` when the
/// refusal is final, because waiting does not help or would exceed `slot_until` or `deadline`.
pub(crate) fn next_slot_poll(
    limits: &ExecutionLimits,
    now: Instant,
    code: RefusalCode,
    slot_until: Instant,
    deadline: Instant,
) -> Option<Instant> {
    let next_poll = now + limits.slot_poll;
    let waits = code == RefusalCode::NoCapacity && next_poll < slot_until && next_poll < deadline;
    waits.then_some(next_poll)
}
