//! Which time of day do the machines of a site agree on?
//!
//! A machine's time of day may jump by seconds; its boot-time clock does not.
//!
//! - Inputs: times of day of the coordinators, a coordinator's own among them, in milliseconds since 1970,
//!   and when each was heard by the boot-time clock.
//! - Rule: each reading is kept as its difference to this machine's boot-time clock, and the median of
//!   the differences counts; of an even number, the lower one of the two in the middle.
//! - Why: as long as the clocks of fewer than half of the machines are wrong, the median is among the
//!   right ones. Machines that are right disagree by milliseconds, and so does the median from one
//!   reading to the next: it is not slewed, since nothing here measures short times by it.
//! - Old or missing inputs: a reading older than [`MAX_READING_AGE`] does not count; without any there is
//!   no time, and what needs one waits.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A time of day, in milliseconds since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub i64);

/// A machine that is silent for longer does not count: ten introductions of a coordinator.
const MAX_READING_AGE: Duration = Duration::from_secs(3);

/// A time of day as it was heard.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// What the boot-time clock lacks to that time of day, in milliseconds.
    offset_ms: i64,
    received_at: Instant,
}

/// The time that the machines of a site agree on, as one of them knows it. `S` names a machine.
#[derive(Clone, Debug)]
pub struct SiteClock<S> {
    readings: BTreeMap<S, Reading>,
}

impl<S: Ord> Default for SiteClock<S> {
    fn default() -> Self {
        Self {
            readings: BTreeMap::new(),
        }
    }
}

impl<S: Ord> SiteClock<S> {
    /// A machine's time of day was heard.
    pub fn record(&mut self, now: Instant, machine: S, wall: WallTime) {
        let reading = Reading {
            offset_ms: wall.0 - now_ms(now),
            received_at: now,
        };
        self.readings.insert(machine, reading);
    }

    /// The time of day; `None` before any was heard.
    pub fn now(&mut self, now: Instant) -> Option<WallTime> {
        self.readings
            .retain(|_, reading| now.since(reading.received_at) <= MAX_READING_AGE);
        let mut offsets: Vec<i64> = self
            .readings
            .values()
            .map(|reading| reading.offset_ms)
            .collect();
        offsets.sort_unstable();
        let middle = offsets.len().saturating_sub(1) / 2;
        let median = offsets.get(middle)?;
        Some(WallTime(now_ms(now) + median))
    }
}

fn now_ms(now: Instant) -> i64 {
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
