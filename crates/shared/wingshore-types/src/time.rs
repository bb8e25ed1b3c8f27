//! Time values for code that never reads a clock and receives the time as an argument.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Nanoseconds since an arbitrary origin. Instants of different processes are not comparable,
/// unless a message defines a common origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the instant `milliseconds` after the origin.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000_000)
    }

    /// Returns the time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }
}

/// Returns the exponential backoff after a failure that follows `failures` consecutive ones:
/// `initial`, doubled for each of them, and at most `max`.
pub fn doubled_backoff(initial: Duration, failures: u32, max: Duration) -> Duration {
    let factor = 1_u32.checked_shl(failures).unwrap_or(u32::MAX);
    initial.saturating_mul(factor).min(max)
}

impl Add<Duration> for Instant {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        let nanoseconds = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanoseconds))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;
    fn sub(self, duration: Duration) -> Self {
        let nanoseconds = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanoseconds))
    }
}
