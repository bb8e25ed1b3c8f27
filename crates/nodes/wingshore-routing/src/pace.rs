//! Rate limit for probes.

use wingshore_types::Instant;

/// Allowance units per probe: the allowance is in billionths of a probe.
const UNITS_PER_PROBE: u64 = 1_000_000_000;

/// Token bucket for probes. Unused allowance accumulates for at most one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeRateLimiter {
    /// Probes that may be sent now, in billionths of a probe.
    allowance: u64,
    updated_at: Option<Instant>,
}

impl ProbeRateLimiter {
    /// Adds the allowance for the time since the last call.
    pub(crate) fn refill(&mut self, now: Instant, per_second: u32) {
        let per_second = u64::from(per_second);
        let most = per_second * UNITS_PER_PROBE;
        let elapsed = self.updated_at.map_or(UNITS_PER_PROBE, |at| {
            now.since(at).as_nanos().min(u128::from(UNITS_PER_PROBE)) as u64
        });
        self.allowance = (self.allowance + elapsed * per_second).min(most);
        self.updated_at = Some(now);
    }

    /// Takes the allowance for `count` probes, or nothing if it does not suffice. A count above
    /// `per_second`, as a single server may need, is granted once the allowance of a whole second
    /// has accumulated.
    pub(crate) fn try_take(&mut self, count: usize, per_second: u32) -> bool {
        let wanted = (count as u64).min(u64::from(per_second)) * UNITS_PER_PROBE;
        let is_enough = self.allowance >= wanted;
        if is_enough {
            self.allowance -= wanted;
        }
        is_enough
    }
}
