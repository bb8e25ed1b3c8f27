//! Texts of items: while they grow, and as they are listed.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::io::{Read, Write};
use wingshore_types::protocol::byte_vector;

/// Text of an item from its first event on, over all tries that made it.
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

/// The first events of an item as the group's log holds them, told to a gateway that runs the item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPrefix {
    /// How much it is.
    pub extent: DurablePrefix,
    /// CRC-32 of its text: another attempt may have made other events.
    pub checksum: u32,
}

impl HeldPrefix {
    /// Whether `text` begins with it.
    pub fn begins(&self, text: &ItemText) -> bool {
        let begin = text.text.as_bytes().get(..self.extent.bytes);
        begin.is_some_and(|begin| crc32fast::hash(begin) == self.checksum)
    }
}

impl ItemText {
    /// The events behind `prefix`, as a text of their own.
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

/// The whole text of an item whose stream has ended, as it is listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedText {
    /// The text.
    pub text: ResultText,
    /// The weight versions that made it, in the order of their first event.
    pub versions: Vec<u64>,
}

impl From<ItemText> for FinishedText {
    fn from(item: ItemText) -> Self {
        Self {
            text: ResultText::pack(&item.text),
            versions: item.versions,
        }
    }
}

/// A text that is kept for long and read seldom: compressed (DEFLATE, RFC 1951).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultText {
    /// Bytes of the text itself.
    length: u64,
    /// The compressed bytes; none for an empty text.
    #[serde(with = "byte_vector")]
    packed: Vec<u8>,
}

/// A kept text cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a kept text of {length} bytes is damaged"))]
pub struct TextError {
    /// Bytes that it should have.
    length: u64,
}

impl ResultText {
    /// Keeps `text`.
    pub fn pack(text: &str) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // A vector takes all that is written to it.
        let written = encoder.write_all(text.as_bytes());
        let mut packed = written.and_then(|()| encoder.finish()).unwrap_or_default();
        packed.shrink_to_fit();
        Self {
            length: text.len() as u64,
            packed,
        }
    }

    /// The text.
    ///
    /// # Errors
    /// When the kept bytes are damaged.
    pub fn unpack(&self) -> Result<String, TextError> {
        let length = self.length;
        if length == 0 {
            return Ok(String::new());
        }
        let mut text = String::new();
        let decoder = DeflateDecoder::new(self.packed.as_slice());
        let read = decoder.take(length + 1).read_to_string(&mut text);
        match read {
            Ok(_) if text.len() as u64 == length => Ok(text),
            _ => TextSnafu { length }.fail(),
        }
    }

    /// Bytes of the text itself.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Bytes of the text as it is kept.
    pub fn packed_length(&self) -> usize {
        self.packed.len()
    }
}
