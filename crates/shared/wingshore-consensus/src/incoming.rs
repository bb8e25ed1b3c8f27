//! A snapshot that this member is receiving.

use crate::message::SnapshotChunk;
use std::collections::BTreeMap;
use std::io;
use wingshore_types::LogIndex;
use wingshore_types::snapshot_spool::SpooledSnapshot;

/// Chunks after a gap that are kept until it is closed: a window of the usual size, grown as far as it may.
/// What is more is dropped and sent again.
const MAX_OUT_OF_ORDER_CHUNKS: usize = 16;

/// A snapshot that is being received. It belongs to one leadership: another leader's encoding of
/// the same state need not be equal byte for byte.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    /// The last entry it contains.
    pub(crate) index: LogIndex,
    /// That entry's term.
    pub(crate) term: u64,
    /// Bytes of the whole.
    pub(crate) total: u64,
    /// Bytes that have come, without gap.
    pub(crate) received: u64,
    /// Chunks after a gap, by their offset.
    pub(crate) out_of_order: BTreeMap<u64, Vec<u8>>,
    /// What has come.
    pub(crate) data: Box<dyn SpooledSnapshot>,
}

impl IncomingSnapshot {
    /// Whether a chunk belongs to it.
    pub(crate) fn matches_chunk(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.term, chunk.total)
    }

    /// Adds a chunk, and those that were waiting for it.
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

    /// A path that changes lets chunks overtake each other.
    fn buffer_out_of_order(&mut self, chunk: &SnapshotChunk) {
        if self.out_of_order.len() < MAX_OUT_OF_ORDER_CHUNKS {
            self.out_of_order.insert(chunk.offset, chunk.data.clone());
        }
    }
}
