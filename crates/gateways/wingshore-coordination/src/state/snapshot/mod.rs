//! The replicated state as a snapshot: a stream of records, written and read one at a time.
//!
//! A result's compressed text follows its record as it is, or, in the form for this machine's own
//! disk, only its place there. So neither the texts of a state of many megabytes nor its encoding have
//! to be in memory, and texts that are on disk are not written again.

mod read;
mod records;
mod write;

pub(super) use read::restore;
pub(super) use write::FrozenCoordination;
