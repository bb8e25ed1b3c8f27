//! Decision: when is a request retried that came before the gateway had a configuration?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** When the gateway started, when it first reached a coordinator, and the number of
//! requests that were refused for this reason before.
//!
//! **Rule.** The group is expected to have a leader, and the gateway its configuration, 0.9 s after
//! the first coordinator was reached; as long as none was reached, 0.9 s from now. Retry-After is
//! the time left until then, and after that time a short constant. Returning requests are spread
//! over a further 0.2 s, in the order of their refusals as far as that divides the time evenly.
//!
//! **Why.** Load: all machines of a site restart together and every client asks at once. Clients
//! retry only once or a few times; a Retry-After that ends before an election can have ended uses
//! these up for nothing, and one for all lets them return at the same moment.
//!
//! **Missing inputs.** Without a quorum the estimate is wrong; the constant applies then.

use std::time::Duration;
use wingshore_types::Instant;

/// Expected time from the first link to a coordinator until the view arrives: an election timeout
/// with half of its spread, the start of the slower coordinators, and the transfer of the view.
const EXPECTED_START_TIME: Duration = Duration::from_millis(900);
/// Retry-After once the expected time has passed.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Time over which returning requests are spread: about six times the work time of a live request,
/// so that they do not queue at the servers.
const RETURN_SPREAD: Duration = Duration::from_millis(200);
/// Step between the places of consecutive requests in the spread, as a fraction of it: multiples of
/// the golden ratio divide an interval evenly, however many there are.
const PLACE_STEP: f64 = 0.618_033_988_749_895;

/// Estimates when a gateway that has just started can serve.
#[derive(Clone, Debug, Default)]
pub struct StartEstimate {
    reached_at: Option<Instant>,
    refused: u64,
}

impl StartEstimate {
    /// Records that a coordinator was reached; only the first time counts.
    pub fn coordinator_reached(&mut self, now: Instant) {
        self.reached_at.get_or_insert(now);
    }

    /// Returns when the next refused request is to be retried, and counts it.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        let expected = self.reached_at.unwrap_or(now) + EXPECTED_START_TIME;
        let left = expected.since(now).max(OVERDUE_RETRY_AFTER);
        let place = (self.refused as f64 * PLACE_STEP).fract();
        self.refused += 1;
        left + RETURN_SPREAD.mul_f64(place)
    }
}
