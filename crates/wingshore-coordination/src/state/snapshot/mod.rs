//! The replicated state as a snapshot: a stream of records, written and read one at a time.
//!
//! A result's compressed text follows its record as it is, or, in the form for this machine's own
//! disk, only the place where the text stands there. So neither a state of many megabytes nor its
//! encoding has to stand in memory, and texts that are on disk are not written again.

mod read;
mod write;

pub(super) use read::restore;
pub(super) use write::FrozenCoordination;

use super::{CoordinationState, EarlierState, RequestEvidence};
use crate::ids::ItemId;
use crate::jobs::{ItemState, Job};
use serde::{Deserialize, Serialize};
use wingshore_types::blob::BlobPlace;

/// First byte of the stream.
const FORMAT: u8 = 4;
/// The oldest format of records: all besides jobs as [`Record::SiteEarlier`].
const FIRST_FORMAT_OF_RECORDS: u8 = 2;
/// Largest first byte of the oldest format: the state encoded as one value, whose first byte says
/// whether there is a configuration: 0 or 1.
const LAST_FIRST_BYTE_BEFORE: u8 = 1;
/// Bytes of a record's length, an integer in little-endian order, before the record.
const LENGTH_BYTES: usize = 4;

/// One record of the stream.
#[derive(Serialize, Deserialize)]
enum Record {
    /// All besides jobs and evidence, as the release before wrote it; comes first.
    SiteEarlier(Box<EarlierState>),
    /// A job without its results, which follow.
    Job(Box<Job>),
    /// A result of the job before; its text follows unless it is empty or on disk.
    Result(SavedResult),
    /// Nothing follows.
    End,
    /// What failed attempts say of requests; stands before the jobs.
    Evidence(Box<RequestEvidence>),
    /// All besides jobs and evidence; comes first.
    Site(Box<CoordinationState>),
}

/// A result without its text.
#[derive(Serialize, Deserialize)]
struct SavedResult {
    id: ItemId,
    state: ItemState,
    versions: Vec<u64>,
    score: Option<String>,
    /// Bytes of the text itself.
    text_length: u64,
    text: SavedText,
}

/// Where a result's compressed text is.
#[derive(Serialize, Deserialize)]
enum SavedText {
    /// Behind the record: so many bytes.
    Follows(u32),
    /// On the disk of the machine that the snapshot is for.
    OnDisk(BlobPlace),
}
