//! Complete texts of items.

use super::item::{ItemText, all_since};
use super::packed::ResultText;
use serde::{Deserialize, Serialize};

/// The complete text of an item whose stream has ended, as it is listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedText {
    /// The text.
    pub text: ResultText,
    /// Weight versions that generated the text, in the order of their first event.
    pub versions: Vec<u64>,
}

impl FinishedText {
    /// Returns whether all events come from the version `oldest` or newer ones.
    pub(crate) fn all_versions_since(&self, oldest: u64) -> bool {
        all_since(&self.versions, oldest)
    }
}

impl From<ItemText> for FinishedText {
    fn from(item: ItemText) -> Self {
        Self {
            text: ResultText::pack(&item.text),
            versions: item.versions,
        }
    }
}
