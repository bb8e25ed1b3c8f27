//! Decision: does a server have no requests in flight any more?
//!
//! Inputs: its own reports of requests in flight, each with the time of the measurement;
//! `idle_for`.
//!
//! Rule: a server is idle once every report over `idle_for` shows no requests in flight, and all of
//! these reports were measured after its drain was in force. One report is not enough, since a
//! request may still be on its way to the server when it is made.
//!
//! Missing input: without reports a server is never idle; the plan that waits for it stops after
//! `unreachable_after`.

use std::time::Duration;
use wingshore_types::Instant;

/// Tracks whether one server is idle, from the time at which it can get no new work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleWatch {
    /// Start of the watch; observations made earlier do not count.
    from: Instant,
    /// Time of the first of the consecutive idle observations.
    idle_since: Option<Instant>,
    newest: Instant,
}

impl IdleWatch {
    /// Creates a watch that starts at `from`.
    pub(crate) fn new(from: Instant) -> Self {
        Self {
            from,
            idle_since: None,
            newest: from,
        }
    }

    /// Records whether the server reported itself idle at `observed_at`.
    pub(crate) fn observe(&mut self, observed_at: Instant, is_idle: bool) {
        if observed_at < self.newest {
            return;
        }
        self.newest = observed_at;
        self.idle_since = match (is_idle, self.idle_since) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(observed_at),
        };
    }

    /// Returns whether it was idle at every observation over `duration`: a request may have been on
    /// its way to the server at the first one.
    pub(crate) fn is_idle_for(&self, duration: Duration) -> bool {
        self.idle_since
            .is_some_and(|since| self.newest.since(since) >= duration && since >= self.from)
    }
}
