//! A state that counts how many of its bytes are read.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wingshore_types::snapshot_data::{FrozenState, SnapshotState};

/// A state of identical bytes. Clones share the counter.
#[derive(Clone)]
pub struct CountingState {
    length: u64,
    read: Arc<AtomicU64>,
}

impl CountingState {
    /// Returns a state of `length` bytes.
    pub fn new(length: u64) -> Self {
        let read = Arc::default();
        Self { length, read }
    }

    /// Returns the number of bytes read by all readers.
    pub fn bytes_read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the state in the form that can be sent.
    pub fn state(&self) -> SnapshotState {
        SnapshotState::Frozen(Arc::new(self.clone()))
    }
}

impl FrozenState for CountingState {
    fn length(&self) -> u64 {
        self.length
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        let bytes = io::repeat(7).take(self.length);
        let read = Arc::clone(&self.read);
        Ok(Box::new(CountingReader { bytes, read }))
    }
}

struct CountingReader {
    bytes: io::Take<io::Repeat>,
    read: Arc<AtomicU64>,
}

impl Read for CountingReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.bytes.read(buffer)?;
        self.read.fetch_add(count as u64, Ordering::Relaxed);
        Ok(count)
    }
}
