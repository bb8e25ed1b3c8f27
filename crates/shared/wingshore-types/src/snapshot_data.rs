//! Snapshot data that is encoded or read from disk on demand.
//!
//! A state of many megabytes must not be in memory twice, once in use and once encoded. So a
//! snapshot is a frozen copy that shares the large parts of the state. The copy is encoded while it
//! is written or sent, and it is read incrementally when the state is restored.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Cursor, Read, Write};
use std::sync::Arc;

/// Size of the copy buffer, in bytes.
const COPY_BYTES: usize = 256 << 10;

/// A byte sequence that is produced on each read and is always the same.
pub trait FrozenState: Send + Sync {
    /// Returns the total length, in bytes.
    fn length(&self) -> u64;

    /// Returns a reader of all bytes, positioned at the start.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>>;

    /// Returns the form to store on the local disk, if it differs: it references data that is on
    /// that disk already.
    fn for_local_disk(self: Arc<Self>) -> Option<SnapshotState> {
        None
    }

    /// Called once the snapshot is durable on the local disk and has replaced the previous one.
    fn on_durable(&self) {}
}

/// A state that is either encoded already or encoded on each read.
#[derive(Clone)]
pub enum SnapshotState {
    /// The encoded bytes.
    Encoded(Bytes),
    /// The bytes are produced on each read.
    Frozen(Arc<dyn FrozenState>),
}

impl SnapshotState {
    /// Returns the total length, in bytes.
    pub fn length(&self) -> u64 {
        match self {
            Self::Encoded(bytes) => bytes.len() as u64,
            Self::Frozen(state) => state.length(),
        }
    }

    /// Returns a reader of all bytes, positioned at the start.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn reader(&self) -> io::Result<Box<dyn Read + Send>> {
        match self {
            Self::Encoded(bytes) => Ok(Box::new(Cursor::new(bytes.clone()))),
            Self::Frozen(state) => Arc::clone(state).reader(),
        }
    }

    /// Returns all bytes in memory.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn to_bytes(&self) -> io::Result<Bytes> {
        if let Self::Encoded(bytes) = self {
            return Ok(bytes.clone());
        }
        let mut bytes = Vec::new();
        self.reader()?.read_to_end(&mut bytes)?;
        Ok(bytes.into())
    }
}

impl From<Vec<u8>> for SnapshotState {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Encoded(bytes.into())
    }
}

impl Debug for SnapshotState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "SnapshotState({} bytes)", self.length())
    }
}

impl PartialEq for SnapshotState {
    /// Compares the bytes. A state that cannot be read is equal to no state.
    fn eq(&self, other: &Self) -> bool {
        self.length() == other.length()
            && matches!((self.to_bytes(), other.to_bytes()), (Ok(own), Ok(others)) if own == others)
    }
}

impl Eq for SnapshotState {}

/// The complete data of a snapshot: a header (`head`) followed by the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotData {
    head: Bytes,
    state: SnapshotState,
}

impl SnapshotData {
    /// Creates the data of `head` followed by `state`.
    pub fn new(head: Vec<u8>, state: SnapshotState) -> Self {
        let head = head.into();
        Self { head, state }
    }

    /// Returns the total length, in bytes.
    pub fn length(&self) -> u64 {
        self.head.len() as u64 + self.state.length()
    }

    /// Returns a reader of all bytes, positioned at the start.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn reader(&self) -> io::Result<Box<dyn Read + Send>> {
        let head = Cursor::new(self.head.clone());
        Ok(Box::new(head.chain(self.state.reader()?)))
    }

    /// Writes all bytes to `out`.
    ///
    /// # Errors
    /// Returns an error if the data cannot be read or `out` fails.
    pub fn write_to(&self, out: &mut dyn Write) -> io::Result<()> {
        let mut reader = self.reader()?;
        let mut buffer = vec![0; COPY_BYTES];
        loop {
            match reader.read(&mut buffer)? {
                0 => return Ok(()),
                count => out.write_all(&buffer[..count])?,
            }
        }
    }

    /// Returns all bytes in memory.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn to_bytes(&self) -> io::Result<Bytes> {
        if self.head.is_empty() {
            return self.state.to_bytes();
        }
        let mut bytes = Vec::new();
        self.reader()?.read_to_end(&mut bytes)?;
        Ok(bytes.into())
    }

    /// Returns the first `length` bytes, or all bytes if there are fewer.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn prefix(&self, length: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.reader()?.take(length).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    /// Returns the data after the first `skipped` bytes.
    pub fn suffix(&self, skipped: u64) -> SnapshotState {
        if skipped == self.head.len() as u64 {
            return self.state.clone();
        }
        if let SnapshotState::Encoded(bytes) = &self.state
            && self.head.is_empty()
        {
            let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
            return SnapshotState::Encoded(bytes.slice(skipped.min(bytes.len())..));
        }
        let data = self.clone();
        SnapshotState::Frozen(Arc::new(Suffix { data, skipped }))
    }

    /// Returns the form to store on the local disk.
    pub fn for_local_disk(&self) -> Self {
        let state = match &self.state {
            SnapshotState::Frozen(state) => Arc::clone(state).for_local_disk(),
            SnapshotState::Encoded(_) => None,
        };
        Self {
            head: self.head.clone(),
            state: state.unwrap_or_else(|| self.state.clone()),
        }
    }

    /// Called once the snapshot is durable on the local disk and has replaced the previous one.
    pub fn on_durable(&self) {
        if let SnapshotState::Frozen(state) = &self.state {
            state.on_durable();
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

impl From<SnapshotState> for SnapshotData {
    fn from(state: SnapshotState) -> Self {
        Self::new(Vec::new(), state)
    }
}

impl Serialize for SnapshotData {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = self.to_bytes().map_err(serde::ser::Error::custom)?;
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for SnapshotData {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        crate::protocol::byte_vector::deserialize(deserializer)
    }
}

/// The data of a snapshot after its first `skipped` bytes.
struct Suffix {
    data: SnapshotData,
    skipped: u64,
}

impl FrozenState for Suffix {
    fn length(&self) -> u64 {
        self.data.length().saturating_sub(self.skipped)
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        let mut reader = self.data.reader()?;
        io::copy(&mut reader.by_ref().take(self.skipped), &mut io::sink())?;
        Ok(reader)
    }
}

/// Reads parts of a snapshot, optimized for sequential access: reading restarts from the beginning
/// only for a part before the current position.
pub struct PartReader {
    data: SnapshotData,
    open: Option<(u64, Box<dyn Read + Send>)>,
}

impl PartReader {
    /// Creates a reader of `data`.
    pub fn new(data: SnapshotData) -> Self {
        Self { data, open: None }
    }

    /// Returns up to `length` bytes from `offset` on; fewer at the end of the snapshot.
    ///
    /// # Errors
    /// Returns an error if the source of the bytes cannot be read.
    pub fn read_part(&mut self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let (position, mut reader) = match self.open.take() {
            Some((position, reader)) if position <= offset => (position, reader),
            _ => (0, self.data.reader()?),
        };
        io::copy(
            &mut reader.by_ref().take(offset - position),
            &mut io::sink(),
        )?;
        let mut bytes = Vec::with_capacity(length);
        reader
            .by_ref()
            .take(length as u64)
            .read_to_end(&mut bytes)?;
        self.open = Some((offset + bytes.len() as u64, reader));
        Ok(bytes)
    }
}

impl Debug for PartReader {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let position = self.open.as_ref().map(|(position, _)| *position);
        write!(formatter, "PartReader({:?} at {position:?})", self.data)
    }
}
