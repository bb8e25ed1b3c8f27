//! Decision: which wall-clock time do the machines of a site agree on?
//!
//! A machine's wall clock may jump by seconds; its boot-time clock does not.
//!
//! - Inputs: wall-clock times of the coordinators, including the local one, in milliseconds since
//!   the Unix epoch, and the boot-time clock's time at which each was received.
//! - Rule: each reading is stored as its offset from this machine's boot-time clock, and the median
//!   of the offsets is used; of an even number of offsets, the lower one of the two in the middle.
//! - Reason: as long as the clocks of fewer than half of the machines are wrong, the median lies
//!   among the correct ones. Correct clocks differ by milliseconds, and so does the median from one
//!   reading to the next; it is not slewed, since nothing here measures short intervals with it.
//! - Old or missing inputs: readings older than [`MAX_READING_AGE`] are ignored; without any
//!   reading there is no time, and operations that need one wait.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A wall-clock time, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub i64);

/// Maximum age of a reading; ten times the interval of a coordinator's hello messages.
const MAX_READING_AGE: Duration = Duration::from_secs(3);

/// A reading of a machine's wall clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// Offset of the wall clock from the local boot-time clock, in milliseconds.
    offset_ms: i64,
    received_at: Instant,
}

/// The wall-clock time that the machines of a site agree on, as seen by one of them. `S` identifies
/// a machine.
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
    /// Records a reading of a machine's wall clock, received at `now`.
    pub fn record(&mut self, now: Instant, machine: S, wall: WallTime) {
        let reading = Reading {
            offset_ms: wall.0 - now_ms(now),
            received_at: now,
        };
        self.readings.insert(machine, reading);
    }

    /// Returns the agreed wall-clock time; `None` without a recent reading.
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
