//! Decides which items count as long, so that a training step waits for them.
//!
//! Inputs: the caller's estimates of the lengths of a job's items, in tokens; whether an item with
//! the same id was still running when an earlier job ended; the number of events of a running item.
//!
//! Rule: an item is long if its estimate is at least [`LONG_FACTOR`] times the mean of its job, or
//! if it was still running when an earlier job ended. For loads of weights on its engine, an item
//! with [`OBSERVED_LONG_EVENTS`] events is long whatever its estimate.
//!
//! Rationale: a few texts of a step are several times longer than the rest and determine when the
//! step ends. Estimates are often far off, so the observed length counts more.
//!
//! Stale or missing inputs: if no item of a job has an estimate, none is long by estimate. If only
//! some have one, an item without an estimate counts as empty.

use crate::jobs::JobItem;

/// Multiple of the mean estimate from which on an item is long.
const LONG_FACTOR: u64 = 2;
/// Number of events from which on a running item is long, whatever its estimate.
const OBSERVED_LONG_EVENTS: u64 = 30;

/// Returns the estimate, in tokens, from which on an item of a job is long.
pub(crate) fn long_threshold(items: &[JobItem]) -> u64 {
    let estimates = items.iter().filter_map(|item| item.expected_output);
    let (sum, count) = estimates.fold((0_u64, 0), |(sum, count), estimate| {
        (sum.saturating_add(estimate), count + 1)
    });
    if count == 0 {
        return u64::MAX;
    }
    (sum / count).saturating_mul(LONG_FACTOR)
}

/// Returns whether a running item counts as long for the loads of its engine.
pub(crate) fn is_long_for_loads(is_long: bool, events: u64) -> bool {
    is_long || events >= OBSERVED_LONG_EVENTS
}
