//! A snapshot that this leader is sending.
//!
//! Chunks go out in order, a window of them at a time, and each is answered by how much the follower has
//! without gap. Where less than two windows are acknowledged in a heartbeat round, the answers are late, and the
//! window grows, or else the pace would be a window for each way there and back; it is small again when
//! something was lost. An answer without news comes of a chunk after a gap, and the leader goes back to what
//! the follower has; or of a chunk that came twice. Two rules keep that cheap. As many
//! answers without news as chunks are under way or sent again do not make the leader go back once more:
//! to go back for each would send every window twice to the end; a gap among those is found by [`ChunkAnswers`].
//! And what was sent is held until it is acknowledged, since to read it again means to read all that is before it.

use crate::chunk_answers::ChunkAnswers;
use crate::message::SnapshotChunk;
use std::collections::VecDeque;
use std::sync::Arc;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_data::PartReader;
use wingshore_types::{LogIndex, ReplicaId};

/// How far the sending of a snapshot to one member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSending {
    /// The member.
    pub to: ReplicaId,
    /// The last entry that the snapshot contains.
    pub index: LogIndex,
    /// Bytes of the whole.
    pub total: u64,
    /// Bytes the member has.
    pub received: u64,
    /// Bytes that were sent, those sent again among them.
    pub sent: u64,
    /// Bytes that were sent again.
    pub sent_again: u64,
}

/// The window grows up to this many times the usual one.
const MAX_WINDOW_FACTOR: u64 = 4;
/// The window does not grow where so many usual ones are acknowledged in a heartbeat round.
const FULL_PACE_WINDOWS_PER_ROUND: u64 = 2;
/// Stalls after which a follower that has all of it is probed again at the latest.
const MAX_STALLS_BETWEEN_PROBES: u32 = 7;

/// A chunk that was sent and is not acknowledged.
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

/// When a follower that had all of a snapshot is asked whether it still has it: at once, and then after
/// twice as many stalls each time.
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

/// A snapshot that is being sent in chunks.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    /// The snapshot.
    pub(crate) snapshot: Arc<StoredSnapshot>,
    /// Where the next chunk begins.
    next_offset: u64,
    /// Bytes the follower has.
    received: u64,
    /// Bytes by the follower's last acknowledgement: fewer where a later one overtook it, or where
    /// the follower has restarted.
    last_acknowledged: u64,
    /// At a stall the last acknowledgement was of fewer bytes than were received; until there are more.
    is_restart_suspected: bool,
    /// Bytes that may be under way where answers come soon.
    base_window: u64,
    /// How many usual windows may be under way.
    window_factor: u64,
    /// Bytes the follower had when the last heartbeat round began.
    received_before_round: u64,
    /// Heartbeat rounds in turn in which nothing was acknowledged.
    rounds_without_progress: u32,
    /// Answers without news that are expected since the leader went back.
    expected_duplicates: usize,
    /// Finds gaps once all that was sent is answered.
    answers: ChunkAnswers,
    /// Where the next chunk began when the leader last went back: once the follower has more, no
    /// repeat is expected any more.
    rewound_from: u64,
    /// Reads the snapshot's bytes.
    parts: PartReader,
    /// The next chunk could not be read.
    read_failed: bool,
    /// Asks a follower that has all of it, and does not say that it is durable, whether it still has it.
    probe: DurabilityProbe,
    /// Chunks that the follower has not acknowledged, in order and without gap.
    unacknowledged_chunks: VecDeque<UnacknowledgedChunk>,
    /// Bytes that were sent, and those of them that were sent again.
    sent: u64,
    sent_again: u64,
    /// Up to here bytes were sent at least once.
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

    /// The chunks of at most `length` bytes that go out now, with at most `usual_window` bytes under way
    /// where answers come soon.
    pub(crate) fn next_chunks(&mut self, length: usize, base_window: u64) -> Vec<SnapshotChunk> {
        self.base_window = base_window;
        let mut chunks = Vec::new();
        if let Some(first) = self.take_probe(length) {
            chunks.push(self.chunk(0, first));
        }
        let total = self.snapshot.data.length();
        let window = base_window.saturating_mul(self.window_factor);
        let limit = total.min(self.received.saturating_add(window));
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

    /// At most `length` bytes from where the next chunk begins; none when they cannot be read: the
    /// state that is sent logs why, and it is sent again once the follower is stalled.
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
        let data = self.parts.part(offset, length).unwrap_or_default();
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

    /// Sends again what is not acknowledged, since the follower is stalled. One that had all of it,
    /// and has not acknowledged its index, is still writing it, or has restarted before it was durable:
    /// it is probed with the first chunk, which only one that restarted answers.
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

    /// Whether the follower has fewer bytes than it acknowledged. An acknowledgement that another one
    /// overtook says so too, but only by what may be under way, and not at two stalls.
    fn detect_restart(&mut self) -> bool {
        if self.last_acknowledged >= self.received {
            return false;
        }
        let under_way = self.base_window.saturating_mul(MAX_WINDOW_FACTOR);
        let may_be_overtaken = self.last_acknowledged.saturating_add(under_way) >= self.received;
        let was_suspected = std::mem::replace(&mut self.is_restart_suspected, true);
        !may_be_overtaken || was_suspected
    }

    /// The first chunk, if the follower is to be probed with it now.
    fn take_probe(&mut self, length: usize) -> Option<Vec<u8>> {
        if !self.probe.take() {
            return None;
        }
        let part = self.parts.part(0, length).ok()?;
        self.count_sent(0, part.len() as u64);
        Some(part)
    }

    /// The next chunk is the first one that the follower lacks. Those under way may still be answered
    /// without news, and so may each of them that is sent again.
    fn rewind(&mut self) {
        self.window_factor = 1;
        self.expected_duplicates = 2 * self.unacknowledged_chunks.len();
        self.rewound_from = self.next_offset;
        self.answers.on_out_of_order(self.next_offset);
        self.next_offset = self.received;
    }

    /// A heartbeat round begins: the window grows where answers are late. One that gets none may be lost.
    pub(crate) fn on_heartbeat_round(&mut self) {
        let acknowledged = self.received.saturating_sub(self.received_before_round);
        self.received_before_round = self.received;
        self.rounds_without_progress = if acknowledged > 0 {
            0
        } else {
            self.rounds_without_progress.saturating_add(1)
        };
        let enough = self.base_window.saturating_mul(FULL_PACE_WINDOWS_PER_ROUND);
        if acknowledged > 0 && acknowledged < enough {
            self.window_factor = MAX_WINDOW_FACTOR.min(self.window_factor * 2);
        }
    }

    /// Whether the follower lacks some of it, and has acknowledged something in the last `rounds`
    /// heartbeat rounds.
    pub(crate) fn is_progressing(&self, rounds: u32) -> bool {
        self.received < self.snapshot.data.length() && self.rounds_without_progress < rounds
    }

    /// The follower has `received` bytes; `true` when that is more than before.
    pub(crate) fn on_acknowledged(&mut self, received: u64) -> bool {
        self.last_acknowledged = received;
        self.answers.on_answer();
        let is_progress = received > self.received;
        if is_progress {
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

    /// An answer that another one overtook says nothing of what was dropped.
    fn on_answer_without_progress(&mut self, received: u64) {
        self.answers.on_out_of_order(self.next_offset);
        if received < self.received {
            return;
        }
        if self.expected_duplicates > 0 {
            self.expected_duplicates -= 1;
        } else {
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

    /// How far it is.
    pub(crate) fn report(&self, to: ReplicaId) -> SnapshotSending {
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
