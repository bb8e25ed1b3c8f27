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
const MAX_GROWTH: u64 = 4;
/// The window does not grow where so many usual ones are acknowledged in a heartbeat round.
const WINDOWS_IN_ROUND: u64 = 2;
/// Stalls after which a follower that has all of it is probed again at the latest.
const MAX_STALLS_BETWEEN_PROBES: u32 = 7;

/// A chunk that was sent and is not acknowledged.
#[derive(Debug)]
struct HeldChunk {
    offset: u64,
    data: Vec<u8>,
}

impl HeldChunk {
    fn end(&self) -> u64 {
        self.offset + self.data.len() as u64
    }
}

/// When a follower that had all of a snapshot is asked whether it still has it: at once, and then after
/// twice as many stalls each time.
#[derive(Debug, Default)]
struct DurabilityProbe {
    stalls: u32,
    next_at: u32,
    is_due: bool,
}

impl DurabilityProbe {
    fn on_stall(&mut self) {
        self.stalls += 1;
        if self.stalls > self.next_at {
            self.next_at = self.stalls + self.stalls.min(MAX_STALLS_BETWEEN_PROBES);
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
    reported: u64,
    /// At a stall the last acknowledgement was of fewer bytes than were received; until there are more.
    is_restart_suspected: bool,
    /// Bytes that may be under way where answers come soon.
    usual_window: u64,
    /// How many usual windows may be under way.
    growth: u64,
    /// Bytes the follower had when the last heartbeat round began.
    received_before_round: u64,
    /// Heartbeat rounds in turn in which nothing was acknowledged.
    silent_rounds: u32,
    /// Answers without news that are expected since the leader went back.
    expected_repeats: usize,
    /// Finds gaps once all that was sent is answered.
    answers: ChunkAnswers,
    /// Where the next chunk began when the leader last went back: once the follower has more, no
    /// repeat is expected any more.
    went_back_from: u64,
    /// Reads the snapshot's bytes.
    parts: PartReader,
    /// The next chunk could not be read.
    is_unreadable: bool,
    /// Asks a follower that has all of it, and does not say that it is durable, whether it still has it.
    probe: DurabilityProbe,
    /// Chunks that the follower has not acknowledged, in order and without gap.
    held: VecDeque<HeldChunk>,
    /// Bytes that were sent, and those of them that were sent again.
    sent: u64,
    sent_again: u64,
    /// Up to here bytes were sent at least once.
    furthest: u64,
}

impl OutgoingSnapshot {
    pub(crate) fn new(snapshot: Arc<StoredSnapshot>) -> Self {
        let parts = PartReader::new(snapshot.data.clone());
        Self {
            snapshot,
            next_offset: 0,
            received: 0,
            reported: 0,
            is_restart_suspected: false,
            usual_window: 0,
            growth: 1,
            received_before_round: 0,
            silent_rounds: 0,
            expected_repeats: 0,
            answers: ChunkAnswers::default(),
            went_back_from: 0,
            parts,
            is_unreadable: false,
            probe: DurabilityProbe::default(),
            held: VecDeque::new(),
            sent: 0,
            sent_again: 0,
            furthest: 0,
        }
    }

    /// The chunks of at most `length` bytes that go out now, with at most `usual_window` bytes under way
    /// where answers come soon.
    pub(crate) fn next_chunks(&mut self, length: usize, usual_window: u64) -> Vec<SnapshotChunk> {
        self.usual_window = usual_window;
        let mut chunks = Vec::new();
        if let Some(first) = self.take_probe(length) {
            chunks.push(self.chunk(0, first));
        }
        let total = self.snapshot.data.length();
        let window = usual_window.saturating_mul(self.growth);
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
        let held = self.held.iter().find(|chunk| chunk.offset == offset);
        let part = match held {
            Some(chunk) => chunk.data.clone(),
            None => self.read_part(offset, length),
        };
        self.count_sent(offset, part.len() as u64);
        self.next_offset = offset + part.len() as u64;
        part
    }

    fn read_part(&mut self, offset: u64, length: usize) -> Vec<u8> {
        if self.is_unreadable {
            return Vec::new();
        }
        let data = self.parts.part(offset, length).unwrap_or_default();
        self.is_unreadable = data.is_empty();
        let follows = self.held.back().is_none_or(|last| last.end() == offset);
        if !follows {
            self.held.clear();
        }
        if !data.is_empty() {
            let data = data.clone();
            self.held.push_back(HeldChunk { offset, data });
        }
        data
    }

    fn count_sent(&mut self, offset: u64, bytes: u64) {
        let end = offset + bytes;
        self.sent += bytes;
        self.sent_again += end.min(self.furthest).saturating_sub(offset);
        self.furthest = self.furthest.max(end);
    }

    /// Sends again what is not acknowledged, since the follower is stalled. One that had all of it,
    /// and has not acknowledged its index, is still writing it, or has restarted before it was durable:
    /// it is probed with the first chunk, which only one that restarted answers.
    pub(crate) fn resend(&mut self) {
        self.is_unreadable = false;
        if self.has_restarted() {
            self.received = self.reported;
        }
        self.reported = self.received;
        if self.received >= self.snapshot.data.length() {
            return self.probe.on_stall();
        }
        self.probe = DurabilityProbe::default();
        self.go_back();
    }

    /// Whether the follower has fewer bytes than it acknowledged. An acknowledgement that another one
    /// overtook says so too, but only by what may be under way, and not at two stalls.
    fn has_restarted(&mut self) -> bool {
        if self.reported >= self.received {
            return false;
        }
        let under_way = self.usual_window.saturating_mul(MAX_GROWTH);
        let may_be_overtaken = self.reported.saturating_add(under_way) >= self.received;
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
    fn go_back(&mut self) {
        self.growth = 1;
        self.expected_repeats = 2 * self.held.len();
        self.went_back_from = self.next_offset;
        self.answers.on_disorder(self.next_offset);
        self.next_offset = self.received;
    }

    /// A heartbeat round begins: the window grows where answers are late. One that gets none may be lost.
    pub(crate) fn on_round(&mut self) {
        let acknowledged = self.received.saturating_sub(self.received_before_round);
        self.received_before_round = self.received;
        self.silent_rounds = if acknowledged > 0 {
            0
        } else {
            self.silent_rounds.saturating_add(1)
        };
        let enough = self.usual_window.saturating_mul(WINDOWS_IN_ROUND);
        if acknowledged > 0 && acknowledged < enough {
            self.growth = MAX_GROWTH.min(self.growth * 2);
        }
    }

    /// Whether the follower lacks some of it, and has acknowledged something in the last `rounds`
    /// heartbeat rounds.
    pub(crate) fn is_progressing(&self, rounds: u32) -> bool {
        self.received < self.snapshot.data.length() && self.silent_rounds < rounds
    }

    /// The follower has `received` bytes; `true` when that is more than before.
    pub(crate) fn acknowledge(&mut self, received: u64) -> bool {
        self.reported = received;
        self.answers.on_answer();
        let is_news = received > self.received;
        if is_news {
            self.advance(received);
        } else {
            self.answer_without_news(received);
        }
        if self.answers.finds_gap(self.received, self.next_offset) {
            self.go_back();
        }
        is_news
    }

    fn advance(&mut self, received: u64) {
        self.received = received;
        self.is_restart_suspected = false;
        self.next_offset = self.next_offset.max(received);
        self.release_acknowledged();
        if received > self.went_back_from {
            self.expected_repeats = 0;
        }
        self.answers.on_received(received, self.held.len());
    }

    /// An answer that another one overtook says nothing of what was dropped.
    fn answer_without_news(&mut self, received: u64) {
        self.answers.on_disorder(self.next_offset);
        if received < self.received {
            return;
        }
        if self.expected_repeats > 0 {
            self.expected_repeats -= 1;
        } else {
            self.go_back();
        }
    }

    fn release_acknowledged(&mut self) {
        while let Some(first) = self.held.front()
            && first.end() <= self.received
        {
            self.held.pop_front();
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
