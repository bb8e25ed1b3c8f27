//! Which files of blobs may be removed?
//!
//! - Inputs: which files something in memory holds; in which order snapshots of the state were begun,
//!   by their numbers; which of them are durable.
//! - Rule: a file may be removed once nothing in memory holds it any more *and* a snapshot is durable
//!   that was begun after that.
//! - Why: until then the snapshot on disk may still name the file, and a start would need it. A snapshot
//!   that was begun later froze a state that holds nothing of it.
//! - Missing inputs: after a start nothing is known of releases before it; the files that the restored
//!   snapshot does not hold may be removed at once.

use std::collections::BTreeMap;
use std::sync::Weak;

/// Files that are held, and those that wait for their removal. `F` is an open file.
pub(crate) struct FileIndex<F> {
    held: BTreeMap<u64, Weak<F>>,
    /// Snapshots begun so far.
    snapshots_begun: u64,
    released: Vec<ReleasedFile>,
    removable: Vec<u64>,
}

/// A file that nothing in memory holds any more.
struct ReleasedFile {
    number: u64,
    /// Snapshots begun before its release.
    snapshots_begun: u64,
}

impl<F> Default for FileIndex<F> {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            snapshots_begun: 0,
            released: Vec::new(),
            removable: Vec::new(),
        }
    }
}

impl<F> FileIndex<F> {
    /// The open file of this number, while something holds it.
    pub(crate) fn held(&self, number: u64) -> Option<Weak<F>> {
        self.held.get(&number).cloned()
    }

    /// A file was opened. One that is in use again is not released any more.
    pub(crate) fn hold(&mut self, number: u64, file: Weak<F>) {
        self.held.insert(number, file);
        self.released.retain(|released| released.number != number);
    }

    /// The last holder of an open file is gone; another one may have opened it again.
    pub(crate) fn release(&mut self, number: u64) {
        let is_open_again = |file: &Weak<F>| file.strong_count() > 0;
        if self.held.get(&number).is_some_and(is_open_again) {
            return;
        }
        self.held.remove(&number);
        self.released.push(ReleasedFile {
            number,
            snapshots_begun: self.snapshots_begun,
        });
    }

    /// A snapshot is begun; gives its number, from 1.
    pub(crate) fn begin_snapshot(&mut self) -> u64 {
        self.snapshots_begun += 1;
        self.snapshots_begun
    }

    /// The snapshot of this number is durable, in the place of the one before.
    pub(crate) fn snapshot_durable(&mut self, snapshot: u64) {
        let released = std::mem::take(&mut self.released);
        for file in released {
            if file.snapshots_begun < snapshot {
                self.removable.push(file.number);
            } else {
                self.released.push(file);
            }
        }
    }

    /// Files that may be removed; each is given once.
    pub(crate) fn take_removable(&mut self) -> Vec<u64> {
        let mut removable = std::mem::take(&mut self.removable);
        removable.retain(|number| !self.held.contains_key(number));
        removable
    }

    /// Whether neither anything in memory nor, maybe, a snapshot refers to a file; for files that were
    /// found at a start.
    pub(crate) fn is_unreferenced(&self, number: u64) -> bool {
        let is_released = |released: &ReleasedFile| released.number == number;
        !self.held.contains_key(&number) && !self.released.iter().any(is_released)
    }
}
