//! A snapshot that this member is receiving.

use crate::message::SnapshotChunk;
use std::io;
use wingshore_types::LogIndex;
use wingshore_types::snapshot_spool::SpooledSnapshot;

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
    /// What has come.
    pub(crate) data: Box<dyn SpooledSnapshot>,
}

impl IncomingSnapshot {
    /// Whether a chunk belongs to it.
    pub(crate) fn is_of(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.term, chunk.total)
    }

    /// Adds a part, if it is the next one.
    pub(crate) fn append(&mut self, chunk: &SnapshotChunk) -> io::Result<()> {
        if chunk.offset == self.received {
            self.data.append(&chunk.data)?;
            self.received += chunk.data.len() as u64;
        }
        Ok(())
    }
}
