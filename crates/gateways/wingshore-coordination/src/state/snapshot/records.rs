//! The records of a snapshot's stream, and the formats that tell them apart.

use crate::ids::ItemId;
use crate::jobs::{ItemState, Job};
use crate::state::earlier::EarlierState;
use crate::state::evidence::RequestEvidence;
use crate::state::site::CoordinationState;
use serde::{Deserialize, Serialize};
use wingshore_types::blob::BlobPlace;

/// First byte of the stream.
pub(super) const FORMAT: u8 = 4;
/// The oldest format of records: all besides jobs as [`Record::SiteEarlier`].
pub(super) const OLDEST_RECORD_FORMAT: u8 = 2;
/// Largest first byte of the oldest format: the state encoded as one value, whose first byte says
/// whether there is a configuration: 0 or 1.
pub(super) const MAX_FIRST_BYTE_OF_SINGLE_VALUE: u8 = 1;
/// Bytes of a record's length, an integer in little-endian order, before the record.
pub(super) const LENGTH_BYTES: usize = 4;

/// One record of the stream.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// All besides jobs and evidence, as the release before wrote it; comes first.
    SiteEarlier(Box<EarlierState>),
    /// A job without its results, which follow.
    Job(Box<Job>),
    /// A result of the job before; its text follows unless it is empty or on disk.
    Result(SavedResult),
    /// Nothing follows.
    End,
    /// What failed attempts say of requests; comes before the jobs.
    Evidence(Box<RequestEvidence>),
    /// All besides jobs and evidence; comes first.
    Site(Box<CoordinationState>),
}

/// A result without its text.
#[derive(Serialize, Deserialize)]
pub(super) struct SavedResult {
    pub(super) id: ItemId,
    pub(super) state: ItemState,
    pub(super) versions: Vec<u64>,
    pub(super) score: Option<String>,
    /// Bytes of the text itself.
    pub(super) text_length: u64,
    pub(super) text: SavedText,
}

/// Where a result's compressed text is.
#[derive(Serialize, Deserialize)]
pub(super) enum SavedText {
    /// After the record: so many bytes.
    Follows(u32),
    /// On the disk of the machine that the snapshot is for.
    OnDisk(BlobPlace),
}
