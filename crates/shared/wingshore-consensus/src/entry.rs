//! Log entries, the hard state and snapshot contents, and their encodings.

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

/// Format version of the encoded hard state.
const HARD_STATE_FORMAT: u8 = 1;
/// Format version of the encoded snapshot contents.
const SNAPSHOT_FORMAT: u8 = 2;
/// The previous format version of snapshots, in which the length of the state precedes the state.
const SNAPSHOT_FORMAT_WITH_LENGTH: u8 = 1;
/// Maximum size of the part of a snapshot that precedes the state, in bytes: enough for some
/// thousand members.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// CodecError reports that a value could not be encoded, decoded or read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// A value cannot be encoded.
    #[snafu(display("{what} cannot be encoded: {source}"))]
    Encode {
        /// Kind of the value.
        what: &'static str,
        /// The codec's error.
        source: postcard::Error,
    },
    /// The bytes cannot be decoded.
    #[snafu(display("{what} cannot be decoded: {source}"))]
    Decode {
        /// Kind of the value.
        what: &'static str,
        /// The codec's error.
        source: postcard::Error,
    },
    /// The bytes cannot be read.
    #[snafu(display("{what} cannot be read: {reason}"))]
    Unreadable {
        /// Kind of the value.
        what: &'static str,
        /// Text of the I/O error.
        reason: String,
    },
    /// The value has another format version.
    #[snafu(display("{what} has format {found}; this program knows {known}"))]
    Format {
        /// Kind of the value.
        what: &'static str,
        /// The format version found.
        found: u8,
        /// The format version that this program supports.
        known: u8,
    },
    /// A log record has an unknown kind.
    #[snafu(display("log record {index} has no known kind"))]
    Kind {
        /// Index of the record.
        index: LogIndex,
    },
}

/// Kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The first entry of a term, which lets the leader commit earlier entries.
    Empty,
    /// A command for the replicated state machine.
    Command,
    /// A new membership, effective as soon as it is appended.
    Membership,
}

impl EntryKind {
    /// Returns the byte that stands for the kind on disk.
    fn code(self) -> u8 {
        match self {
            Self::Empty => 0,
            Self::Command => 1,
            Self::Membership => 2,
        }
    }

    /// Returns the kind that a byte on disk encodes; `None` if the byte is unknown.
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
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Kind of the entry.
    pub kind: EntryKind,
    /// The command, or the encoded membership.
    #[serde(with = "byte_vector")]
    pub data: Arc<[u8]>,
}

impl Entry {
    /// Returns an entry that contains `membership`.
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

    /// Returns the membership in this entry, or `None` for an entry of another kind.
    pub(crate) fn decode_membership(&self) -> Result<Option<Membership>, CodecError> {
        if self.kind != EntryKind::Membership {
            return Ok(None);
        }
        let what = "membership";
        postcard::from_bytes(&self.data)
            .map(Some)
            .context(DecodeSnafu { what })
    }

    /// Returns the size of the entry that counts towards limits, in bytes.
    pub fn size(&self) -> usize {
        /// Size of the index and the term: eight bytes each.
        const HEADER: usize = 16;
        HEADER + self.data.len()
    }

    /// Returns the log record: the kind byte, followed by the data.
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

    /// Decodes a log record.
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

/// HardState is the state that must survive a restart, besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    /// The latest term seen.
    pub(crate) term: u64,
    /// The candidate that this member voted for in `term`.
    pub(crate) vote: Option<ReplicaId>,
    /// Whether this member founded the group, or was named a learner since its data directory was
    /// empty. A member that is first named as a voter has lost an earlier disk with the votes
    /// recorded on it, and must never vote.
    pub(crate) enrolled: bool,
}

impl HardState {
    /// Encodes the hard state.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let what = "hard state";
        postcard::to_allocvec(&(HARD_STATE_FORMAT, self)).context(EncodeSnafu { what })
    }

    /// Decodes a hard state.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let what = "hard state";
        check_format(bytes, what, HARD_STATE_FORMAT)?;
        let (_, state): (u8, Self) = postcard::from_bytes(bytes).context(DecodeSnafu { what })?;
        Ok(state)
    }
}

/// SnapshotContents is the decoded content of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotContents {
    /// The membership as of the snapshot's index.
    pub(crate) membership: Membership,
    /// The encoded replicated state, which shares the bytes of the snapshot.
    pub(crate) state: SnapshotState,
}

impl SnapshotContents {
    /// Encodes a snapshot: the format version, the membership, and the state up to the end.
    pub(crate) fn encode(
        membership: &Membership,
        state: SnapshotState,
    ) -> Result<SnapshotData, CodecError> {
        let what = "snapshot";
        let head = encode_exactly(&(SNAPSHOT_FORMAT, membership)).context(EncodeSnafu { what })?;
        Ok(SnapshotData::new(head, state))
    }

    /// Decodes a stored snapshot.
    ///
    /// # Errors
    /// Returns an error if the bytes are damaged, have another format version, or cannot be read.
    pub(crate) fn decode(snapshot: &StoredSnapshot) -> Result<Self, CodecError> {
        let what = "snapshot";
        let head = snapshot.data.prefix(MAX_HEAD_BYTES);
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
        let state = snapshot.data.suffix((head.len() - rest.len()) as u64);
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

/// Checks the format version in the first byte of an encoded value.
fn check_format(bytes: &[u8], what: &'static str, known: u8) -> Result<(), CodecError> {
    let found = bytes.first().copied().unwrap_or_default();
    ensure!(found == known, FormatSnafu { what, found, known });
    Ok(())
}
