//! A snapshot that this leader is sending.

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
    /// The place from which chunks were last sent again because of an acknowledgement.
    resent_from: Option<u64>,
    /// Reads the snapshot's bytes.
    parts: PartReader,
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
            resent_from: None,
            parts,
            sent: 0,
            sent_again: 0,
            furthest: 0,
        }
    }

    /// At most `length` bytes from where the next chunk begins; none when they cannot be read: the
    /// state that is sent logs why, and it is sent again once the follower is stalled.
    pub(crate) fn next_part(&mut self, length: usize) -> Vec<u8> {
        let offset = self.next_offset;
        let part = self.parts.part(offset, length).unwrap_or_default();
        let end = offset + part.len() as u64;
        self.sent += part.len() as u64;
        self.sent_again += end.min(self.furthest).saturating_sub(offset);
        self.furthest = self.furthest.max(end);
        self.next_offset = end;
        part
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
        self.resent_from = None;
        self.next_offset = self.received;
    }

    /// The follower has `received` bytes; `true` when that is more than before.
    ///
    /// An acknowledgement without news answers a chunk after a gap. The chunks after
    /// the gap are sent again once for each place: doing so for each acknowledgement would bring
    /// on as many acknowledgements again, and more on a network that reorders.
    pub(crate) fn acknowledge(&mut self, received: u64) -> bool {
        self.reported = received;
        if received > self.received {
            self.received = received;
            self.next_offset = self.next_offset.max(received);
            return true;
        }
        if received == self.received && self.resent_from != Some(received) {
            self.resent_from = Some(received);
            self.next_offset = received;
        }
        false
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
