//! Heartbeat rounds and the leader lease that depends on them. The lease rule is in
//! [`crate::timing`].

use crate::timing::Timing;
use std::collections::VecDeque;
use wingshore_types::Instant;

/// HeartbeatRounds records the heartbeat rounds of one leader term.
///
/// Invariant: each member of some quorum of voters received a message from this leader at or after
/// `quorum_sent_at`, and votes for no other member until its election timeout has passed since
/// then.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRounds {
    current: u64,
    sent: VecDeque<(u64, Instant)>,
    quorum_sent_at: Instant,
    acknowledged: bool,
    released: bool,
}

impl HeartbeatRounds {
    /// Starts a leader term at `now`. There is no lease before a round is acknowledged.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: 0,
            sent: VecDeque::new(),
            quorum_sent_at: now,
            acknowledged: false,
            released: false,
        }
    }

    /// Returns the latest round.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Starts a round that is sent at `now`, and returns its number.
    pub(crate) fn begin(&mut self, now: Instant) -> u64 {
        self.current += 1;
        self.sent.push_back((self.current, now));
        self.current
    }

    /// Records that a quorum has acknowledged all rounds up to `round`.
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

    /// Releases the lease for the rest of the term.
    pub(crate) fn release(&mut self) {
        self.released = true;
    }

    /// Returns whether the lease was released.
    pub(crate) fn is_released(&self) -> bool {
        self.released
    }

    /// Returns when the latest round that a quorum has acknowledged was sent.
    pub(crate) fn quorum_sent_at(&self) -> Instant {
        self.quorum_sent_at
    }

    /// Returns the end of the lease, which starts when the acknowledged round was sent.
    pub(crate) fn lease_until(&self, timing: &Timing) -> Option<Instant> {
        if self.released || !self.acknowledged {
            return None;
        }
        Some(self.quorum_sent_at + timing.safe_lease())
    }
}
