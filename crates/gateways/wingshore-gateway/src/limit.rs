//! Decision: how many scorings may this gateway have at a service's servers at once?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** What each end of a scoring says about the load of the servers, and an upper bound from
//! their slots.
//!
//! **Rule.** The limit grows by one in so many answers in time as it allows, while it is used, and
//! falls to 0.6 of itself when a server refuses or is slow (additive increase, multiplicative
//! decrease). It never falls below one.
//!
//! **Why.** What is above the limit waits here, where live requests to the same servers do not stand
//! behind it.
//!
//! **Old or missing inputs.** Without answers the limit stays as it is.

use std::time::Duration;
use wingshore_types::Instant;

/// The limit before anything is known, in scorings.
const INITIAL_LIMIT: f64 = 6.0;
/// The limit never falls below this, in scorings: each end of one says how the servers do.
const MIN_LIMIT: f64 = 1.0;
/// What is left of the limit when it falls.
const DECREASE_FACTOR: f64 = 0.6;
/// Signals of overload within this time count once: they are of the same moment.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What an answer says about its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
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
            limit: INITIAL_LIMIT,
            in_flight: 0,
            decreased_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether one more may begin; `max` bounds the limit from above.
    pub fn allows(&self, max: usize) -> bool {
        self.in_flight < (self.limit as usize).min(max).max(1)
    }

    /// One has begun.
    pub fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// One is over.
    pub fn release(&mut self, now: Instant, signal: LoadSignal) {
        let was_full = self.in_flight >= self.limit as usize;
        self.in_flight = self.in_flight.saturating_sub(1);
        match signal {
            LoadSignal::InTime if was_full => self.limit += 1.0 / self.limit,
            LoadSignal::Overload => self.decrease(now),
            LoadSignal::InTime | LoadSignal::None => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let decreased = self.decreased_at;
        if decreased.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
