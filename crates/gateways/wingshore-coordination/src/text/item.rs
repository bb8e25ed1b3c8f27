//! Partial texts of items: how they are extended, and how much of them the group's log contains.

use serde::{Deserialize, Serialize};

/// Text of an item from its first event on, across all attempts that generated it.
///
/// The text is sent along with the item, so that a change of leader loses none of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemText {
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Number of events.
    pub events: u64,
    /// Identifier of the last event.
    pub last_event: Option<u64>,
    /// Weight versions that generated the events, in the order of their first event.
    pub versions: Vec<u64>,
}

/// Length of the part of an item's text that is in the group's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurablePrefix {
    /// Number of events.
    pub events: u64,
    /// Length of the text in bytes.
    pub bytes: usize,
}

/// Identifies the prefix of an item's text that is in the group's log; sent to a gateway that runs
/// the item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedPrefix {
    /// Length of the prefix.
    pub extent: DurablePrefix,
    /// CRC-32 of the prefix, since another attempt may have generated other events.
    pub checksum: u32,
}

impl LoggedPrefix {
    /// Returns whether `text` starts with this prefix.
    pub fn is_prefix_of(&self, text: &ItemText) -> bool {
        let begin = text.text.as_bytes().get(..self.extent.bytes);
        begin.is_some_and(|begin| crc32fast::hash(begin) == self.checksum)
    }

    /// Returns the prefix after the events of `more` are appended, as [`ItemText::extend`] does.
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
    /// Returns the events after `prefix` as a separate text.
    pub fn after(&self, prefix: DurablePrefix) -> Self {
        let rest = self.text.get(prefix.bytes..).unwrap_or_default();
        // The line feed between two events belongs to neither of them.
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

    /// Appends the events of `more`.
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

    /// Returns whether all events come from the version `oldest` or newer ones.
    pub(crate) fn all_versions_since(&self, oldest: u64) -> bool {
        all_since(&self.versions, oldest)
    }

    /// Returns the prefix that covers the complete text.
    pub fn logged_prefix(&self) -> LoggedPrefix {
        LoggedPrefix {
            extent: self.extent(),
            checksum: crc32fast::hash(self.text.as_bytes()),
        }
    }

    /// Returns the length of the complete text.
    pub fn extent(&self) -> DurablePrefix {
        DurablePrefix {
            events: self.events,
            bytes: self.text.len(),
        }
    }
}

/// Returns whether all events come from the version `oldest` or newer ones.
pub(super) fn all_since(versions: &[u64], oldest: u64) -> bool {
    versions.iter().all(|version| *version >= oldest)
}
