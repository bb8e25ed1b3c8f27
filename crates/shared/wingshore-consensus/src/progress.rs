//! Replication progress of a follower: what is sent next, and when in-flight data counts as lost.
//!
//! - Inputs: acknowledgements and rejections of appends, heartbeat replies, acknowledged bytes of a
//!   snapshot, and the limits on data in flight ([`Limits`]).
//! - Rule: a follower whose log is unknown is probed with one append at a time until one is
//!   accepted; from then on entries are streamed up to the limits. A follower is stalled if it
//!   answers heartbeats that were sent after the data in flight without acknowledging any progress,
//!   and the last of these replies arrives at least half a heartbeat interval after the first. The
//!   data in flight then counts as lost and is resent: a probe as it was, entries from the last
//!   acknowledged one, a snapshot from the last acknowledged byte.
//! - Reason: messages may be lost, duplicated and reordered, and every heartbeat is answered, so
//!   replies without progress indicate a loss. A reply to an earlier heartbeat says nothing about
//!   data that was sent after it. Replies that arrive at the same time count as one: a follower
//!   that was paused, or was waiting for its first write, sends them together.
//! - Stale inputs: an acknowledgement that is older than the known state changes nothing. A
//!   rejection from a log that is shorter than what was acknowledged is either stale, or the
//!   follower has lost its log. The follower is probed again, which is required in the second case
//!   and harmless in the first. While a snapshot is being sent every rejection is stale, since no
//!   append is sent meanwhile.

use crate::limits::Limits;
use crate::outgoing::{OutgoingSnapshot, SnapshotSending};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Heartbeat replies count separately if they are at least the heartbeat interval divided by this
/// apart: more than the distance of replies that were delayed together, and less than that of
/// replies to consecutive heartbeats.
const STALL_DIVISOR: u32 = 2;

/// ProgressState is the mode in which a follower is sent entries.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// Searching for the last common entry, one append at a time.
    Probe {
        /// Whether a probe is in flight.
        sent: bool,
    },
    /// Streaming entries, with a limit on the data in flight.
    Replicate(InFlight),
    /// Sending a snapshot.
    Snapshot(Box<OutgoingSnapshot>),
}

/// InFlight holds the unacknowledged appends: the last index and the size in bytes of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    messages: VecDeque<(LogIndex, usize)>,
    bytes: usize,
}

impl InFlight {
    fn add(&mut self, last_index: LogIndex, bytes: usize) {
        self.messages.push_back((last_index, bytes));
        self.bytes += bytes;
    }

    fn acknowledge(&mut self, match_index: LogIndex) {
        while let Some((last_index, bytes)) = self.messages.front().copied() {
            if last_index > match_index {
                return;
            }
            self.messages.pop_front();
            self.bytes -= bytes;
        }
    }

    fn is_full(&self, limits: &Limits) -> bool {
        self.messages.len() >= limits.in_flight_messages || self.bytes >= limits.in_flight_bytes
    }
}

/// Progress is the replication state of one follower.
///
/// Invariant: `match_index < next_index`.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last entry known to be durable on the follower and equal to the leader's.
    pub(crate) match_index: LogIndex,
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// The current mode.
    pub(crate) state: ProgressState,
    /// The latest heartbeat round that the follower has answered.
    pub(crate) acknowledged_round: u64,
    /// The heartbeat round in which an append or a chunk was last sent.
    sent_round: u64,
    /// Time of the first reply without progress to a heartbeat that was sent after `sent_round`.
    no_progress_since: Option<Instant>,
    /// Whether the follower was sent a snapshot and has not caught up since.
    is_catching_up_from_snapshot: bool,
}

impl Progress {
    /// Returns the progress of a follower whose log is unknown. The first append starts at
    /// `next_index`.
    pub(crate) fn new(next_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index,
            state: ProgressState::Probe { sent: false },
            acknowledged_round: 0,
            sent_round: 0,
            no_progress_since: None,
            is_catching_up_from_snapshot: false,
        }
    }

    /// Returns whether an append may be sent, if the log ends at `last_index`.
    pub(crate) fn may_send(&self, last_index: LogIndex, limits: &Limits) -> bool {
        match &self.state {
            ProgressState::Probe { sent } => !sent,
            ProgressState::Replicate(in_flight) => {
                self.next_index <= last_index && !in_flight.is_full(limits)
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Records that an append or a chunk was sent in heartbeat round `round`.
    pub(crate) fn on_sent_in_round(&mut self, round: u64) {
        self.sent_round = round;
        self.no_progress_since = None;
    }

    /// Records that an append that ends at `last_index` was sent.
    pub(crate) fn on_sent(&mut self, last_index: LogIndex, bytes: usize) {
        match &mut self.state {
            ProgressState::Probe { sent } => *sent = true,
            ProgressState::Replicate(in_flight) => {
                in_flight.add(last_index, bytes);
                self.next_index = LogIndex(last_index.0 + 1);
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Handles an acknowledgement of `match_index`. Returns whether it acknowledges more than
    /// before.
    pub(crate) fn on_accepted(&mut self, match_index: LogIndex) -> bool {
        let advanced = match_index > self.match_index;
        if advanced {
            self.match_index = match_index;
            self.no_progress_since = None;
        }
        let probed = LogIndex(self.next_index.0.saturating_sub(1));
        self.next_index = self.next_index.max(LogIndex(self.match_index.0 + 1));
        match &mut self.state {
            ProgressState::Probe { .. } if match_index >= probed => {
                self.state = ProgressState::Replicate(InFlight::default());
            }
            ProgressState::Probe { .. } => {}
            ProgressState::Replicate(in_flight) => in_flight.acknowledge(match_index),
            ProgressState::Snapshot(outgoing) if match_index >= outgoing.snapshot.index => {
                self.probe_from(LogIndex(self.match_index.0 + 1));
            }
            ProgressState::Snapshot(_) => {}
        }
        advanced
    }

    /// Handles the rejection of an append whose previous entry is `rejected`. `agreed` is the last
    /// index at which the logs may agree, and `last_index` is the follower's last index.
    pub(crate) fn on_rejected(
        &mut self,
        rejected: LogIndex,
        agreed: LogIndex,
        last_index: LogIndex,
    ) {
        let is_current = match &self.state {
            ProgressState::Probe { .. } => rejected.0 + 1 == self.next_index.0,
            ProgressState::Replicate(_) => rejected > self.match_index,
            ProgressState::Snapshot(_) => return,
        };
        if last_index < self.match_index {
            // Either the follower has lost entries that it had acknowledged, or the message is
            // stale. Resending is required in the first case and harmless in the second.
            self.match_index = LogIndex(0);
            self.probe_from(LogIndex(last_index.0 + 1));
            return;
        }
        if is_current {
            let next = LogIndex(agreed.0.min(rejected.0.saturating_sub(1)) + 1);
            self.probe_from(next.max(LogIndex(self.match_index.0 + 1)));
        }
    }

    /// Handles the start of a heartbeat round.
    pub(crate) fn on_heartbeat_round(&mut self) {
        if let ProgressState::Snapshot(outgoing) = &mut self.state {
            outgoing.on_heartbeat_round();
        }
    }

    /// Handles the reply to heartbeat `round` at `now`. Resends data that seems lost.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Instant,
        heartbeat_interval: Duration,
        round: u64,
        needs_log: bool,
    ) {
        self.acknowledged_round = self.acknowledged_round.max(round);
        let is_later = round > self.sent_round;
        let is_stalled = is_later && self.is_stalled(now, heartbeat_interval);
        let restart = match &mut self.state {
            ProgressState::Probe { sent } => {
                *sent &= !is_stalled;
                false
            }
            ProgressState::Replicate(_) => needs_log || is_stalled,
            ProgressState::Snapshot(outgoing) => {
                if is_stalled {
                    outgoing.resend();
                }
                false
            }
        };
        if restart {
            self.probe_from(LogIndex(self.match_index.0 + 1));
        }
    }

    /// Returns whether unacknowledged data is in flight.
    fn has_in_flight(&self) -> bool {
        match &self.state {
            ProgressState::Probe { sent } => *sent,
            ProgressState::Replicate(in_flight) => !in_flight.messages.is_empty(),
            ProgressState::Snapshot(_) => true,
        }
    }

    /// Records a reply without progress to a heartbeat that was sent after the data in flight.
    /// Returns whether the replies since the last progress or stall indicate a loss.
    fn is_stalled(&mut self, now: Instant, heartbeat_interval: Duration) -> bool {
        if !self.has_in_flight() {
            return false;
        }
        let since = *self.no_progress_since.get_or_insert(now);
        let is_stalled = now.since(since) >= heartbeat_interval / STALL_DIVISOR;
        if is_stalled {
            self.no_progress_since = None;
        }
        is_stalled
    }

    /// Handles an acknowledgement of `received` bytes of the snapshot at `index`.
    pub(crate) fn on_snapshot_received(&mut self, index: LogIndex, received: u64) {
        let ProgressState::Snapshot(outgoing) = &mut self.state else {
            return;
        };
        if outgoing.snapshot.index == index && outgoing.on_acknowledged(received) {
            self.no_progress_since = None;
        }
    }

    /// Returns the last entry that the follower has, or will have after the snapshot that it is
    /// being sent.
    pub(crate) fn match_or_snapshot_index(&self) -> LogIndex {
        match &self.state {
            ProgressState::Snapshot(outgoing) => outgoing.snapshot.index,
            _ => self.match_index,
        }
    }

    /// Returns whether the follower is being sent a snapshot, or has not caught up since.
    pub(crate) fn is_catching_up_from_snapshot(&self) -> bool {
        self.is_catching_up_from_snapshot
    }

    /// Records that the follower has caught up.
    pub(crate) fn on_caught_up(&mut self) {
        self.is_catching_up_from_snapshot = false;
    }

    /// Returns the progress of the snapshot that is being sent to this follower, whose id is `id`.
    pub(crate) fn snapshot_sending(&self, id: ReplicaId) -> Option<SnapshotSending> {
        match &self.state {
            ProgressState::Snapshot(outgoing) => Some(outgoing.sending_progress(id)),
            _ => None,
        }
    }

    /// Returns whether the follower is being sent a snapshot and has acknowledged progress in the
    /// last `rounds` heartbeat rounds.
    pub(crate) fn is_receiving_snapshot(&self, rounds: u32) -> bool {
        match &self.state {
            ProgressState::Snapshot(outgoing) => outgoing.is_progressing(rounds),
            _ => false,
        }
    }

    /// Starts sending a snapshot.
    pub(crate) fn send_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) {
        self.state = ProgressState::Snapshot(Box::new(OutgoingSnapshot::new(snapshot)));
        self.is_catching_up_from_snapshot = true;
    }

    /// Starts probing for the last common entry before `next_index`.
    fn probe_from(&mut self, next_index: LogIndex) {
        self.next_index = next_index;
        self.state = ProgressState::Probe { sent: false };
    }
}
