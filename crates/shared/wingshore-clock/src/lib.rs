//! The clock of all processes, the only place where the time that state machines are handed is
//! read.
//!
//! A machine may be suspended for seconds. Its steady clock (`CLOCK_MONOTONIC`, the standard
//! library's) does not count that time, so that a leader by it would go on to trust a lease that
//! has run out for everybody else. The boot-time clock counts it, and is as steady otherwise: it
//! never jumps when the time of day is set. What was armed before a suspension is due after it.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use wingshore_types::Instant;

/// Counts suspensions. Other systems' steady clock does so by itself.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// The steady clock, which counts suspensions here.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// A moment by the machine's boot-time clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// This moment.
    ///
    /// # Panics
    /// When the system has no such clock. The first reading is at a process's start, and without a
    /// clock it could not judge any lease.
    pub fn now() -> Self {
        let time = clock_gettime(CLOCK);
        Self(time.map_or_else(
            // A typed error could only be answered by ending the process: whoever asks for the time goes
            // on to judge a lease or a limit by it, and a made-up time would let two machines act.
            |error| panic!("no boot-time clock: {error}"),
            Duration::from,
        ))
    }

    /// The time since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// The machine's time of day, in milliseconds since the start of 1970. It may jump: only what is
/// agreed on with others goes by it, and no wait does.
pub fn wall_ms() -> i64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // Before 1970 the machine's time is wrong in any case.
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}

/// The time since an origin; all copies share one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: BootTime,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: BootTime::now(),
        }
    }

    /// The time since the origin.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// The time at `moment`; the origin for moments before it.
    pub fn at(&self, moment: BootTime) -> Instant {
        Instant::ZERO + moment.0.saturating_sub(self.origin.0)
    }

    /// Time left until `deadline`; zero when it has passed.
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
