//! The clock of one simulated machine: it starts anywhere and runs a little fast or slow.

use wingshore_types::Instant;

/// A clock that shows the true time at this rate.
const TRUE_RATE: u64 = 1_000_000;

/// Maps the simulation's own time to what one machine's clock shows, and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalClock {
    /// What it shows when the simulation begins.
    offset: u64,
    /// Its speed, in millionths of the true one.
    rate: u64,
}

impl LocalClock {
    /// A clock that shows `offset` at the beginning and runs `drift_ppm` millionths fast.
    pub fn new(offset: Instant, drift_ppm: i64) -> Self {
        Self {
            offset: offset.0,
            rate: TRUE_RATE.saturating_add_signed(drift_ppm),
        }
    }

    /// What it shows at the simulation's time `global`.
    pub fn local(&self, global: Instant) -> Instant {
        let passed = u128::from(global.0) * u128::from(self.rate) / u128::from(TRUE_RATE);
        Instant(self.offset.saturating_add(clamp(passed)))
    }

    /// The first time of the simulation at which it shows `local` or more.
    pub fn global(&self, local: Instant) -> Instant {
        let passed = u128::from(local.0.saturating_sub(self.offset)) * u128::from(TRUE_RATE);
        Instant(clamp(passed.div_ceil(u128::from(self.rate))))
    }
}

fn clamp(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
