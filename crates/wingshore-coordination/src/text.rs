//! Texts of items: while they grow ([`ItemText`]), and whole and compressed as they are listed
//! ([`ResultText`]).
//!
//! A listed text is in memory or on this machine's disk; a [`crate::TextStore`] moves it, and readers do
//! not notice.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read, Write};
use std::sync::{Arc, PoisonError, RwLock};
use wingshore_types::blob::Blob;
use wingshore_types::protocol::byte_vector;

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
    pub fn begins(&self, text: &ItemText) -> bool {
        let begin = text.text.as_bytes().get(..self.extent.bytes);
        begin.is_some_and(|begin| crc32fast::hash(begin) == self.checksum)
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
        are_since(&self.versions, oldest)
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

impl FinishedText {
    /// Whether no event is of a version before `oldest`.
    pub(crate) fn is_made_since(&self, oldest: u64) -> bool {
        are_since(&self.versions, oldest)
    }
}

fn are_since(versions: &[u64], oldest: u64) -> bool {
    versions.iter().all(|version| *version >= oldest)
}

impl From<ItemText> for FinishedText {
    fn from(item: ItemText) -> Self {
        Self {
            text: ResultText::pack(&item.text),
            versions: item.versions,
        }
    }
}

/// A text that is kept for long and read seldom: compressed (DEFLATE, RFC 1951), in memory or on
/// disk. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ResultText {
    /// Bytes of the text itself.
    length: u64,
    packed: Arc<PackedText>,
}

/// The compressed bytes of a text.
#[derive(Debug, Default)]
pub struct PackedText {
    place: RwLock<TextPlace>,
}

/// Where the compressed bytes of a text are.
#[derive(Clone)]
pub enum TextPlace {
    /// In memory; none for an empty text.
    Memory(Arc<[u8]>),
    /// On this machine's disk.
    Disk(Arc<dyn Blob>),
}

/// A stored text cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TextError {
    /// Its bytes are not those of a text.
    #[snafu(display("a kept text of {length} bytes is damaged"))]
    Damaged {
        /// Bytes that it should have.
        length: u64,
    },
    /// Its bytes cannot be read.
    #[snafu(display("a kept text cannot be read: {reason}"))]
    Unreadable {
        /// From the disk.
        reason: String,
    },
}

impl Default for TextPlace {
    fn default() -> Self {
        Self::Memory(Arc::from([]))
    }
}

impl Debug for TextPlace {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Memory(bytes) => write!(formatter, "Memory({} bytes)", bytes.len()),
            Self::Disk(blob) => write!(formatter, "Disk({:?})", blob.place()),
        }
    }
}

impl TextPlace {
    /// The compressed bytes.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn read(&self) -> io::Result<Arc<[u8]>> {
        match self {
            Self::Memory(bytes) => Ok(Arc::clone(bytes)),
            Self::Disk(blob) => blob.read().map(Arc::from),
        }
    }

    /// Compressed bytes.
    pub fn length(&self) -> usize {
        match self {
            Self::Memory(bytes) => bytes.len(),
            Self::Disk(blob) => blob.place().length as usize,
        }
    }
}

impl PackedText {
    fn at(place: TextPlace) -> Arc<Self> {
        let place = RwLock::new(place);
        Arc::new(Self { place })
    }

    /// Where the bytes are now.
    pub fn place(&self) -> TextPlace {
        self.place
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The same bytes are on disk from now on.
    pub fn move_to(&self, blob: Arc<dyn Blob>) {
        let mut place = self.place.write().unwrap_or_else(PoisonError::into_inner);
        *place = TextPlace::Disk(blob);
    }
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
        let packed = written.and_then(|()| encoder.finish()).unwrap_or_default();
        Self::at(text.len() as u64, TextPlace::Memory(packed.into()))
    }

    /// A text of `length` bytes whose compressed bytes are at `place`.
    pub(crate) fn at(length: u64, place: TextPlace) -> Self {
        let packed = PackedText::at(place);
        Self { length, packed }
    }

    /// The text.
    ///
    /// # Errors
    /// When the stored bytes are damaged, or cannot be read.
    pub fn unpack(&self) -> Result<String, TextError> {
        let length = self.length;
        if length == 0 {
            return Ok(String::new());
        }
        let packed = self.packed.place().read();
        let packed = packed.map_err(|error| TextError::Unreadable {
            reason: error.to_string(),
        })?;
        let mut text = String::new();
        let decoder = DeflateDecoder::new(&packed[..]);
        let read = decoder.take(length + 1).read_to_string(&mut text);
        match read {
            Ok(_) if text.len() as u64 == length => Ok(text),
            _ => DamagedSnafu { length }.fail(),
        }
    }

    /// Bytes of the text itself.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Its compressed bytes.
    pub fn packed(&self) -> &Arc<PackedText> {
        &self.packed
    }

    /// Bytes of memory that its compressed bytes take.
    pub fn bytes_in_memory(&self) -> usize {
        match self.packed.place() {
            TextPlace::Memory(bytes) => bytes.len(),
            TextPlace::Disk(_) => 0,
        }
    }
}

impl PartialEq for ResultText {
    /// Texts that cannot be read are equal to none.
    fn eq(&self, other: &Self) -> bool {
        let places = (self.packed.place(), other.packed.place());
        let bytes = (places.0.read(), places.1.read());
        self.length == other.length && matches!(bytes, (Ok(own), Ok(others)) if own == others)
    }
}

impl Eq for ResultText {}

/// A text as it is sent: its length and its compressed bytes.
#[derive(Serialize, Deserialize)]
struct SentText {
    length: u64,
    #[serde(with = "byte_vector")]
    packed: Arc<[u8]>,
}

impl Serialize for ResultText {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let packed = self.packed.place().read();
        let sent = SentText {
            length: self.length,
            packed: packed.map_err(serde::ser::Error::custom)?,
        };
        sent.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ResultText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let SentText { length, packed } = SentText::deserialize(deserializer)?;
        Ok(Self::at(length, TextPlace::Memory(packed)))
    }
}
