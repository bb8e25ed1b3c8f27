//! The bytes of a snapshot, encoded only as they are needed.
//!
//! A state of many megabytes must not stand in memory twice, once as itself and once encoded: it
//! is frozen (a copy that shares its large parts) and encoded while it is written or sent.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Write};
use std::sync::Arc;

/// A value that is encoded when its bytes are needed, each time to the same bytes.
pub trait FrozenState: Send + Sync {
    /// Writes all of it.
    ///
    /// # Errors
    /// When `out` fails.
    fn write_to(&self, out: &mut dyn Write) -> io::Result<()>;
}

/// An encoded state, or one that is encoded when it is read.
#[derive(Clone)]
pub enum SnapshotState {
    /// The bytes.
    Encoded(Bytes),
    /// Encoded when it is read.
    Frozen {
        /// The state.
        state: Arc<dyn FrozenState>,
        /// Bytes that it encodes to.
        length: u64,
    },
}

impl SnapshotState {
    /// A state that is encoded when it is read.
    ///
    /// # Errors
    /// When it does not encode.
    pub fn frozen(state: Arc<dyn FrozenState>) -> io::Result<Self> {
        let mut counter = Counter(0);
        state.write_to(&mut counter)?;
        let length = counter.0;
        Ok(Self::Frozen { state, length })
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        match self {
            Self::Encoded(bytes) => bytes.len() as u64,
            Self::Frozen { length, .. } => *length,
        }
    }

    fn write_to(&self, out: &mut dyn Write) -> io::Result<()> {
        match self {
            Self::Encoded(bytes) => out.write_all(bytes),
            Self::Frozen { state, .. } => state.write_to(out),
        }
    }
}

impl From<Vec<u8>> for SnapshotState {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Encoded(bytes.into())
    }
}

/// A state behind a head: all bytes of a snapshot.
#[derive(Clone)]
pub struct SnapshotData {
    head: Vec<u8>,
    state: SnapshotState,
}

impl SnapshotData {
    /// `state` behind `head`.
    pub fn new(head: Vec<u8>, state: SnapshotState) -> Self {
        Self { head, state }
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.head.len() as u64 + self.state.length()
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// When `out` fails.
    pub fn write_to(&self, out: &mut dyn Write) -> io::Result<()> {
        out.write_all(&self.head)?;
        self.state.write_to(out)
    }

    /// At most `length` bytes from `offset` on; fewer at the end.
    pub fn part(&self, offset: u64, length: usize) -> Vec<u8> {
        let mut window = Window {
            skip: offset,
            length,
            bytes: Vec::with_capacity(length),
        };
        // It fails only once the window is full.
        let _ = self.write_to(&mut window);
        window.bytes
    }

    /// All bytes.
    pub fn to_bytes(&self) -> Bytes {
        match &self.state {
            SnapshotState::Encoded(bytes) if self.head.is_empty() => bytes.clone(),
            _ => {
                let length = usize::try_from(self.length()).unwrap_or(usize::MAX);
                self.part(0, length).into()
            }
        }
    }
}

impl From<Bytes> for SnapshotData {
    fn from(bytes: Bytes) -> Self {
        Self::new(Vec::new(), SnapshotState::Encoded(bytes))
    }
}

impl From<Vec<u8>> for SnapshotData {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl Debug for SnapshotData {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "SnapshotData({} bytes)", self.length())
    }
}

impl PartialEq for SnapshotData {
    fn eq(&self, other: &Self) -> bool {
        self.length() == other.length() && self.to_bytes() == other.to_bytes()
    }
}

impl Eq for SnapshotData {}

impl Serialize for SnapshotData {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.to_bytes())
    }
}

impl<'de> Deserialize<'de> for SnapshotData {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        crate::protocol::byte_vector::deserialize(deserializer)
    }
}

/// Counts what is written.
struct Counter(u64);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Takes a part of what is written, and refuses more behind it.
struct Window {
    skip: u64,
    length: usize,
    bytes: Vec<u8>,
}

impl Write for Window {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let skipped = self.skip.min(bytes.len() as u64);
        self.skip -= skipped;
        // Bounded by the length of a slice.
        let rest = &bytes[skipped as usize..];
        let space = self.length - self.bytes.len();
        if space == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.bytes.extend_from_slice(&rest[..rest.len().min(space)]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
