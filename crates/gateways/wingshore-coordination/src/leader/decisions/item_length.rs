//! Decides how long an item is expected to be, and which items count as long, so that a training
//! step waits for them.
//!
//! Inputs: the caller's estimates of the lengths of a job's items, in tokens; the maximum lengths
//! that the items allow, in tokens; whether an item with the same id was still running when an
//! earlier job ended; the number of events of a running item.
//!
//! Rule: an item is long if its estimate is at least [`LONG_FACTOR`] times the mean of its job, or
//! if it was still running when an earlier job ended. For loads of weights on its engine, an item
//! with [`OBSERVED_LONG_EVENTS`] events is long whatever its estimate. A running item goes on until
//! its estimate, and beyond it for [`OVERRUN_FRACTION`] of what it has; one in ten goes on until
//! [`LENGTH_MARGIN`] times its estimate, and beyond that for [`HIGH_OVERRUN_FRACTION`]. An item
//! without an estimate is expected to have twice as many events as any running item of its job has.
//! An item that outlived an earlier job counts as the longest of its job.
//!
//! Rationale: a few texts of a step are several times longer than the rest and determine when the
//! step ends. Estimates are right only at the median, so the observed length counts more.
//!
//! Stale or missing inputs: if no item of a job has an estimate, none is long by estimate. If only
//! some have one, an item without an estimate counts as empty.

use crate::jobs::JobItem;

/// Multiple of the mean estimate from which on an item is long.
const LONG_FACTOR: u64 = 2;
/// Number of events from which on a running item is long, whatever its estimate.
const OBSERVED_LONG_EVENTS: u64 = 30;
/// Number of further events of an item that has passed its estimate, as a fraction of those that it
/// has. If the logarithm of the error of estimates has a standard deviation of 0.5, the median text
/// that passes its estimate ends at 1.4 times, and one that passes twice its estimate at 1.2 times
/// that length.
const OVERRUN_FRACTION: f64 = 0.3;

/// The same, as one item in ten exceeds it: at the estimate 1.3 times, at twice the estimate 0.65
/// times the events that it has.
const HIGH_OVERRUN_FRACTION: f64 = 0.6;
/// Multiple of its estimate that one item in ten exceeds.
pub(crate) const LENGTH_MARGIN: f64 = 2.0;

/// The estimated lengths of a job's items, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobLengths {
    /// The estimate from which on an item is long.
    pub(crate) long_threshold: u64,
    /// The longest estimate; `None` if no item has one.
    pub(crate) longest: Option<u64>,
}

impl JobLengths {
    /// Returns the lengths of the items of a job.
    pub(crate) fn of(items: &[JobItem]) -> Self {
        Self {
            long_threshold: long_threshold(items),
            longest: items.iter().filter_map(estimated_tokens).max(),
        }
    }
}

/// Returns the estimated number of generated tokens of an item, within the limit of its request.
pub(crate) fn estimated_tokens(item: &JobItem) -> Option<u64> {
    Some(item.expected_output?.min(item.tokens))
}

/// Returns the estimate, in tokens, from which on an item of a job is long.
fn long_threshold(items: &[JobItem]) -> u64 {
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

/// Returns the length by which an item is placed, as a fraction of the longest one of its job. An
/// item that has run before has lost time, so it counts as the longest.
pub(crate) fn relative_length(
    is_long: bool,
    has_run: bool,
    estimated: Option<u64>,
    longest: Option<u64>,
) -> f64 {
    match (estimated, longest) {
        _ if has_run => 1.0,
        (Some(estimated), Some(longest)) => estimated as f64 / longest.max(1) as f64,
        _ if is_long => 1.0,
        _ => 0.0,
    }
}

/// Returns the expected number of events of an item without an estimate, if `most_events` is the
/// highest number that a running item of its job has.
pub(crate) fn events_without_estimate(most_events: u64) -> f64 {
    most_events as f64 * LENGTH_MARGIN
}

/// The number of further events of an item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RemainingEvents {
    /// The number that it has as likely as not.
    pub(crate) expected: f64,
    /// The number that one item in ten exceeds.
    pub(crate) high: f64,
}

impl RemainingEvents {
    /// Returns the number for an item that has `generated` events and is `estimated` to have that
    /// many in all.
    pub(crate) fn new(estimated: f64, generated: u64) -> Self {
        let generated = generated as f64;
        let expected = (estimated - generated).max(generated * OVERRUN_FRACTION);
        let high = (estimated * LENGTH_MARGIN - generated).max(generated * HIGH_OVERRUN_FRACTION);
        Self { expected, high }
    }
}
