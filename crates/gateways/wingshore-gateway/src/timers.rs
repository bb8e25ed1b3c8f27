//! What becomes due at some time.
//!
//! Owns the times; whether anything is due is known to the part that set one.

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
    /// A request on its way.
    Exchange(ExchangeId),
    /// An item that runs.
    Item(AssignmentId),
    /// A call to the group.
    Call(CallId),
}

/// Timers in the order of their times. One that has become superfluous fires all the same: its
/// owner checks whether anything is due.
#[derive(Default)]
pub(crate) struct Timers {
    queue: BTreeSet<(Instant, TimerKey)>,
}

impl Timers {
    /// Fires `key` at `at`.
    pub(crate) fn arm(&mut self, at: Instant, key: TimerKey) {
        self.queue.insert((at, key));
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Takes a timer that is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<TimerKey> {
        let (at, _) = self.queue.first()?;
        if *at > now {
            return None;
        }
        self.queue.pop_first().map(|(_, key)| key)
    }
}
