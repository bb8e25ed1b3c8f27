//! Heartbeat rounds, and the leader lease that they carry; the rule is in [`crate::timing`].

use crate::timing::Timing;
use std::collections::VecDeque;
use wingshore_types::Instant;

/// The heartbeat rounds of one leadership.
///
/// Invariant: each member of some quorum of voters heard from this leader at or after
/// `quorum_sent_at`, and so votes for no other until its election timeout has passed since.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRounds {
    current: u64,
    sent: VecDeque<(u64, Instant)>,
    quorum_sent_at: Instant,
    acknowledged: bool,
    released: bool,
}

impl HeartbeatRounds {
    /// Begins a leadership at `now`; there is no lease before a round is acknowledged.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: 0,
            sent: VecDeque::new(),
            quorum_sent_at: now,
            acknowledged: false,
            released: false,
        }
    }

    /// The latest round.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Begins a round that is sent at `now`.
    pub(crate) fn begin(&mut self, now: Instant) -> u64 {
        self.current += 1;
        self.sent.push_back((self.current, now));
        self.current
    }

    /// A quorum has acknowledged all rounds up to `round`.
    pub(crate) fn acknowledged_through(&mut self, round: u64) {
        while let Some((number, sent_at)) = self.sent.front().copied() {
            if number > round {
                return;
            }
            self.sent.pop_front();
            self.quorum_sent_at = sent_at;
            self.acknowledged = true;
        }
    }

    /// Gives the lease up for the rest of the term.
    pub(crate) fn release(&mut self) {
        self.released = true;
    }

    /// Whether the lease was given up.
    pub(crate) fn is_released(&self) -> bool {
        self.released
    }

    /// Sending time of the latest round that a quorum acknowledged.
    pub(crate) fn quorum_sent_at(&self) -> Instant {
        self.quorum_sent_at
    }

    /// The end of the lease, counted from when its round was sent.
    pub(crate) fn lease_until(&self, timing: &Timing) -> Option<Instant> {
        if self.released || !self.acknowledged {
            return None;
        }
        Some(self.quorum_sent_at + timing.safe_lease())
    }
}
