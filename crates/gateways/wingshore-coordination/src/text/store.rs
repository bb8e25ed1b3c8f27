//! Storage for result texts that exceed the memory budget.

use super::packed::PackedText;
use std::fmt::Debug;
use std::io;
use std::sync::Arc;
use wingshore_types::blob::{Blob, BlobPlace};

/// Keeps the texts of a state within a memory budget by moving the oldest ones to disk. The memory
/// used by a site's results follows from that budget, not from the number of results.
pub trait TextStore: Debug + Send + Sync {
    /// Adds a text that the state has started to hold.
    fn track(&self, text: &Arc<PackedText>);

    /// Waits until the texts in memory fit into the budget, or cannot be moved to disk.
    fn wait_for_memory(&self);

    /// Returns the stored text that a snapshot on the local disk references.
    ///
    /// # Errors
    /// Returns the error of the disk if the text cannot be opened.
    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>>;

    /// Starts a snapshot of the state and returns its number.
    fn begin_snapshot(&self) -> u64;

    /// Marks the snapshot with this number as durable: texts referenced only by earlier snapshots
    /// may be removed.
    fn snapshot_durable(&self, number: u64);
}

/// Optional text store of a state; without one, all texts stay in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct TextStoreHandle(pub(crate) Option<Arc<dyn TextStore>>);

impl PartialEq for TextStoreHandle {
    /// All handles are equal: where a state stores its texts is not part of the state.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl TextStoreHandle {
    pub(crate) fn track(&self, text: &Arc<PackedText>) {
        if let Some(store) = &self.0 {
            store.track(text);
        }
    }

    pub(crate) fn wait_for_memory(&self) {
        if let Some(store) = &self.0 {
            store.wait_for_memory();
        }
    }
}
