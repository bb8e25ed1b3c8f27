//! What is sent to a follower next, and when does something under way count as lost?
//!
//! - Inputs: acknowledgements and rejections of appends, answers to heartbeats, acknowledged bytes of a
//!   snapshot; the limits of what may be under way ([`Limits`]).
//! - Rule: a follower whose log is not known is probed with one append at a time until one is accepted;
//!   from then on entries are streamed up to the limits. A follower that answers heartbeats which were
//!   sent after what is under way, without any progress, the last of them half a heartbeat interval or
//!   more after the first, is stalled: what is under way counts as lost and is sent again, a probe as it
//!   was, entries from the last acknowledged one, a snapshot from its last acknowledged byte.
//! - Why: messages may be lost, repeated and overtaken, and each heartbeat is answered, so that answers
//!   without progress are the sign of a loss. An answer to an earlier heartbeat says nothing of what was
//!   sent after it, and answers that come at once are one answer: a follower that
//!   stood still, or waited for its first write, gives them together.
//! - Old or missing inputs: an acknowledgement that is older than what is known changes nothing. A
//!   rejection from a log that is shorter than what was acknowledged is old, or the follower has lost its
//!   log: it is probed anew, which is right in the second case and harmless in the first. While a snapshot
//!   is under way each rejection is old, since no append is sent then.

use crate::limits::Limits;
use crate::outgoing::{OutgoingSnapshot, SnapshotSending};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// The heartbeat interval divided by this lies at least between two replies that count as two: more than
/// between those that waited together, less than between those to heartbeats that were sent in turn.
const STALL_DIVISOR: u32 = 2;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// Searching for the last entry in common, one message at a time.
    Probe {
        /// A probe is under way.
        sent: bool,
    },
    /// Streaming, with a limit on what is under way.
    Replicate(InFlight),
    /// Sending a snapshot.
    Snapshot(Box<OutgoingSnapshot>),
}

/// Appends sent and not yet acknowledged: the last index and the bytes of each.
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

/// One follower.
///
/// Invariant: `match_index < next_index`.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last entry known to be durable there and equal to the leader's.
    pub(crate) match_index: LogIndex,
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// How entries are sent to it.
    pub(crate) state: ProgressState,
    /// The last heartbeat round it answered.
    pub(crate) acknowledged_round: u64,
    /// The heartbeat round in which something was last sent.
    sent_round: u64,
    /// The first reply without progress to a heartbeat that was sent after that.
    no_progress_since: Option<Instant>,
    /// It was sent a state, and has not caught up since.
    is_catching_up_from_snapshot: bool,
}

impl Progress {
    /// A follower of unknown log; the first append goes from `next_index`.
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

    /// Whether an append may be sent when the log ends at `last_index`.
    pub(crate) fn may_send(&self, last_index: LogIndex, limits: &Limits) -> bool {
        match &self.state {
            ProgressState::Probe { sent } => !sent,
            ProgressState::Replicate(in_flight) => {
                self.next_index <= last_index && !in_flight.is_full(limits)
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Something was sent in heartbeat round `round`.
    pub(crate) fn on_sent_in_round(&mut self, round: u64) {
        self.sent_round = round;
        self.no_progress_since = None;
    }

    /// An append that ends at `last_index` was sent.
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

    /// The follower acknowledged `match_index`; `true` when that is more than before.
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

    /// The follower rejected an append after `rejected`; `agreed` is the last index at which the
    /// logs may agree, and `last_index` the follower's last.
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
            // The follower lost what it had acknowledged, or the message is old. Sending again
            // is right in the first case and harmless in the second.
            self.match_index = LogIndex(0);
            self.probe_from(LogIndex(last_index.0 + 1));
            return;
        }
        if is_current {
            let next = LogIndex(agreed.0.min(rejected.0.saturating_sub(1)) + 1);
            self.probe_from(next.max(LogIndex(self.match_index.0 + 1)));
        }
    }

    /// A heartbeat round begins.
    pub(crate) fn on_heartbeat_round(&mut self) {
        if let ProgressState::Snapshot(outgoing) = &mut self.state {
            outgoing.on_heartbeat_round();
        }
    }

    /// The follower answered heartbeat `round` at `now`; what seems lost is sent again.
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

    /// Whether something is under way that is not acknowledged.
    fn has_in_flight(&self) -> bool {
        match &self.state {
            ProgressState::Probe { sent } => *sent,
            ProgressState::Replicate(in_flight) => !in_flight.messages.is_empty(),
            ProgressState::Snapshot(_) => true,
        }
    }

    /// Notes a reply without progress to a heartbeat that was sent after what is under way; `true`
    /// where the ones since the last progress, or since the last stall, tell of a loss.
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

    /// The follower has `received` bytes of the snapshot at `index`.
    pub(crate) fn on_snapshot_received(&mut self, index: LogIndex, received: u64) {
        let ProgressState::Snapshot(outgoing) = &mut self.state else {
            return;
        };
        if outgoing.snapshot.index == index && outgoing.on_acknowledged(received) {
            self.no_progress_since = None;
        }
    }

    /// The last entry that it has, or will have once it has the snapshot that is being sent to it.
    pub(crate) fn match_or_snapshot_index(&self) -> LogIndex {
        match &self.state {
            ProgressState::Snapshot(outgoing) => outgoing.snapshot.index,
            _ => self.match_index,
        }
    }

    /// Whether it is being sent a snapshot, or has not caught up since it was.
    pub(crate) fn is_catching_up_from_snapshot(&self) -> bool {
        self.is_catching_up_from_snapshot
    }

    /// It has caught up.
    pub(crate) fn on_caught_up(&mut self) {
        self.is_catching_up_from_snapshot = false;
    }

    /// How far the sending of a snapshot to it, which is `id`, is.
    pub(crate) fn snapshot_sending(&self, id: ReplicaId) -> Option<SnapshotSending> {
        match &self.state {
            ProgressState::Snapshot(outgoing) => Some(outgoing.report(id)),
            _ => None,
        }
    }

    /// Whether a snapshot is on its way to it, of which it has acknowledged something in the last
    /// `rounds` heartbeat rounds.
    pub(crate) fn is_receiving_snapshot(&self, rounds: u32) -> bool {
        match &self.state {
            ProgressState::Snapshot(outgoing) => outgoing.is_progressing(rounds),
            _ => false,
        }
    }

    /// Starts to send a snapshot.
    pub(crate) fn send_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) {
        self.state = ProgressState::Snapshot(Box::new(OutgoingSnapshot::new(snapshot)));
        self.is_catching_up_from_snapshot = true;
    }

    /// Searches for the last entry in common from before `next_index`.
    fn probe_from(&mut self, next_index: LogIndex) {
        self.next_index = next_index;
        self.state = ProgressState::Probe { sent: false };
    }
}
