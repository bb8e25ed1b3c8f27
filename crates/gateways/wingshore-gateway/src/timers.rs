//! Timers of a gateway.
//!
//! Owns the times only; the part that armed a timer checks whether anything is due.

use crate::ids::{CallId, ExchangeId};
use std::collections::BTreeSet;
use wingshore_coordination::AssignmentId;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// A client's connection.
    Client(ConnectionId),
    /// An exchange with a server.
    Exchange(ExchangeId),
    /// A running item.
    Item(AssignmentId),
    /// A call to the group.
    Call(CallId),
}

/// Timers in the order of their times. Timers are never cancelled: the owner of an obsolete one
/// checks whether anything is due.
#[derive(Default)]
pub(crate) struct Timers {
    queue: BTreeSet<(Instant, TimerKey)>,
}

impl Timers {
    /// Arms a timer that fires `key` at `at`.
    pub(crate) fn arm(&mut self, at: Instant, key: TimerKey) {
        self.queue.insert((at, key));
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes and returns a timer that is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<TimerKey> {
        let (at, _) = self.queue.first()?;
        if *at > now {
            return None;
        }
        self.queue.pop_first().map(|(_, key)| key)
    }
}
