//! Limits on how much of the log is sent, kept in memory and applied at once.
//!
//! Sizes are in bytes. The limits bound memory and the duration of one step; none of them affects
//! which entries are committed.

/// Maximum size of the entries in one append message, in bytes.
const APPEND_BYTES: usize = 256 * 1024;
/// Maximum number of append messages in flight to one follower. Small messages reach this limit
/// before [`IN_FLIGHT_BYTES`].
const IN_FLIGHT_MESSAGES: usize = 64;
/// Maximum size of the entries in flight to one follower, in bytes: sixteen full messages.
const IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// Size of a snapshot chunk, in bytes: the same as a full append message.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Number of snapshot chunks in flight to one follower.
const SNAPSHOT_CHUNKS_IN_FLIGHT: usize = 4;
/// Size of the entries that stay in the log when a snapshot is taken, in bytes.
const RETAINED_LOG_BYTES: usize = 1024 * 1024;
/// Size of the applied entries kept in memory, in bytes: what a follower misses that was away for
/// ten seconds at 1 MB of writes per second.
const CACHED_LOG_BYTES: usize = 10 * 1024 * 1024;
/// Maximum size of the entries applied between two flushes, in bytes. A member answers nothing
/// while it applies entries.
const APPLY_BYTES: usize = 512 * 1024;

/// Limits of message sizes, messages in flight and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the entries in one append message, in bytes. A single larger entry is sent
    /// alone.
    pub append_bytes: usize,
    /// Maximum number of append messages in flight to one follower.
    pub in_flight_messages: usize,
    /// Maximum size of the entries in flight to one follower, in bytes.
    pub in_flight_bytes: usize,
    /// Size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Number of snapshot chunks in flight to one follower. The window grows to a multiple of it on
    /// slow paths.
    pub snapshot_chunks_in_flight: usize,
    /// Size of the entries that stay in the log when a snapshot is taken, in bytes, so that a
    /// follower that is slightly behind needs no snapshot.
    pub retained_log_bytes: usize,
    /// Size of the applied entries kept in memory for followers that are behind, in bytes. The disk
    /// keeps more. A follower that needs older entries is sent a snapshot.
    pub cached_log_bytes: usize,
    /// Maximum size of the entries emitted for application between two flushes, in bytes, so that a
    /// member that applies a long log keeps answering. A single larger entry is emitted alone.
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
