//! Log entries, the hard state and snapshot contents, and how they are encoded.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::io;
use std::sync::Arc;
use wingshore_types::codec::encode_exactly;
use wingshore_types::log::{LogRecord, StoredSnapshot};
use wingshore_types::protocol::byte_vector;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_data::{SnapshotData, SnapshotState};
use wingshore_types::{LogIndex, ReplicaId};

/// Format of the encoded hard state.
const HARD_STATE_FORMAT: u8 = 1;
/// Format of the encoded snapshot contents.
const SNAPSHOT_FORMAT: u8 = 2;
/// The format before: the length of the state comes before the state.
const SNAPSHOT_FORMAT_WITH_LENGTH: u8 = 1;
/// Maximal bytes before the state of a snapshot: some thousand members.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// Bytes could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// A value does not encode.
    #[snafu(display("{what} cannot be encoded: {source}"))]
    Encode {
        /// Which kind of value.
        what: &'static str,
        /// From the codec.
        source: postcard::Error,
    },
    /// Bytes do not decode.
    #[snafu(display("{what} cannot be decoded: {source}"))]
    Decode {
        /// Which kind of value.
        what: &'static str,
        /// From the codec.
        source: postcard::Error,
    },
    /// Bytes cannot be read.
    #[snafu(display("{what} cannot be read: {reason}"))]
    Unreadable {
        /// Which kind of value.
        what: &'static str,
        /// From the disk.
        reason: String,
    },
    /// Bytes of another format version.
    #[snafu(display("{what} has format {found}; this program knows {known}"))]
    Format {
        /// Which kind of value.
        what: &'static str,
        /// The format found.
        found: u8,
        /// The format this program knows.
        known: u8,
    },
    /// A record of an unknown kind.
    #[snafu(display("log record {index} has no known kind"))]
    Kind {
        /// The record.
        index: LogIndex,
    },
}

/// What an entry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The first entry of a term; lets the leader commit what came before.
    Empty,
    /// A command for the replicated state.
    Command,
    /// A new membership, effective from when it is appended.
    Membership,
}

impl EntryKind {
    /// The kind's byte on disk.
    fn code(self) -> u8 {
        match self {
            Self::Empty => 0,
            Self::Command => 1,
            Self::Membership => 2,
        }
    }

    /// The kind of a byte on disk.
    fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::Empty),
            1 => Some(Self::Command),
            2 => Some(Self::Membership),
            _ => None,
        }
    }
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it is for.
    pub kind: EntryKind,
    /// The command, or the encoded membership.
    #[serde(with = "byte_vector")]
    pub data: Arc<[u8]>,
}

impl Entry {
    /// An entry that holds a membership.
    pub(crate) fn membership(
        index: LogIndex,
        term: u64,
        membership: &Membership,
    ) -> Result<Self, CodecError> {
        let what = "membership";
        let data = postcard::to_allocvec(membership).context(EncodeSnafu { what })?;
        Ok(Self {
            index,
            term,
            kind: EntryKind::Membership,
            data: data.into(),
        })
    }

    /// The membership it holds, when it holds one.
    pub(crate) fn decode_membership(&self) -> Result<Option<Membership>, CodecError> {
        if self.kind != EntryKind::Membership {
            return Ok(None);
        }
        let what = "membership";
        postcard::from_bytes(&self.data)
            .map(Some)
            .context(DecodeSnafu { what })
    }

    /// Bytes it counts for in limits.
    pub fn size(&self) -> usize {
        /// Bytes of index and term, eight each.
        const HEADER: usize = 16;
        HEADER + self.data.len()
    }

    /// Its form on disk: the kind's byte, then the data.
    pub(crate) fn to_record(&self) -> LogRecord {
        let mut data = Vec::with_capacity(self.data.len() + 1);
        data.push(self.kind.code());
        data.extend_from_slice(&self.data);
        LogRecord {
            index: self.index,
            term: self.term,
            data,
        }
    }

    /// From disk.
    pub(crate) fn from_record(record: &LogRecord) -> Result<Self, CodecError> {
        let index = record.index;
        let Some((code, data)) = record.data.split_first() else {
            return KindSnafu { index }.fail();
        };
        let Some(kind) = EntryKind::from_code(*code) else {
            return KindSnafu { index }.fail();
        };
        Ok(Self {
            index,
            term: record.term,
            kind,
            data: data.into(),
        })
    }
}

/// What must survive a restart besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    /// The latest term seen.
    pub(crate) term: u64,
    /// The candidate that got this member's vote in `term`.
    pub(crate) vote: Option<ReplicaId>,
    /// Whether this member founded the group or was named a learner since its folder was empty.
    /// One that is first named as a voter has lost an older disk, and its promises with it: it
    /// must never vote.
    pub(crate) enrolled: bool,
}

impl HardState {
    /// As bytes.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let what = "hard state";
        postcard::to_allocvec(&(HARD_STATE_FORMAT, self)).context(EncodeSnafu { what })
    }

    /// From bytes.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let what = "hard state";
        check_format(bytes, what, HARD_STATE_FORMAT)?;
        let (_, state): (u8, Self) = postcard::from_bytes(bytes).context(DecodeSnafu { what })?;
        Ok(state)
    }
}

/// What a snapshot's bytes hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotContents {
    /// The members as of the snapshot's index.
    pub(crate) membership: Membership,
    /// The replicated state, as it encodes itself; shares the snapshot's bytes.
    pub(crate) state: SnapshotState,
}

impl SnapshotContents {
    /// The bytes of a snapshot: the format, the members, and the state to the end.
    pub(crate) fn encode(
        membership: &Membership,
        state: SnapshotState,
    ) -> Result<SnapshotData, CodecError> {
        let what = "snapshot";
        let head = encode_exactly(&(SNAPSHOT_FORMAT, membership)).context(EncodeSnafu { what })?;
        Ok(SnapshotData::new(head, state))
    }

    /// The contents of a stored snapshot.
    ///
    /// # Errors
    /// When the bytes are damaged, of another format version, or cannot be read.
    pub(crate) fn decode(snapshot: &StoredSnapshot) -> Result<Self, CodecError> {
        let what = "snapshot";
        let head = snapshot.data.beginning(MAX_HEAD_BYTES);
        let head = head.map_err(|error| unreadable(what, &error))?;
        let has_length = head.first() == Some(&SNAPSHOT_FORMAT_WITH_LENGTH);
        if !has_length {
            check_format(&head, what, SNAPSHOT_FORMAT)?;
        }
        let ((_, membership), mut rest): ((u8, Membership), &[u8]) =
            postcard::take_from_bytes(&head).context(DecodeSnafu { what })?;
        let mut length = None;
        if has_length {
            let (value, after) =
                postcard::take_from_bytes::<u64>(rest).context(DecodeSnafu { what })?;
            (length, rest) = (Some(value), after);
        }
        let state = snapshot.data.behind((head.len() - rest.len()) as u64);
        if length.is_some_and(|length| length != state.length()) {
            let source = postcard::Error::DeserializeUnexpectedEnd;
            return Err(source).context(DecodeSnafu { what });
        }
        Ok(Self { membership, state })
    }
}

fn unreadable(what: &'static str, error: &io::Error) -> CodecError {
    let reason = error.to_string();
    CodecError::Unreadable { what, reason }
}

/// Checks the format byte that leads encoded values.
fn check_format(bytes: &[u8], what: &'static str, known: u8) -> Result<(), CodecError> {
    let found = bytes.first().copied().unwrap_or_default();
    ensure!(found == known, FormatSnafu { what, found, known });
    Ok(())
}
