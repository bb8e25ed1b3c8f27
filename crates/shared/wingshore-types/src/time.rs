//! Time as the decision crates see it: handed in, never read from a clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Nanoseconds since an arbitrary origin of one process; never compared across processes
/// unless a message defines it so.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// An instant `milliseconds` after the origin.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000_000)
    }

    /// Time since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }
}

/// The backoff after a failure: `initial`, twice as long after each of the `failures` in a row before
/// it, and at most `max`.
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
