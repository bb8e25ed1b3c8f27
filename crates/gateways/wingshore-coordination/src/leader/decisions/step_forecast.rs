//! Decides when a training step can end at the earliest, and which groups it does not wait for.
//!
//! Inputs: the number of groups that the trainer waits for; for each group of the job the time until
//! its last item ends, in milliseconds, if each item of it runs where it ends first.
//!
//! Rule: the step ends with the last of the groups that the trainer waits for, in the order of their
//! ends. Groups that are expected to end [`LEFT_OUT_FACTOR`] times later are left out.
//!
//! Rationale: a trainer starts its training once the desired number of groups is complete. An item
//! that ends before that gains nothing by a faster engine, and neither does one of a group that is
//! left out.
//!
//! Stale or missing inputs: lengths of texts are estimates, so a forecast is made anew from the
//! progress of the items, and a group that is left out may be waited for in the next forecast. If
//! the desired number is zero or higher than the number of groups, the step waits for all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;

/// Time for which a forecast is used. Progress is reported at this interval, so that an earlier
/// forecast would have nothing new to go by.
pub(crate) const FORECAST_LIFETIME: Duration = Duration::from_millis(400);

/// Factor by which a group must end later than its step to be left out. Lengths are estimates: of
/// the groups that end at about the same time as the step, any may be the last that it waits for.
const LEFT_OUT_FACTOR: f64 = 1.5;

/// The expected end of a training step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StepForecast {
    /// When the forecast was made.
    pub(crate) made_at: Instant,
    /// The earliest time at which the step can end.
    pub(crate) end: Instant,
    /// The most events that a running item of the job has.
    pub(crate) most_events: u64,
    /// The groups for which the step does not wait.
    pub(crate) left_out: BTreeSet<String>,
}

impl StepForecast {
    /// Returns the forecast of a step that waits for `desired` groups; `groups` holds the time until
    /// the end of each group, in milliseconds.
    pub(crate) fn new(
        now: Instant,
        desired: u32,
        groups: &BTreeMap<&str, f64>,
        most_events: u64,
    ) -> Self {
        let mut ends: Vec<f64> = groups.values().copied().collect();
        ends.sort_by(f64::total_cmp);
        let waited = match desired as usize {
            0 => ends.len(),
            desired => desired.min(ends.len()),
        };
        let end = waited.checked_sub(1).map_or(0.0, |last| ends[last]);
        let is_left_out = |group_end: f64| group_end > end * LEFT_OUT_FACTOR;
        let left_out = groups.iter().filter(|(_, end)| is_left_out(**end));
        Self {
            made_at: now,
            end: now + milliseconds(end),
            most_events,
            left_out: left_out.map(|(group, _)| (*group).to_owned()).collect(),
        }
    }

    /// Returns whether the forecast may still be used at `now`.
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        now.since(self.made_at) < FORECAST_LIFETIME
    }
}

/// Returns a time given in milliseconds as a duration.
pub(crate) fn milliseconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time / 1000.0).unwrap_or(Duration::MAX)
}
