//! A bound on how many probes are sent in a second.

use wingshore_types::Instant;

/// Billionths of a probe in a probe.
const UNITS_PER_PROBE: u64 = 1_000_000_000;

/// Probes that may be sent now. What is not used is saved up for one second at most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeRateLimiter {
    /// In billionths of a probe.
    allowance: u64,
    updated_at: Option<Instant>,
}

impl ProbeRateLimiter {
    /// Gains what `per_second` allows since the last time.
    pub(crate) fn refill(&mut self, now: Instant, per_second: u32) {
        let per_second = u64::from(per_second);
        let most = per_second * UNITS_PER_PROBE;
        let elapsed = self.updated_at.map_or(UNITS_PER_PROBE, |at| {
            now.since(at).as_nanos().min(u128::from(UNITS_PER_PROBE)) as u64
        });
        self.allowance = (self.allowance + elapsed * per_second).min(most);
        self.updated_at = Some(now);
    }

    /// Takes `count` probes; takes none when that are too many. More than a second's allow, as a
    /// single server may need, are taken once the whole second is saved up.
    pub(crate) fn try_take(&mut self, count: usize, per_second: u32) -> bool {
        let wanted = (count as u64).min(u64::from(per_second)) * UNITS_PER_PROBE;
        let is_enough = self.allowance >= wanted;
        if is_enough {
            self.allowance -= wanted;
        }
        is_enough
    }
}
