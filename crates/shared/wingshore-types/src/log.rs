//! What the replicated log asks of durable storage, as plain data.

use crate::ids::LogIndex;
use crate::snapshot_data::SnapshotData;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One log entry in its form on disk; the payload's format belongs to the consensus crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub index: LogIndex,
    /// The leadership that wrote it.
    pub term: u64,
    /// The encoded payload.
    #[serde(with = "crate::protocol::byte_vector")]
    pub data: Vec<u8>,
}

/// A snapshot in its form on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// The last entry it contains.
    pub index: LogIndex,
    /// That entry's term.
    pub term: u64,
    /// Membership and state, encoded by the consensus crate.
    pub data: SnapshotData,
}

/// Changes to durable storage. They are made in the order of the fields, and all of them are
/// durable when the write is reported as persisted; a crash may leave any prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Replaces the hard state (term and vote), encoded by the consensus crate.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces the snapshot; shared, since it may be large.
    pub snapshot: Option<Arc<StoredSnapshot>>,
    /// Removes the records from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Adds records; the first one follows the last one kept.
    pub append: Vec<LogRecord>,
    /// Lets records up to this index go; they are covered by a durable snapshot.
    pub discard_through: Option<LogIndex>,
}

/// What a start finds on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The hard state, when one was ever written.
    pub hard_state: Option<Vec<u8>>,
    /// The snapshot, when one was ever written.
    pub snapshot: Option<StoredSnapshot>,
    /// Records in order, without gaps.
    pub records: Vec<LogRecord>,
}
