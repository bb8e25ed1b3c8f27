//! Decision: has a server nothing in flight any more?
//!
//! Inputs: its own reports of requests in flight, each with the time it is as of; `idle_for`.
//!
//! Rule: it is idle once every report over `idle_for`, all of them from after its drain was in
//! force, shows nothing in flight. A request may still be on its way at the first of them.
//!
//! Missing input: without reports it is never idle; the plan that waits for it stops after
//! `unreachable_after`.

use std::time::Duration;
use wingshore_types::Instant;

/// Follows one server from the moment on when it can get no new work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleWatch {
    /// Earlier observations say nothing.
    from: Instant,
    /// The first of the idle observations in a row.
    idle_since: Option<Instant>,
    newest: Instant,
}

impl IdleWatch {
    /// A watch that begins at `from`.
    pub(crate) fn new(from: Instant) -> Self {
        Self {
            from,
            idle_since: None,
            newest: from,
        }
    }

    /// Takes in what the server said of itself as of `observed_at`.
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

    /// Whether it was idle at every observation over `long`: a request may have been on its way
    /// at the first one.
    pub(crate) fn is_idle_for(&self, long: Duration) -> bool {
        self.idle_since
            .is_some_and(|since| self.newest.since(since) >= long && since >= self.from)
    }
}
