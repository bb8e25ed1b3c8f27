//! Records of a snapshot's stream, and the format versions.

use crate::ids::ItemId;
use crate::jobs::{ItemState, Job};
use crate::state::earlier::EarlierState;
use crate::state::evidence::RequestEvidence;
use crate::state::site::CoordinationState;
use serde::{Deserialize, Serialize};
use wingshore_types::blob::BlobPlace;

/// Current format version; the first byte of the stream.
pub(super) const FORMAT: u8 = 4;
/// Oldest format that consists of records: everything but jobs is in [`Record::SiteEarlier`].
pub(super) const OLDEST_RECORD_FORMAT: u8 = 2;
/// Largest first byte of the oldest format, which encodes the state as one value; the first byte is
/// 0 or 1 and tells whether there is a configuration.
pub(super) const MAX_FIRST_BYTE_OF_SINGLE_VALUE: u8 = 1;
/// Size of the length that precedes each record, in bytes; a little-endian integer.
pub(super) const LENGTH_BYTES: usize = 4;

/// One record of the stream.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// Everything but jobs and evidence in the form of the previous release; the first record.
    SiteEarlier(Box<EarlierState>),
    /// A job without its results, which follow as separate records.
    Job(Box<Job>),
    /// A result of the preceding job; its text follows unless the text is empty or on disk.
    Result(SavedResult),
    /// End of the stream.
    End,
    /// Evidence against requests; precedes the jobs.
    Evidence(Box<RequestEvidence>),
    /// Everything but jobs and evidence; the first record.
    Site(Box<CoordinationState>),
}

/// A result without its text.
#[derive(Serialize, Deserialize)]
pub(super) struct SavedResult {
    pub(super) id: ItemId,
    pub(super) state: ItemState,
    pub(super) versions: Vec<u64>,
    pub(super) score: Option<String>,
    /// Length of the uncompressed text in bytes.
    pub(super) text_length: u64,
    pub(super) text: SavedText,
}

/// Location of a result's compressed text.
#[derive(Serialize, Deserialize)]
pub(super) enum SavedText {
    /// The text follows the record, with this number of bytes.
    Follows(u32),
    /// The text is on the disk of the machine that the snapshot is for.
    OnDisk(BlobPlace),
}
