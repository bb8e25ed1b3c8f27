//! Sending of a snapshot by the leader.
//!
//! Chunks are sent in order, up to a window of unacknowledged bytes, and each chunk is answered
//! with the number of bytes that the follower has received without a gap. If less than two windows
//! are acknowledged in a heartbeat round, the round-trip time is long, and the window grows, since
//! the throughput would otherwise be one window per round trip. The window shrinks to its base size
//! after a loss. One step sends a window of the base size at most: all messages of a step are encoded
//! before the first one is sent, and a grown window would be in memory once more.
//!
//! An answer without progress has one of three causes: a chunk that overtook another one, a chunk
//! behind a gap, in which case the leader resends from the first byte that the follower lacks, or a
//! duplicated chunk. Three rules limit the cost of resending:
//! - The leader resends once all chunks behind the first unacknowledged one were answered without
//!   progress. Fewer such answers also follow when the messages to a member change from one
//!   connection to another and overtake each other.
//! - After a rewind, as many answers without progress as chunks are in flight or resent cause no
//!   further rewind. A rewind for each of them would send every window twice up to the end of the
//!   snapshot. A gap behind those answers is detected by [`ChunkAnswers`].
//! - Sent chunks are kept until they are acknowledged, since reading a chunk again requires reading
//!   everything before it.

use crate::chunk_answers::ChunkAnswers;
use crate::message::SnapshotChunk;
use std::collections::VecDeque;
use std::sync::Arc;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_data::PartReader;
use wingshore_types::{LogIndex, ReplicaId};

/// SnapshotSending is the progress of sending a snapshot to one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSending {
    /// The member.
    pub to: ReplicaId,
    /// Index of the last entry that the snapshot contains.
    pub index: LogIndex,
    /// Total size of the snapshot, in bytes.
    pub total: u64,
    /// Number of bytes that the member has received without a gap.
    pub received: u64,
    /// Number of bytes sent, including resent bytes.
    pub sent: u64,
    /// Number of bytes resent.
    pub sent_again: u64,
}

/// Maximum size of the window, in multiples of the base window.
const MAX_WINDOW_FACTOR: u64 = 4;
/// The window does not grow if this many base windows are acknowledged in a heartbeat round.
const FULL_PACE_WINDOWS_PER_ROUND: u64 = 2;
/// Maximum number of stalls between two probes of a follower that has received all bytes.
const MAX_STALLS_BETWEEN_PROBES: u32 = 7;

/// A sent chunk that is not acknowledged.
#[derive(Debug)]
struct UnacknowledgedChunk {
    offset: u64,
    data: Vec<u8>,
}

impl UnacknowledgedChunk {
    fn end(&self) -> u64 {
        self.offset + self.data.len() as u64
    }
}

/// Schedule for probing whether a follower that has received the whole snapshot still has it: at
/// the first stall, and then after twice as many stalls each time.
#[derive(Debug, Default)]
struct DurabilityProbe {
    stalls: u32,
    next_stall: u32,
    is_due: bool,
}

impl DurabilityProbe {
    fn on_stall(&mut self) {
        self.stalls += 1;
        if self.stalls > self.next_stall {
            self.next_stall = self.stalls + self.stalls.min(MAX_STALLS_BETWEEN_PROBES);
            self.is_due = true;
        }
    }

    fn take(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }
}

/// OutgoingSnapshot is a snapshot that is being sent to one follower in chunks.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    /// The snapshot.
    pub(crate) snapshot: Arc<StoredSnapshot>,
    /// Offset of the next chunk.
    next_offset: u64,
    /// Number of bytes that the follower has received without a gap.
    received: u64,
    /// Number of bytes in the follower's most recent acknowledgement: fewer than `received` if a
    /// later acknowledgement overtook it, or if the follower has restarted.
    last_acknowledged: u64,
    /// Whether the most recent acknowledgement at a stall covered fewer bytes than `received`.
    /// Reset once `received` increases.
    is_restart_suspected: bool,
    /// Size of the window without growth, in bytes.
    base_window: u64,
    /// Size of the window, in multiples of the base window.
    window_factor: u64,
    /// Value of `received` at the start of the last heartbeat round.
    received_before_round: u64,
    /// Number of consecutive heartbeat rounds in which nothing was acknowledged.
    rounds_without_progress: u32,
    /// Number of answers without progress that are still expected after the last rewind.
    expected_duplicates: usize,
    /// Detects gaps once all sent chunks are answered.
    answers: ChunkAnswers,
    /// Value of `next_offset` at the last rewind. Once the follower has received more, no duplicate
    /// is expected any more.
    rewound_from: u64,
    /// Reader of the snapshot's bytes.
    parts: PartReader,
    /// Whether reading the next chunk failed.
    read_failed: bool,
    /// Probes a follower that has received all bytes but does not report the snapshot as durable.
    probe: DurabilityProbe,
    /// Chunks that the follower has not acknowledged, in order and without gaps.
    unacknowledged_chunks: VecDeque<UnacknowledgedChunk>,
    /// Number of bytes sent, and how many of them were resent.
    sent: u64,
    sent_again: u64,
    /// Offset up to which bytes were sent at least once.
    sent_through: u64,
}

impl OutgoingSnapshot {
    pub(crate) fn new(snapshot: Arc<StoredSnapshot>) -> Self {
        let parts = PartReader::new(snapshot.data.clone());
        Self {
            snapshot,
            next_offset: 0,
            received: 0,
            last_acknowledged: 0,
            is_restart_suspected: false,
            base_window: 0,
            window_factor: 1,
            received_before_round: 0,
            rounds_without_progress: 0,
            expected_duplicates: 0,
            answers: ChunkAnswers::default(),
            rewound_from: 0,
            parts,
            read_failed: false,
            probe: DurabilityProbe::default(),
            unacknowledged_chunks: VecDeque::new(),
            sent: 0,
            sent_again: 0,
            sent_through: 0,
        }
    }

    /// Returns the chunks to send now, of at most `length` bytes each. At most `base_window` bytes,
    /// or a multiple of it on paths with a long round-trip time, are in flight. At most `base_window`
    /// bytes are returned, apart from a probe.
    pub(crate) fn next_chunks(&mut self, length: usize, base_window: u64) -> Vec<SnapshotChunk> {
        self.base_window = base_window;
        let mut chunks = Vec::new();
        if let Some(first) = self.take_probe(length) {
            chunks.push(self.chunk(0, first));
        }
        let total = self.snapshot.data.length();
        let window = base_window.saturating_mul(self.window_factor);
        let limit = total.min(self.received.saturating_add(window));
        let limit = limit.min(self.next_offset.saturating_add(base_window));
        while self.next_offset < limit {
            let offset = self.next_offset;
            let data = self.next_part(length);
            if data.is_empty() {
                break;
            }
            chunks.push(self.chunk(offset, data));
            self.answers.on_sent();
        }
        chunks
    }

    fn chunk(&self, offset: u64, data: Vec<u8>) -> SnapshotChunk {
        SnapshotChunk {
            index: self.snapshot.index,
            term: self.snapshot.term,
            total: self.snapshot.data.length(),
            offset,
            data,
        }
    }

    /// Returns at most `length` bytes from `next_offset`. Returns no bytes if they cannot be read;
    /// the snapshot's state logs the reason, and the chunk is retried after the next stall.
    fn next_part(&mut self, length: usize) -> Vec<u8> {
        let offset = self.next_offset;
        let unacknowledged_chunks = self
            .unacknowledged_chunks
            .iter()
            .find(|chunk| chunk.offset == offset);
        let part = match unacknowledged_chunks {
            Some(chunk) => chunk.data.clone(),
            None => self.read_part(offset, length),
        };
        self.count_sent(offset, part.len() as u64);
        self.next_offset = offset + part.len() as u64;
        part
    }

    fn read_part(&mut self, offset: u64, length: usize) -> Vec<u8> {
        if self.read_failed {
            return Vec::new();
        }
        let data = self.parts.read_part(offset, length).unwrap_or_default();
        self.read_failed = data.is_empty();
        let follows = self
            .unacknowledged_chunks
            .back()
            .is_none_or(|last| last.end() == offset);
        if !follows {
            self.unacknowledged_chunks.clear();
        }
        if !data.is_empty() {
            let data = data.clone();
            self.unacknowledged_chunks
                .push_back(UnacknowledgedChunk { offset, data });
        }
        data
    }

    fn count_sent(&mut self, offset: u64, bytes: u64) {
        let end = offset + bytes;
        self.sent += bytes;
        self.sent_again += end.min(self.sent_through).saturating_sub(offset);
        self.sent_through = self.sent_through.max(end);
    }

    /// Resends the unacknowledged bytes to a stalled follower. A follower that has received
    /// everything but has not acknowledged the snapshot's index is either still writing it, or has
    /// restarted before it was durable. It is probed with the first chunk, which only a restarted
    /// follower answers.
    pub(crate) fn resend(&mut self) {
        self.read_failed = false;
        if self.detect_restart() {
            self.received = self.last_acknowledged;
        }
        self.last_acknowledged = self.received;
        if self.received >= self.snapshot.data.length() {
            return self.probe.on_stall();
        }
        self.probe = DurabilityProbe::default();
        self.rewind();
    }

    /// Returns whether the follower has fewer bytes than it acknowledged earlier. A reordered
    /// acknowledgement looks the same, but differs by no more than the bytes in flight, and not at
    /// two consecutive stalls.
    fn detect_restart(&mut self) -> bool {
        if self.last_acknowledged >= self.received {
            return false;
        }
        let max_in_flight = self.base_window.saturating_mul(MAX_WINDOW_FACTOR);
        let may_be_overtaken =
            self.last_acknowledged.saturating_add(max_in_flight) >= self.received;
        let was_suspected = std::mem::replace(&mut self.is_restart_suspected, true);
        !may_be_overtaken || was_suspected
    }

    /// Returns the first chunk if the follower is to be probed now.
    fn take_probe(&mut self, length: usize) -> Option<Vec<u8>> {
        if !self.probe.take() {
            return None;
        }
        let part = self.parts.read_part(0, length).ok()?;
        self.count_sent(0, part.len() as u64);
        Some(part)
    }

    /// Continues with the first byte that the follower lacks. Chunks in flight may still be
    /// answered without progress, and so may each of them that is resent.
    fn rewind(&mut self) {
        self.window_factor = 1;
        self.expected_duplicates = 2 * self.unacknowledged_chunks.len();
        self.rewound_from = self.next_offset;
        self.answers.on_out_of_order(self.next_offset);
        self.next_offset = self.received;
    }

    /// Handles the start of a heartbeat round: grows the window if few bytes were acknowledged in
    /// the last round. The window does not grow if nothing was acknowledged, since the chunks may
    /// be lost.
    pub(crate) fn on_heartbeat_round(&mut self) {
        self.answers.on_heartbeat_round();
        let acknowledged = self.received.saturating_sub(self.received_before_round);
        self.received_before_round = self.received;
        self.rounds_without_progress = if acknowledged > 0 {
            0
        } else {
            self.rounds_without_progress.saturating_add(1)
        };
        let full_pace_bytes = self.base_window.saturating_mul(FULL_PACE_WINDOWS_PER_ROUND);
        if acknowledged > 0 && acknowledged < full_pace_bytes {
            self.window_factor = MAX_WINDOW_FACTOR.min(self.window_factor * 2);
        }
    }

    /// Returns whether the follower lacks some bytes and has acknowledged progress in the last
    /// `rounds` heartbeat rounds.
    pub(crate) fn is_progressing(&self, rounds: u32) -> bool {
        self.received < self.snapshot.data.length() && self.rounds_without_progress < rounds
    }

    /// Handles an acknowledgement of `received` bytes. Returns whether it acknowledges more than
    /// before.
    pub(crate) fn on_acknowledged(&mut self, received: u64) -> bool {
        self.last_acknowledged = received;
        let is_progress = received > self.received;
        if is_progress {
            self.answers.on_progress();
            self.advance(received);
        } else {
            self.on_answer_without_progress(received);
        }
        if self.answers.detect_gap(self.received, self.next_offset) {
            self.rewind();
        }
        is_progress
    }

    fn advance(&mut self, received: u64) {
        self.received = received;
        self.is_restart_suspected = false;
        self.next_offset = self.next_offset.max(received);
        self.drop_acknowledged_chunks();
        if received > self.rewound_from {
            self.expected_duplicates = 0;
        }
        self.answers
            .on_received(received, self.unacknowledged_chunks.len());
    }

    /// Handles an acknowledgement without progress. One with fewer bytes than `received` was
    /// reordered, and says nothing about dropped chunks; neither does an overdue one.
    fn on_answer_without_progress(&mut self, received: u64) {
        let is_overdue = self.answers.on_answer_without_progress();
        if !is_overdue {
            self.answers.on_out_of_order(self.next_offset);
        }
        if received < self.received {
            return;
        }
        let unacknowledged = self.unacknowledged_chunks.len();
        if self.expected_duplicates > 0 {
            self.expected_duplicates -= usize::from(!is_overdue);
        } else if self.answers.is_first_missing(unacknowledged) {
            self.rewind();
        }
    }

    fn drop_acknowledged_chunks(&mut self) {
        while let Some(first) = self.unacknowledged_chunks.front()
            && first.end() <= self.received
        {
            self.unacknowledged_chunks.pop_front();
        }
    }

    /// Returns the progress of the transfer to `to`.
    pub(crate) fn sending_progress(&self, to: ReplicaId) -> SnapshotSending {
        SnapshotSending {
            to,
            index: self.snapshot.index,
            total: self.snapshot.data.length(),
            received: self.received,
            sent: self.sent,
            sent_again: self.sent_again,
        }
    }
}
