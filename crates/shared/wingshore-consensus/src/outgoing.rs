//! A snapshot that this leader is sending.
//!
//! Chunks go out in order, a window of them at a time. A gap, or a stalled follower, makes the leader go
//! back to what the follower has. Two rules keep that cheap: what was sent is held until it is
//! acknowledged, since to read it again means to read all that is before it; and until the follower has
//! what was under way, acknowledgements without news do not make the leader go back once more,
//! since what comes twice is acknowledged so.

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

/// A snapshot that is being sent in chunks.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    /// The snapshot.
    pub(crate) snapshot: Arc<StoredSnapshot>,
    /// Where the next chunk begins.
    pub(crate) next_offset: u64,
    /// Bytes the follower has.
    pub(crate) received: u64,
    /// Bytes by the follower's last acknowledgement: fewer where an earlier one overtook it, or where
    /// the follower has restarted.
    reported: u64,
    /// The leader went back last when it had sent up to here: until the follower has more, an
    /// acknowledgement without news tells of a chunk that came twice.
    went_back_at: Option<u64>,
    /// Reads the snapshot's bytes.
    parts: PartReader,
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
            went_back_at: None,
            parts,
            held: VecDeque::new(),
            sent: 0,
            sent_again: 0,
            furthest: 0,
        }
    }

    /// At most `length` bytes from where the next chunk begins; none when they cannot be read: the
    /// state that is sent logs why, and it is sent again once the follower is stalled.
    pub(crate) fn next_part(&mut self, length: usize) -> Vec<u8> {
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
        let data = self.parts.part(offset, length).unwrap_or_default();
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

    /// Sends again what is not acknowledged, since the follower is stalled. A follower
    /// that had all of it, and still has not acknowledged its index, restarted before it was
    /// durable: it needs it from the beginning.
    pub(crate) fn resend(&mut self) {
        self.received = self.received.min(self.reported);
        if self.received >= self.snapshot.data.length() {
            self.received = 0;
        }
        self.reported = self.received;
        self.go_back();
    }

    /// The next chunk is the first one that the follower lacks.
    fn go_back(&mut self) {
        self.went_back_at = Some(self.furthest);
        self.next_offset = self.received;
    }

    /// The follower has `received` bytes; `true` when that is more than before.
    ///
    /// An acknowledgement without news answers a chunk after a gap, or one that came twice. The
    /// leader goes back for the first one only: what it sends again comes twice in its turn where
    /// nothing was lost, and to go back for that would send every window twice to the end.
    pub(crate) fn acknowledge(&mut self, received: u64) -> bool {
        self.reported = received;
        if received > self.received {
            self.received = received;
            self.next_offset = self.next_offset.max(received);
            self.release_acknowledged();
            return true;
        }
        let may_be_gap = self.went_back_at.is_none_or(|end| received > end);
        if received == self.received && may_be_gap {
            self.go_back();
        }
        false
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
