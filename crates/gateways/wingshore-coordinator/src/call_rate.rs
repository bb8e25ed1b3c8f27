//! The rate of calls to the provider. A decision without I/O.
//!
//! Question: may one more call leave now? Inputs: the calls a second that the provider takes from
//! the whole site, the time, and the calls made here before. Rule: a leaky bucket at half of that
//! rate with a burst of half a second; a call that exceeds it counts as answered "busy", so that
//! whoever makes it backs off. Why: only the holder of orders calls the provider, so that what it
//! sends is what the whole site sends, but for a moment after a change of holders. Nothing is
//! carried over to a new holder: it begins with an empty bucket, and the half that is not used
//! covers that.

use std::time::Duration;
use wingshore_types::Instant;

/// Part of the rate that one holder uses: the one before may have used some of it a moment ago.
const OWN_PART: f64 = 0.5;
/// Calls that may leave at once after a time without calls, as time at that rate.
const BURST: Duration = Duration::from_millis(500);

/// Keeps calls within a rate.
#[derive(Clone, Debug)]
pub struct CallRate {
    /// Time of the rate that one call uses up.
    price: Duration,
    /// Until when the calls made so far have used it up.
    paid_until: Instant,
}

impl CallRate {
    /// From the calls a second that the provider takes from the whole site.
    pub fn new(calls_per_second: f64) -> Self {
        let own = (calls_per_second * OWN_PART).max(f64::MIN_POSITIVE);
        Self {
            price: Duration::try_from_secs_f64(1.0 / own).unwrap_or(Duration::MAX),
            paid_until: Instant::ZERO,
        }
    }

    /// Whether one more call keeps within the rate; counts it if so.
    pub fn takes(&mut self, now: Instant) -> bool {
        if self.paid_until > now + BURST {
            return false;
        }
        self.paid_until = self.paid_until.max(now) + self.price;
        true
    }
}
