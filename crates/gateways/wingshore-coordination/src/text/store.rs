//! The store for texts of results that memory has no room for.

use super::packed::PackedText;
use std::fmt::Debug;
use std::io;
use std::sync::Arc;
use wingshore_types::blob::{Blob, BlobPlace};

/// Keeps the texts that a state holds within a budget of memory: the oldest ones move to disk. How
/// much of a site's results is in memory follows from that budget, not from their number.
pub trait TextStore: Debug + Send + Sync {
    /// The state holds a text from now on.
    fn hold(&self, text: &Arc<PackedText>);

    /// Waits until the texts in memory are within the budget, or cannot be brought there.
    fn wait_for_room(&self);

    /// The text that a snapshot on this machine's disk names.
    ///
    /// # Errors
    /// When the disk fails.
    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>>;

    /// A snapshot of the state is taken; gives its number.
    fn begin_snapshot(&self) -> u64;

    /// The snapshot of this number is durable: what only earlier ones refer to may be removed.
    fn snapshot_durable(&self, number: u64);
}

/// The store of a state, where it has one: without one, all texts stay in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct TextStoreHandle(pub(crate) Option<Arc<dyn TextStore>>);

impl PartialEq for TextStoreHandle {
    /// Where a state keeps its texts is no part of it.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl TextStoreHandle {
    pub(crate) fn hold(&self, text: &Arc<PackedText>) {
        if let Some(store) = &self.0 {
            store.hold(text);
        }
    }

    pub(crate) fn wait_for_room(&self) {
        if let Some(store) = &self.0 {
            store.wait_for_room();
        }
    }
}
