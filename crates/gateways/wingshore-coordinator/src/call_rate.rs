//! Rate limit of calls to the provider. A decision without I/O.
//!
//! Question: may one more call be sent now? Inputs: the calls per second that the provider accepts
//! from the whole site, the time, and the calls that this process has made before. Rule: a leaky
//! bucket at half of that rate with a burst of half a second. A call beyond it counts as answered
//! "busy", so that its caller backs off. Why: only the lease holder calls the provider, so its
//! calls are those of the whole site, except for a moment after a change of the holder. No state is
//! handed over to a new holder: it starts with an empty bucket, and the unused half of the rate
//! covers the calls of the holder before.

use std::time::Duration;
use wingshore_types::Instant;

/// Fraction of the provider's rate that a lease holder uses; the previous holder may have used some
/// of the rate a moment ago.
const HOLDER_FRACTION: f64 = 0.5;
/// Largest burst after an idle time, as the time in which that many calls are made at the rate.
const MAX_BURST: Duration = Duration::from_millis(500);

/// Leaky bucket that keeps calls within a rate.
#[derive(Clone, Debug)]
pub struct CallRate {
    /// Time between two calls at the rate.
    call_interval: Duration,
    /// Until when the calls made so far use up the rate.
    used_until: Instant,
}

impl CallRate {
    /// Creates a limit from the calls per second that the provider accepts from the whole site.
    pub fn new(calls_per_second: f64) -> Self {
        let holder_rate = (calls_per_second * HOLDER_FRACTION).max(f64::MIN_POSITIVE);
        Self {
            call_interval: Duration::try_from_secs_f64(1.0 / holder_rate).unwrap_or(Duration::MAX),
            used_until: Instant::ZERO,
        }
    }

    /// Returns whether one more call is within the rate, and counts the call if it is.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if self.used_until > now + MAX_BURST {
            return false;
        }
        self.used_until = self.used_until.max(now) + self.call_interval;
        true
    }
}
