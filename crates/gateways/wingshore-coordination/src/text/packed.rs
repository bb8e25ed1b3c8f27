//! Compressed texts, in memory or on the local disk.

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

/// A text that is stored for long and read rarely: compressed (DEFLATE, RFC 1951), in memory or on
/// disk. Clones share the compressed bytes.
#[derive(Clone, Debug, Default)]
pub struct ResultText {
    /// Length of the uncompressed text in bytes.
    length: u64,
    packed: Arc<PackedText>,
}

/// The compressed bytes of a text.
#[derive(Debug, Default)]
pub struct PackedText {
    place: RwLock<TextPlace>,
}

/// Location of the compressed bytes of a text.
#[derive(Clone)]
pub enum TextPlace {
    /// In memory; no bytes for an empty text.
    Memory(Arc<[u8]>),
    /// On the local disk.
    Disk(Arc<dyn Blob>),
}

/// Error while reading a stored text.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TextError {
    /// The stored bytes do not decompress to a text of the expected length.
    #[snafu(display("the stored text of {length} bytes is damaged"))]
    Damaged {
        /// Expected length of the text in bytes.
        length: u64,
    },
    /// The stored bytes cannot be read.
    #[snafu(display("the stored text cannot be read: {reason}"))]
    Unreadable {
        /// Error of the disk.
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
    /// Returns the compressed bytes.
    ///
    /// # Errors
    /// Returns the error of the disk if reading fails.
    pub fn read(&self) -> io::Result<Arc<[u8]>> {
        match self {
            Self::Memory(bytes) => Ok(Arc::clone(bytes)),
            Self::Disk(blob) => blob.read().map(Arc::from),
        }
    }

    /// Returns the number of compressed bytes.
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

    /// Returns the current location of the bytes.
    pub fn place(&self) -> TextPlace {
        self.place
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the location by a copy of the same bytes on disk.
    pub fn move_to(&self, blob: Arc<dyn Blob>) {
        let mut place = self.place.write().unwrap_or_else(PoisonError::into_inner);
        *place = TextPlace::Disk(blob);
    }
}

impl ResultText {
    /// Compresses `text`.
    pub fn pack(text: &str) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to a vector never fails.
        let written = encoder.write_all(text.as_bytes());
        let packed = written.and_then(|()| encoder.finish()).unwrap_or_default();
        Self::at(text.len() as u64, TextPlace::Memory(packed.into()))
    }

    /// Creates a text of `length` bytes whose compressed bytes are at `place`.
    pub(crate) fn at(length: u64, place: TextPlace) -> Self {
        let packed = PackedText::at(place);
        Self { length, packed }
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    /// Returns an error if the stored bytes are damaged or cannot be read.
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

    /// Returns the length of the uncompressed text in bytes.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Returns the compressed bytes.
    pub fn packed(&self) -> &Arc<PackedText> {
        &self.packed
    }

    /// Returns the memory of the compressed bytes; 0 if they are on disk.
    pub fn bytes_in_memory(&self) -> usize {
        match self.packed.place() {
            TextPlace::Memory(bytes) => bytes.len(),
            TextPlace::Disk(_) => 0,
        }
    }
}

impl PartialEq for ResultText {
    /// A text that cannot be read is equal to no other.
    fn eq(&self, other: &Self) -> bool {
        let places = (self.packed.place(), other.packed.place());
        let bytes = (places.0.read(), places.1.read());
        self.length == other.length && matches!(bytes, (Ok(own), Ok(others)) if own == others)
    }
}

impl Eq for ResultText {}

/// Serialized form of a text: its length and its compressed bytes.
#[derive(Serialize, Deserialize)]
struct EncodedText {
    length: u64,
    #[serde(with = "byte_vector")]
    packed: Arc<[u8]>,
}

impl Serialize for ResultText {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let packed = self.packed.place().read();
        let sent = EncodedText {
            length: self.length,
            packed: packed.map_err(serde::ser::Error::custom)?,
        };
        sent.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ResultText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let EncodedText { length, packed } = EncodedText::deserialize(deserializer)?;
        Ok(Self::at(length, TextPlace::Memory(packed)))
    }
}
