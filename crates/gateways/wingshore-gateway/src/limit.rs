//! Decision: how many scorings may this gateway have in flight at the servers of a service?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The load signal of each scoring that ends, and an upper bound derived from the
//! servers' slots.
//!
//! **Rule.** Additive increase, multiplicative decrease: while the limit is fully used, it grows by
//! one per as many answers in time as the limit allows; when a server refuses or is slow, it falls
//! to 0.6 of its value. It never falls below one.
//!
//! **Why.** Scorings above the limit wait in the gateway, where they do not delay live requests to
//! the same servers.
//!
//! **Missing inputs.** Without answers the limit does not change.

use std::time::Duration;
use wingshore_types::Instant;

/// The initial limit, in scorings.
const INITIAL_LIMIT: f64 = 6.0;
/// The lower bound of the limit, in scorings: at least one must run, since the limit adapts only
/// when scorings end.
const MIN_LIMIT: f64 = 1.0;
/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.6;
/// Overload signals within this time count once, because they report the same overload.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What the end of a scoring indicates about the load of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The answer came in time.
    InTime,
    /// The answer was late or missing, or servers refused the request.
    Overload,
    /// No indication.
    None,
}

/// The adaptive concurrency limit of scorings for one service.
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
    /// Whether one more scoring may start; `max` is an upper bound of the limit.
    pub fn allows(&self, max: usize) -> bool {
        self.in_flight < (self.limit as usize).min(max).max(1)
    }

    /// Records the start of a scoring.
    pub fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a scoring, and adapts the limit.
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
