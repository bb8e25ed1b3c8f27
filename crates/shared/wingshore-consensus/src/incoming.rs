//! A snapshot that this member is receiving.

use crate::message::SnapshotChunk;
use std::collections::BTreeMap;
use std::io;
use wingshore_types::LogIndex;
use wingshore_types::snapshot_spool::SpooledSnapshot;

/// Maximum number of chunks buffered behind a gap: one window of the default size at its maximum
/// growth. Further chunks are dropped, and the leader sends them again.
const MAX_OUT_OF_ORDER_CHUNKS: usize = 16;

/// IncomingSnapshot is a partially received snapshot. It is valid for one leader and term only:
/// another leader may encode the same state with different bytes.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    /// Index of the last entry that the snapshot contains.
    pub(crate) index: LogIndex,
    /// Term of that entry.
    pub(crate) term: u64,
    /// Total size, in bytes.
    pub(crate) total: u64,
    /// Number of bytes received without a gap.
    pub(crate) received: u64,
    /// Chunks received behind a gap, by offset.
    pub(crate) out_of_order: BTreeMap<u64, Vec<u8>>,
    /// The bytes received without a gap.
    pub(crate) data: Box<dyn SpooledSnapshot>,
}

impl IncomingSnapshot {
    /// Returns whether `chunk` belongs to this snapshot.
    pub(crate) fn matches_chunk(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.term, chunk.total)
    }

    /// Adds a chunk, and the buffered chunks that follow it.
    pub(crate) fn append(&mut self, chunk: &SnapshotChunk) -> io::Result<()> {
        if chunk.offset > self.received {
            self.buffer_out_of_order(chunk);
            return Ok(());
        }
        if chunk.offset == self.received {
            self.append_next(&chunk.data)?;
        }
        while let Some(first) = self.out_of_order.first_entry()
            && *first.key() <= self.received
        {
            let (offset, data) = first.remove_entry();
            if offset == self.received {
                self.append_next(&data)?;
            }
        }
        Ok(())
    }

    fn append_next(&mut self, data: &[u8]) -> io::Result<()> {
        self.data.append(data)?;
        self.received += data.len() as u64;
        Ok(())
    }

    /// Buffers a chunk that arrived out of order, as happens when the network path changes.
    fn buffer_out_of_order(&mut self, chunk: &SnapshotChunk) {
        if self.out_of_order.len() < MAX_OUT_OF_ORDER_CHUNKS {
            self.out_of_order.insert(chunk.offset, chunk.data.clone());
        }
    }
}
