//! How much of the log is sent, kept in memory and applied at once.
//!
//! Sizes are in bytes. The limits bound memory and the time that one step takes; none of them decides
//! what is committed.

/// Bytes of entries in one append message.
const APPEND_BYTES: usize = 256 * 1024;
/// Append messages under way to one follower; small ones reach it before [`IN_FLIGHT_BYTES`].
const IN_FLIGHT_MESSAGES: usize = 64;
/// Bytes of entries under way to one follower: sixteen full messages.
const IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a snapshot chunk: as long as a full append message.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Snapshot chunks under way to one follower.
const SNAPSHOT_CHUNKS_IN_FLIGHT: usize = 4;
/// Bytes of entries kept in the log behind a snapshot.
const RETAINED_LOG_BYTES: usize = 1024 * 1024;
/// Bytes of applied entries kept in memory: what a follower lacks that was away for ten seconds in
/// which 1 MB was written each second.
const CACHED_LOG_BYTES: usize = 10 * 1024 * 1024;
/// Bytes of entries applied between two flushes: a member answers nothing while it applies.
const APPLY_BYTES: usize = 512 * 1024;

/// Limits of messages and of what is under way to one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximal bytes of entries in one append message; a single larger entry goes alone.
    pub append_bytes: usize,
    /// Maximal number of append messages under way to one follower.
    pub in_flight_messages: usize,
    /// Maximal bytes of entries under way to one follower.
    pub in_flight_bytes: usize,
    /// Bytes of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Maximal number of snapshot chunks under way to one follower.
    pub snapshot_chunks_in_flight: usize,
    /// Bytes of entries kept in the log behind a snapshot, so that a follower that is a little
    /// behind needs no snapshot.
    pub retained_log_bytes: usize,
    /// Bytes of applied entries kept in memory for followers that are behind; the disk keeps more.
    /// A follower that needs older ones is sent the whole state.
    pub cached_log_bytes: usize,
    /// Maximal bytes of entries given out to be applied between two flushes, so that a member that
    /// applies a long log goes on answering meanwhile; a single larger entry goes alone.
    pub apply_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: APPEND_BYTES,
            in_flight_messages: IN_FLIGHT_MESSAGES,
            in_flight_bytes: IN_FLIGHT_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            snapshot_chunks_in_flight: SNAPSHOT_CHUNKS_IN_FLIGHT,
            retained_log_bytes: RETAINED_LOG_BYTES,
            cached_log_bytes: CACHED_LOG_BYTES,
            apply_bytes: APPLY_BYTES,
        }
    }
}
