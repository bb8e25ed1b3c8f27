//! Whether, and when, a request is tried again by this node.
//!
//! Questions: after a failed attempt, may another one be sent, and how long is the backoff before
//! it? After a refusal for want of a free slot, when is the router asked again?
//! Inputs: the verdict of the failed attempt, the number of attempts so far, whether the request
//! must run at most once, the limits of the execution, and instants of the node's clock.
//! Rule: a request that must run at most once is sent again only after an attempt that certainly did
//! not run; any other as long as attempts are left. The router's retry budget is asked besides, and
//! last, since its answer uses the budget up. The backoff doubles with each attempt. Want of a slot
//! is waited out by polling, until the limit of the wait or the deadline.
//! Why: running twice does harm that nobody can undo, while a failed request may be sent again by
//! its caller, who learns the verdict.
//! An attempt of which nothing is known counts as one that may have run.

use crate::specification::ExecutionLimits;
use std::time::Duration;
use wingshore_routing::RefusalCode;
use wingshore_types::{Instant, Verdict};

/// The backoff doubles this often at most: with the default of 5 ms it ends at 5.12 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Whether a request may be sent again after its attempt number `attempts` failed with `verdict`.
pub(crate) fn may_retry(
    limits: &ExecutionLimits,
    attempts: u32,
    is_at_most_once: bool,
    verdict: Verdict,
) -> bool {
    let is_allowed = !is_at_most_once || verdict.allows_retry_of_no_repeat();
    is_allowed && attempts < limits.attempts
}

/// The backoff after attempt number `attempts`, which failed.
pub(crate) fn backoff(limits: &ExecutionLimits, attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    limits.backoff * (1 << doublings)
}

/// When to ask the router again after it refused for the reason `code`; `None` when the refusal
/// stands, because waiting does not help or the wait would go beyond `slot_until` or `deadline`.
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
