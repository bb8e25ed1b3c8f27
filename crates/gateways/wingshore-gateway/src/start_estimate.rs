//! Decision: when is a request retried that came before the gateway had a configuration?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** When the gateway first reached a coordinator, or else first refused a request;
//! whether a coordinator that it reaches knows a leader; the number of requests that were refused
//! for this reason before.
//!
//! **Rule.** Without a leader, the group is expected to have one, and the gateway its configuration,
//! 0.9 s after the first coordinator was reached. Retry-After is the time left until then; once a
//! leader is known, or that time has passed, it is a short constant. Returning requests are spread
//! over a further 0.2 s, evenly for those of one gateway.
//!
//! **Why.** Load: all machines of a site restart together and every client asks at once. Clients
//! retry only once or a few times; a Retry-After that ends before an election can have ended uses
//! these up for nothing, and one for all lets them return at the same moment. A gateway that
//! restarts alone has its configuration within milliseconds of the first link.
//!
//! **Missing inputs.** Without a quorum the estimate is wrong; the constant applies after it.

use std::time::Duration;
use wingshore_types::Instant;

/// Expected time from the first link to a coordinator until the view arrives: an election timeout
/// with half of its spread, the start of the slower coordinators, and the transfer of the view.
const EXPECTED_START_TIME: Duration = Duration::from_millis(900);
/// Retry-After once a leader is known or the expected time has passed.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Time over which returning requests are spread: about six times the work time of a live request,
/// so that they do not queue at the servers.
const RETURN_SPREAD: Duration = Duration::from_millis(200);
/// Upper bound of the first place's number; beyond it, fractions of its multiples lose precision.
const MAX_SEED: u64 = 1_000_003;
/// Step between the places of consecutive requests in the spread, as a fraction of it: multiples of
/// the golden ratio divide an interval evenly, however many there are.
const PLACE_STEP: f64 = 0.618_033_988_749_895;

/// Estimates when a gateway that has just started can serve.
#[derive(Clone, Debug, Default)]
pub struct StartEstimate {
    /// When the first coordinator was reached, or else the first request was refused.
    began_at: Option<Instant>,
    /// Number of refused requests, from a number on that differs between gateways.
    refused: u64,
}

impl StartEstimate {
    /// Creates an estimate; `seed` must differ between gateways, so that requests refused by
    /// several of them return apart.
    pub fn new(seed: u64) -> Self {
        Self {
            began_at: None,
            refused: seed % MAX_SEED,
        }
    }

    /// Records that a coordinator was reached; only the first time counts.
    pub fn coordinator_reached(&mut self, now: Instant) {
        self.began_at.get_or_insert(now);
    }

    /// Returns when the next refused request is to be retried, and counts it.
    pub fn retry_after(&mut self, now: Instant, leader_known: bool) -> Duration {
        let began_at = *self.began_at.get_or_insert(now);
        let expected = began_at + EXPECTED_START_TIME;
        let left = if leader_known {
            SHORT_RETRY_AFTER
        } else {
            expected.since(now).max(SHORT_RETRY_AFTER)
        };
        let place = (self.refused as f64 * PLACE_STEP).fract();
        self.refused += 1;
        left + RETURN_SPREAD.mul_f64(place)
    }
}
