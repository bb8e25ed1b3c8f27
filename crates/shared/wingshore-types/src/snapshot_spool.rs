//! Spools for snapshots that are received in parts.

use crate::snapshot_data::SnapshotData;
use std::fmt::Debug;
use std::io;

/// Creates spools for incoming snapshots.
pub trait SnapshotSpool: Debug + Send + Sync {
    /// Creates an empty spool.
    ///
    /// # Errors
    /// Returns an error if there is no space for it.
    fn begin(&self) -> io::Result<Box<dyn SpooledSnapshot>>;
}

/// The spool of a snapshot that is being received.
pub trait SpooledSnapshot: Debug + Send {
    /// Appends bytes.
    ///
    /// # Errors
    /// Returns an error if there is no space for them; the spooled data is then unusable.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns the complete snapshot.
    ///
    /// # Errors
    /// Returns an error if the spooled data cannot be read.
    fn finish(self: Box<Self>) -> io::Result<SnapshotData>;
}

/// Spools snapshots in memory, for small states and simulations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemorySpool;

#[derive(Debug, Default)]
struct MemorySpooledSnapshot(Vec<u8>);

impl SnapshotSpool for MemorySpool {
    fn begin(&self) -> io::Result<Box<dyn SpooledSnapshot>> {
        Ok(Box::new(MemorySpooledSnapshot::default()))
    }
}

impl SpooledSnapshot for MemorySpooledSnapshot {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }

    fn finish(self: Box<Self>) -> io::Result<SnapshotData> {
        Ok(self.0.into())
    }
}
