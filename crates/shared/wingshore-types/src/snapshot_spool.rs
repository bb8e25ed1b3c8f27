//! Where a snapshot is gathered while it is received, part by part.

use crate::snapshot_data::SnapshotData;
use std::fmt::Debug;
use std::io;

/// Gathers snapshots.
pub trait SnapshotSpool: Debug + Send + Sync {
    /// Begins an empty one.
    ///
    /// # Errors
    /// When there is no place for it.
    fn begin(&self) -> io::Result<Box<dyn SpooledSnapshot>>;
}

/// A snapshot that is being received.
pub trait SpooledSnapshot: Debug + Send {
    /// Adds bytes at its end.
    ///
    /// # Errors
    /// When there is no place for them; what was gathered is then of no use.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// All that was gathered.
    ///
    /// # Errors
    /// When it cannot be read any more.
    fn finish(self: Box<Self>) -> io::Result<SnapshotData>;
}

/// Gathers snapshots in memory: for small states and for simulations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemorySpool;

#[derive(Debug, Default)]
struct InMemory(Vec<u8>);

impl SnapshotSpool for MemorySpool {
    fn begin(&self) -> io::Result<Box<dyn SpooledSnapshot>> {
        Ok(Box::new(InMemory::default()))
    }
}

impl SpooledSnapshot for InMemory {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }

    fn finish(self: Box<Self>) -> io::Result<SnapshotData> {
        Ok(self.0.into())
    }
}
