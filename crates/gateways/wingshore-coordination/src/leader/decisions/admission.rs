//! Is a batch job taken now?
//!
//! Inputs: bytes of the job's contents, bytes of the contents of all open jobs, and how many they may
//! have together (a setting: a part of the process's memory).
//!
//! Rule: a job is taken where it fits beside the open ones; one that is alone is taken however large it
//! is, since the body that brought it is bounded. Any other is refused, and may be submitted again after
//! [`ROOM_RETRY_AFTER`].
//!
//! Why: the contents of a job stand in the state of each member until its caller ends it. Without a
//! bound, callers that submit faster than engines work would drive all members over their memory at
//! once, and with them what was accepted before.
//!
//! Old or missing inputs: a job that is proposed and not applied yet is not counted, so that some more
//! than the bound can be taken at one moment.

use std::time::Duration;

/// When a caller may submit a job again for which there was no room: jobs end after seconds.
pub(crate) const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a job of `bytes` is taken beside open ones of `open_bytes`.
pub(crate) fn has_room(bytes: usize, open_bytes: usize, max_open_bytes: usize) -> bool {
    open_bytes == 0 || open_bytes.saturating_add(bytes) <= max_open_bytes
}
