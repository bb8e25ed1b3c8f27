//! Snapshots of the replicated state: a stream of records that are written and read one at a time.
//!
//! A result's compressed text follows its record; in the form for the local disk, the record may
//! contain the text's location there instead. So neither the texts nor the encoding of a large
//! state have to fit into memory, and texts that are already on disk are not written again.

mod read;
mod records;
mod write;

pub(super) use read::restore;
pub(super) use write::FrozenCoordination;
