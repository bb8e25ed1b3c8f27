//! Decides which blob files may be removed.
//!
//! - Inputs: the files that are referenced in memory; the order in which snapshots of the state
//!   were started, by number; the snapshots that are durable.
//! - Rule: a file may be removed once nothing in memory references it *and* a snapshot that was
//!   started after the last reference was dropped is durable.
//! - Reason: until then the snapshot on disk may still name the file, and a restart would need it.
//!   A snapshot that was started later captured a state without references to the file.
//! - After a restart, earlier releases are unknown: files that the restored snapshot does not
//!   reference may be removed at once.

use std::collections::BTreeMap;
use std::sync::Weak;

/// Tracks the blob files that are in use and those that await removal. `F` is an open file.
pub(crate) struct FileIndex<F> {
    held: BTreeMap<u64, Weak<F>>,
    /// Number of snapshots started so far.
    snapshots_started: u64,
    released: Vec<ReleasedFile>,
    removable: Vec<u64>,
}

/// A file that is no longer referenced in memory.
struct ReleasedFile {
    number: u64,
    /// Number of snapshots started before the file was released.
    snapshots_started: u64,
}

impl<F> Default for FileIndex<F> {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            snapshots_started: 0,
            released: Vec::new(),
            removable: Vec::new(),
        }
    }
}

impl<F> FileIndex<F> {
    /// Returns the open file with this number, while it is referenced.
    pub(crate) fn held(&self, number: u64) -> Option<Weak<F>> {
        self.held.get(&number).cloned()
    }

    /// Records that a file was opened. A file that had been released is in use again.
    pub(crate) fn hold(&mut self, number: u64, file: Weak<F>) {
        self.held.insert(number, file);
        self.released.retain(|released| released.number != number);
    }

    /// Records that the last reference to an open file was dropped, unless the file was opened
    /// again in the meantime.
    pub(crate) fn release(&mut self, number: u64) {
        let is_open_again = |file: &Weak<F>| file.strong_count() > 0;
        if self.held.get(&number).is_some_and(is_open_again) {
            return;
        }
        self.held.remove(&number);
        self.released.push(ReleasedFile {
            number,
            snapshots_started: self.snapshots_started,
        });
    }

    /// Records the start of a snapshot and returns its number, counted from 1.
    pub(crate) fn begin_snapshot(&mut self) -> u64 {
        self.snapshots_started += 1;
        self.snapshots_started
    }

    /// Records that the snapshot with this number is durable and has replaced the previous one.
    pub(crate) fn snapshot_durable(&mut self, snapshot: u64) {
        let released = std::mem::take(&mut self.released);
        for file in released {
            if file.snapshots_started < snapshot {
                self.removable.push(file.number);
            } else {
                self.released.push(file);
            }
        }
    }

    /// Returns the files that may be removed, each of them once.
    pub(crate) fn take_removable(&mut self) -> Vec<u64> {
        let mut removable = std::mem::take(&mut self.removable);
        removable.retain(|number| !self.held.contains_key(number));
        removable
    }

    /// Returns whether a file that was found at startup is referenced neither in memory nor
    /// possibly by a snapshot.
    pub(crate) fn is_unreferenced(&self, number: u64) -> bool {
        let is_released = |released: &ReleasedFile| released.number == number;
        !self.held.contains_key(&number) && !self.released.iter().any(is_released)
    }
}
