//! Which items are long, so that a step waits for them?
//!
//! Inputs: the caller's estimates of the lengths of a job's items, in tokens; whether an item of the
//! same identity was still running when an earlier job ended; events so far of an item that runs.
//!
//! Rule: long is an item whose estimate is [`LONG_FACTOR`] times the mean of its job's, or that survived
//! an earlier job; one that has brought [`PROVED_LONG_EVENTS`] is long for the loads of its engine,
//! whatever was estimated.
//!
//! Why: few texts of a step are several times longer than the rest, and decide when it ends. Estimates
//! are often far off, so that what an item has shown counts more.
//!
//! Old or missing inputs: without any estimate no item of a job is long by it; an item without one
//! counts as empty.

use crate::jobs::JobItem;

/// An item is long from this many times the mean estimate on.
const LONG_FACTOR: u64 = 2;
/// Events after which an item has proved to be a long one.
const PROVED_LONG_EVENTS: u64 = 30;

/// The estimate from which on an item of a job is a long one.
pub(crate) fn long_from(items: &[JobItem]) -> u64 {
    let estimates = items.iter().filter_map(|item| item.expected_output);
    let (sum, count) = estimates.fold((0, 0), |(sum, count), estimate| (sum + estimate, count + 1));
    if count == 0 {
        return u64::MAX;
    }
    sum / count * LONG_FACTOR
}

/// Whether an item that runs counts as long for the loads of its engine.
pub(crate) fn is_long_for_loads(is_long: bool, events: u64) -> bool {
    is_long || events >= PROVED_LONG_EVENTS
}
