//! Data types of the interface between the replicated log and durable storage.

use crate::ids::LogIndex;
use crate::snapshot_data::SnapshotData;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A log entry in its on-disk form. The consensus crate defines the payload format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The index of the entry.
    pub index: LogIndex,
    /// The consensus term of the leader that created the entry.
    pub term: u64,
    /// The encoded payload.
    #[serde(with = "crate::protocol::byte_vector")]
    pub data: Vec<u8>,
}

/// A snapshot in its on-disk form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// The index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: u64,
    /// The membership and the state, encoded by the consensus crate.
    pub data: SnapshotData,
}

/// A batch of changes to durable storage. They are applied in the order of the fields, and all of
/// them are durable once the write is reported as persisted. A crash may leave any prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Replaces the hard state (term and vote), encoded by the consensus crate.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces the snapshot, which is shared because it may be large.
    pub snapshot: Option<Arc<StoredSnapshot>>,
    /// Removes the records from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Appends records; the first one follows the last remaining record.
    pub append: Vec<LogRecord>,
    /// Discards records up to and including this index; a durable snapshot must cover them.
    pub discard_through: Option<LogIndex>,
}

/// The durable state that is recovered from disk at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The hard state, if one was written.
    pub hard_state: Option<Vec<u8>>,
    /// The snapshot, if one was written.
    pub snapshot: Option<StoredSnapshot>,
    /// The records in order of their indexes, without gaps.
    pub records: Vec<LogRecord>,
}
