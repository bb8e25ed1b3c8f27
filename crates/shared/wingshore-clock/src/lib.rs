//! The clock of all processes. The time passed to state machines is read only here.
//!
//! A machine may be suspended for seconds. The monotonic clock of the standard library
//! (`CLOCK_MONOTONIC` on Linux) does not count that time, so a leader using it would keep trusting
//! a lease that has expired for all other members. The boot-time clock counts it and is monotonic
//! as well: it does not jump when the time of day is set. Timers that expire during a suspension
//! are due when it ends.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use wingshore_types::Instant;

/// Counts time spent in suspension, unlike `CLOCK_MONOTONIC` on these systems.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Counts time spent in suspension on these systems.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// A point in time on the machine's boot-time clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    ///
    /// # Panics
    /// If the system has no such clock. A process first reads the clock when it starts, and without
    /// a clock it could not evaluate any lease.
    pub fn now() -> Self {
        let time = clock_gettime(CLOCK);
        Self(time.map_or_else(
            // Panics instead of returning an error because a caller could only end the process:
            // callers evaluate leases and limits by this time, and a made-up time could let two
            // machines act at once.
            |error| panic!("cannot read the boot-time clock: {error}"),
            Duration::from,
        ))
    }

    /// Returns the time elapsed since this point.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Returns the machine's wall-clock time in milliseconds since the Unix epoch. It may jump, so it
/// serves only for times that are agreed on with other processes, never for timeouts.
pub fn wall_ms() -> i64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A time before 1970 is wrong in any case and counts as zero.
    since_epoch.map_or(0, |since_epoch| {
        i64::try_from(since_epoch.as_millis()).unwrap_or(i64::MAX)
    })
}

/// A clock that measures the time since its origin. All copies share the origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: BootTime,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: BootTime::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Converts `boot_time` to the time since the origin; times before the origin become the
    /// origin.
    pub fn at(&self, boot_time: BootTime) -> Instant {
        Instant::ZERO + boot_time.0.saturating_sub(self.origin.0)
    }

    /// Returns the time left until `deadline`; zero if it has passed.
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
