//! The bytes of a snapshot, encoded or read from disk only as they are needed.
//!
//! A state of many megabytes must not be in memory twice, once as itself and once encoded: it
//! is frozen (a copy that shares its large parts) and encoded while it is written or sent, and it
//! is read piece by piece where it is restored.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Cursor, Read, Write};
use std::sync::Arc;

/// Maximal bytes that are copied at a time.
const COPY_BYTES: usize = 256 << 10;

/// Bytes that are produced when they are read, each time the same ones.
pub trait FrozenState: Send + Sync {
    /// How many.
    fn length(&self) -> u64;

    /// All of them, from the first one on.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>>;

    /// The form for this machine's own disk, where that is another one: it refers to what is on that
    /// disk already.
    fn for_own_disk(self: Arc<Self>) -> Option<SnapshotState> {
        None
    }

    /// It is durable on this machine's disk, in the place of the snapshot before.
    fn written(&self) {}
}

/// An encoded state, or one that is encoded when it is read.
#[derive(Clone)]
pub enum SnapshotState {
    /// The bytes.
    Encoded(Bytes),
    /// Produced when they are read.
    Frozen(Arc<dyn FrozenState>),
}

impl SnapshotState {
    /// Bytes in all.
    pub fn length(&self) -> u64 {
        match self {
            Self::Encoded(bytes) => bytes.len() as u64,
            Self::Frozen(state) => state.length(),
        }
    }

    /// All bytes, from the first one on.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    pub fn reader(&self) -> io::Result<Box<dyn Read + Send>> {
        match self {
            Self::Encoded(bytes) => Ok(Box::new(Cursor::new(bytes.clone()))),
            Self::Frozen(state) => Arc::clone(state).reader(),
        }
    }

    /// All bytes, in memory.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
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
    /// States that cannot be read are equal to none.
    fn eq(&self, other: &Self) -> bool {
        self.length() == other.length()
            && matches!((self.to_bytes(), other.to_bytes()), (Ok(own), Ok(others)) if own == others)
    }
}

impl Eq for SnapshotState {}

/// A state after a head: all bytes of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotData {
    head: Bytes,
    state: SnapshotState,
}

impl SnapshotData {
    /// `state` after `head`.
    pub fn new(head: Vec<u8>, state: SnapshotState) -> Self {
        let head = head.into();
        Self { head, state }
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.head.len() as u64 + self.state.length()
    }

    /// All bytes, from the first one on.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    pub fn reader(&self) -> io::Result<Box<dyn Read + Send>> {
        let head = Cursor::new(self.head.clone());
        Ok(Box::new(head.chain(self.state.reader()?)))
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// When it cannot be read, or `out` fails.
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

    /// All bytes, in memory.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    pub fn to_bytes(&self) -> io::Result<Bytes> {
        if self.head.is_empty() {
            return self.state.to_bytes();
        }
        let mut bytes = Vec::new();
        self.reader()?.read_to_end(&mut bytes)?;
        Ok(bytes.into())
    }

    /// The first `length` bytes, or all if there are fewer.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    pub fn beginning(&self, length: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.reader()?.take(length).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    /// What follows the first `skipped` bytes.
    pub fn behind(&self, skipped: u64) -> SnapshotState {
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
        SnapshotState::Frozen(Arc::new(Tail { data, skipped }))
    }

    /// The form for this machine's own disk.
    pub fn for_own_disk(&self) -> Self {
        let state = match &self.state {
            SnapshotState::Frozen(state) => Arc::clone(state).for_own_disk(),
            SnapshotState::Encoded(_) => None,
        };
        Self {
            head: self.head.clone(),
            state: state.unwrap_or_else(|| self.state.clone()),
        }
    }

    /// It is durable on this machine's disk, in the place of the snapshot before.
    pub fn written(&self) {
        if let SnapshotState::Frozen(state) = &self.state {
            state.written();
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

/// What follows the first bytes of a snapshot.
struct Tail {
    data: SnapshotData,
    skipped: u64,
}

impl FrozenState for Tail {
    fn length(&self) -> u64 {
        self.data.length().saturating_sub(self.skipped)
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        let mut reader = self.data.reader()?;
        io::copy(&mut reader.by_ref().take(self.skipped), &mut io::sink())?;
        Ok(reader)
    }
}

/// Reads a snapshot part by part, mostly one after the other: only a part before the last one read
/// makes it begin anew.
pub struct PartReader {
    data: SnapshotData,
    open: Option<(u64, Box<dyn Read + Send>)>,
}

impl PartReader {
    /// Of `data`.
    pub fn new(data: SnapshotData) -> Self {
        Self { data, open: None }
    }

    /// At most `length` bytes from `offset` on; fewer at the end.
    ///
    /// # Errors
    /// When what they are made from cannot be read.
    pub fn part(&mut self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
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
