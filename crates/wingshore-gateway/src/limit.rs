//! How many scorings this gateway has at a service's servers at once.
//!
//! The limit adapts to what the servers take: it grows while all answers are in time, and falls
//! when a server refuses or is slow (additive increase, multiplicative decrease). What is above it
//! waits here, where live requests to the same servers do not stand behind it.

use std::time::Duration;
use wingshore_types::Instant;

/// The limit before anything is known.
const FIRST_LIMIT: f64 = 6.0;
/// The limit never falls below this.
const LOWEST_LIMIT: f64 = 1.0;
/// By what the limit falls.
const DECREASE: f64 = 0.6;
/// Signs of overload that come together count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What an answer says about its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It came in time.
    InTime,
    /// It came late, or not at all, or the servers refused.
    Overload,
    /// Nothing.
    None,
}

/// The adaptive limit of one service.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: usize,
    decreased_at: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            in_flight: 0,
            decreased_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether one more may begin; `most` bounds the limit from above.
    pub fn allows(&self, most: usize) -> bool {
        self.in_flight < (self.limit as usize).min(most).max(1)
    }

    /// One has begun.
    pub fn begun(&mut self) {
        self.in_flight += 1;
    }

    /// One is over.
    pub fn ended(&mut self, now: Instant, sign: Sign) {
        let was_full = self.in_flight >= self.limit as usize;
        self.in_flight = self.in_flight.saturating_sub(1);
        match sign {
            Sign::InTime if was_full => self.limit += 1.0 / self.limit,
            Sign::Overload => self.decrease(now),
            Sign::InTime | Sign::None => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let decreased = self.decreased_at;
        if decreased.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(LOWEST_LIMIT);
    }
}
