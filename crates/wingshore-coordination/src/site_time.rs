//! The time of day that the machines of a site agree on.
//!
//! A machine's time of day may jump by seconds; its boot-time clock does not. So each machine keeps,
//! for each time of day that it hears of, the difference to its own boot-time clock, and goes by the
//! median of those: as long as the clocks of fewer than half of the machines are wrong, it lies
//! among the right ones. Machines that are right disagree by milliseconds, and so does the median
//! from one to the next: it is not slewed, since nothing here measures short times by it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A time of day, in milliseconds since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub i64);

/// A machine that is silent for this long does not count: ten introductions of a coordinator.
const FRESH: Duration = Duration::from_secs(3);

/// A time of day as it was heard.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// What the boot-time clock lacks to that time of day, in milliseconds.
    ahead_ms: i64,
    heard: Instant,
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
    pub fn heard(&mut self, now: Instant, machine: S, wall: WallTime) {
        let reading = Reading {
            ahead_ms: wall.0 - now_ms(now),
            heard: now,
        };
        self.readings.insert(machine, reading);
    }

    /// The time of day; `None` before any was heard.
    pub fn now(&mut self, now: Instant) -> Option<WallTime> {
        self.readings
            .retain(|_, reading| now.since(reading.heard) <= FRESH);
        let mut ahead: Vec<i64> = self
            .readings
            .values()
            .map(|reading| reading.ahead_ms)
            .collect();
        ahead.sort_unstable();
        let middle = ahead.len().saturating_sub(1) / 2;
        let median = ahead.get(middle)?;
        Some(WallTime(now_ms(now) + median))
    }
}

fn now_ms(now: Instant) -> i64 {
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
