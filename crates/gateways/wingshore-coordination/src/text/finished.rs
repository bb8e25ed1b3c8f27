//! Whole texts of items.

use super::item::{ItemText, all_since};
use super::packed::ResultText;
use serde::{Deserialize, Serialize};

/// The whole text of an item whose stream has ended, as it is listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedText {
    /// The text.
    pub text: ResultText,
    /// The weight versions that made it, in the order of their first event.
    pub versions: Vec<u64>,
}

impl FinishedText {
    /// Whether no event is of a version before `oldest`.
    pub(crate) fn is_made_since(&self, oldest: u64) -> bool {
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
