//! Texts of items while they grow: how they are extended, and what the group's log holds of them.

use serde::{Deserialize, Serialize};

/// Text of an item from its first event on, over all attempts that made it.
///
/// It travels with the item, so that a change of leaders loses nothing of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemText {
    /// The data of the events, separated by line feeds.
    pub text: String,
    /// How many events.
    pub events: u64,
    /// Identifier of the last one.
    pub last_event: Option<u64>,
    /// The versions that made them, in the order of their first event.
    pub versions: Vec<u64>,
}

/// How much of an item's text the group's log holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurablePrefix {
    /// In events.
    pub events: u64,
    /// In bytes of text.
    pub bytes: usize,
}

/// The first events of an item as the group's log holds them, sent to a gateway that runs the item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPrefix {
    /// How much it is.
    pub extent: DurablePrefix,
    /// CRC-32 of its text: another attempt may have made other events.
    pub checksum: u32,
}

impl HeldPrefix {
    /// Whether `text` begins with it.
    pub fn is_prefix_of(&self, text: &ItemText) -> bool {
        let begin = text.text.as_bytes().get(..self.extent.bytes);
        begin.is_some_and(|begin| crc32fast::hash(begin) == self.checksum)
    }

    /// What is held once the events of `more` have been added, as [`ItemText::extend`] adds them.
    #[must_use]
    pub fn extended_by(self, more: &ItemText) -> Self {
        if more.events == 0 {
            return self;
        }
        let bytes_before = self.extent.bytes as u64;
        let mut hasher = crc32fast::Hasher::new_with_initial_len(self.checksum, bytes_before);
        let separator: &[u8] = if self.extent.events > 0 { b"\n" } else { b"" };
        hasher.update(separator);
        hasher.update(more.text.as_bytes());
        Self {
            extent: DurablePrefix {
                events: self.extent.events + more.events,
                bytes: self.extent.bytes + separator.len() + more.text.len(),
            },
            checksum: hasher.finalize(),
        }
    }
}

impl ItemText {
    /// The events after `prefix`, as a text of their own.
    pub fn after(&self, prefix: DurablePrefix) -> Self {
        let rest = self.text.get(prefix.bytes..).unwrap_or_default();
        // The line feed between two events belongs to neither.
        let rest = match prefix.events {
            0 => rest,
            _ => rest.strip_prefix('\n').unwrap_or(rest),
        };
        Self {
            text: rest.to_owned(),
            events: self.events.saturating_sub(prefix.events),
            last_event: self.last_event,
            versions: self.versions.clone(),
        }
    }

    /// Adds the events of `more` at the end.
    pub fn extend(&mut self, more: Self) {
        if more.events == 0 {
            return;
        }
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(&more.text);
        self.events += more.events;
        self.last_event = more.last_event.or(self.last_event);
        for version in more.versions {
            if !self.versions.contains(&version) {
                self.versions.push(version);
            }
        }
    }

    /// Whether no event is of a version before `oldest`.
    pub(crate) fn is_made_since(&self, oldest: u64) -> bool {
        all_since(&self.versions, oldest)
    }

    /// All of it, as the log holds it.
    pub fn held(&self) -> HeldPrefix {
        HeldPrefix {
            extent: self.extent(),
            checksum: crc32fast::hash(self.text.as_bytes()),
        }
    }

    /// All of it, as a prefix.
    pub fn extent(&self) -> DurablePrefix {
        DurablePrefix {
            events: self.events,
            bytes: self.text.len(),
        }
    }
}

/// Whether no event is of a version before `oldest`.
pub(super) fn all_since(versions: &[u64], oldest: u64) -> bool {
    versions.iter().all(|version| *version >= oldest)
}
