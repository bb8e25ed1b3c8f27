//! Decides whether a batch job is accepted.
//!
//! Inputs: the size of the job's contents in bytes, the size of the contents of all open jobs, and
//! the limit for their sum (a setting: a part of the process's memory).
//!
//! Rule: a job is accepted if the sum of its size and that of the open jobs is within the limit. If
//! no other job is open, it is accepted whatever its size, since the size of the request body is
//! limited. Any other job is refused and may be submitted again
//! ([`return_times`](super::return_times)).
//!
//! Rationale: each member keeps the contents of a job in its state until the caller ends the job.
//! Without a limit, callers that submit faster than engines work would exhaust the memory of all
//! members at the same time, and jobs that were accepted before would be lost with them.
//!
//! Stale or missing inputs: a job that is proposed but not yet applied is not counted, so the limit
//! can be exceeded briefly.

/// Returns whether a job of `bytes` fits beside open jobs of `open_bytes` in total.
pub(crate) fn has_room(bytes: usize, open_bytes: usize, max_open_bytes: usize) -> bool {
    open_bytes == 0 || open_bytes.saturating_add(bytes) <= max_open_bytes
}
