//! Writes a frozen state, which is encoded while it is read.

use super::records::{FORMAT, LENGTH_BYTES, Record, SavedResult, SavedText};
use crate::jobs::{Job, ResultRecord};
use crate::state::evidence::RequestEvidence;
use crate::state::site::CoordinationState;
use crate::state::view_history::ViewHistory;
use crate::text::{TextPlace, TextStoreHandle};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::Arc;
use wingshore_types::snapshot_data::{FrozenState, SnapshotState};

/// Initial capacity of a record's buffer in bytes; the record of a result fits.
const INITIAL_RECORD_CAPACITY: usize = 128;

/// An immutable copy of a state that is encoded when it is read.
pub(in crate::state) struct FrozenCoordination {
    /// The state without its jobs.
    state: CoordinationState,
    /// Jobs in their order, so that a result is found by the index of its job.
    jobs: Vec<Job>,
    /// Number of the snapshot in the text store; 0 without a store.
    number: u64,
    /// Length of the encoded stream in bytes; `None` if the state cannot be encoded and therefore
    /// not be read.
    length: Option<u64>,
}

impl FrozenCoordination {
    /// Freezes a state; its large parts are shared with the copy, not cloned.
    pub(in crate::state) fn of(state: &CoordinationState) -> Self {
        let store = state.texts.0.as_ref();
        let number = store.map_or(0, |store| store.begin_snapshot());
        let mut state = state.clone();
        let mut frozen = Self {
            number,
            jobs: std::mem::take(&mut state.jobs).into_values().collect(),
            state,
            length: None,
        };
        frozen.length = encoded_length(&frozen, &InlineTexts).ok();
        frozen
    }

    fn result(&self, job: usize, result: usize) -> Option<&Arc<ResultRecord>> {
        self.job(job)?.results.get(result)
    }

    fn job(&self, job: usize) -> Option<&Job> {
        self.jobs.get(job)
    }
}

impl FrozenState for FrozenCoordination {
    fn length(&self) -> u64 {
        self.length.unwrap_or(0)
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        if self.length.is_none() {
            return Err(io::Error::other("the state cannot be encoded"));
        }
        Ok(Box::new(StateReader::new(self, InlineTexts)))
    }

    fn for_local_disk(self: Arc<Self>) -> Option<SnapshotState> {
        self.state.texts.0.as_ref()?;
        let frozen = Arc::new(LocalSnapshot::of(self).ok()?);
        Some(SnapshotState::Frozen(frozen))
    }

    fn on_durable(&self) {
        if let Some(store) = &self.state.texts.0 {
            store.snapshot_durable(self.number);
        }
    }
}

/// A frozen state in the form for the local disk. The locations of texts are captured once: texts
/// continue to be moved to disk meanwhile, and every reader must produce the same bytes.
struct LocalSnapshot {
    frozen: Arc<FrozenCoordination>,
    places: Arc<CapturedPlaces>,
    length: u64,
}

impl LocalSnapshot {
    fn of(frozen: Arc<FrozenCoordination>) -> io::Result<Self> {
        let jobs = frozen.jobs.iter();
        let places_of = |job: &Job| job.results.iter().map(|result| place_of(result)).collect();
        let places = Arc::new(CapturedPlaces(jobs.map(places_of).collect()));
        let length = encoded_length(&frozen, &places)?;
        Ok(Self {
            frozen,
            places,
            length,
        })
    }
}

impl FrozenState for LocalSnapshot {
    fn length(&self) -> u64 {
        self.length
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        let frozen = Arc::clone(&self.frozen);
        Ok(Box::new(StateReader::new(frozen, Arc::clone(&self.places))))
    }
}

fn place_of(result: &ResultRecord) -> TextPlace {
    result.text.packed().place()
}

/// Encoding of result texts in the stream.
trait TextEncoding {
    /// Returns the location of a result's text; `job` and `index` are the indexes of its job and of
    /// the result within the job.
    fn place(&self, job: usize, index: usize, result: &ResultRecord) -> TextPlace;

    /// Whether a text on disk is referenced by its location instead of being included.
    const REFERENCES_DISK: bool;
}

/// Includes all texts in the stream.
struct InlineTexts;

impl TextEncoding for InlineTexts {
    const REFERENCES_DISK: bool = false;

    fn place(&self, _job: usize, _index: usize, result: &ResultRecord) -> TextPlace {
        place_of(result)
    }
}

/// Locations of texts by job and result, captured when the snapshot was created.
struct CapturedPlaces(Vec<Vec<TextPlace>>);

impl TextEncoding for Arc<CapturedPlaces> {
    const REFERENCES_DISK: bool = true;

    fn place(&self, job: usize, index: usize, result: &ResultRecord) -> TextPlace {
        let fixed = self.0.get(job).and_then(|places| places.get(index));
        fixed.cloned().unwrap_or_else(|| place_of(result))
    }
}

/// Position in the stream of records.
#[derive(Clone, Copy)]
enum Position {
    Site,
    Evidence,
    Job(usize),
    Result(usize, usize),
    Done,
}

/// The part of the stream at a position.
struct StreamPart {
    /// The record, preceded by its length.
    record: Vec<u8>,
    /// The text that follows the record.
    text: Option<TextPlace>,
    next: Position,
}

fn part_at<F: TextEncoding>(
    frozen: &FrozenCoordination,
    form: &F,
    position: Position,
) -> io::Result<Option<StreamPart>> {
    let part = match position {
        Position::Site => StreamPart {
            record: encode(&Record::Site(Box::new(without_jobs(&frozen.state))))?,
            text: None,
            next: Position::Evidence,
        },
        Position::Evidence => StreamPart {
            record: encode(&Record::Evidence(Box::new(frozen.state.evidence.clone())))?,
            text: None,
            next: Position::Job(0),
        },
        Position::Job(job) => match frozen.job(job) {
            Some(found) => StreamPart {
                record: encode(&Record::Job(Box::new(found.without_results())))?,
                text: None,
                next: Position::Result(job, 0),
            },
            None => StreamPart {
                record: encode(&Record::End)?,
                text: None,
                next: Position::Done,
            },
        },
        Position::Result(job, index) => match frozen.result(job, index) {
            Some(result) => result_part::<F>(result, form.place(job, index, result), job, index)?,
            None => return part_at(frozen, form, Position::Job(job + 1)),
        },
        Position::Done => return Ok(None),
    };
    Ok(Some(part))
}

/// Returns the content of the first record, which excludes jobs and whatever is not encoded.
fn without_jobs(state: &CoordinationState) -> CoordinationState {
    CoordinationState {
        configuration: state.configuration.clone(),
        registry: state.registry.clone(),
        named_versions: state.named_versions.clone(),
        jobs: BTreeMap::new(),
        orders: state.orders.clone(),
        member_nodes: state.member_nodes.clone(),
        retired_members: state.retired_members.clone(),
        usage: state.usage.clone(),
        capacity: state.capacity.clone(),
        // All fields are listed, so that a new field cannot be left out of snapshots by accident.
        evidence: RequestEvidence::default(),
        texts: TextStoreHandle::default(),
        view_history: ViewHistory::default(),
    }
}

fn result_part<F: TextEncoding>(
    result: &ResultRecord,
    place: TextPlace,
    job: usize,
    index: usize,
) -> io::Result<StreamPart> {
    let text = match &place {
        TextPlace::Disk(blob) if F::REFERENCES_DISK => SavedText::OnDisk(blob.place()),
        _ => {
            let length = u32::try_from(place.length());
            SavedText::Follows(length.map_err(io::Error::other)?)
        }
    };
    let follows = matches!(text, SavedText::Follows(_));
    let record = encode(&Record::Result(SavedResult {
        id: result.id.clone(),
        state: result.state,
        versions: result.versions.clone(),
        score: result.score.clone(),
        text_length: result.text.length() as u64,
        text,
    }))?;
    Ok(StreamPart {
        record,
        text: follows.then_some(place),
        next: Position::Result(job, index + 1),
    })
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let mut start = Vec::with_capacity(INITIAL_RECORD_CAPACITY);
    start.resize(LENGTH_BYTES, 0);
    let bytes = postcard::to_extend(record, start);
    let mut bytes = bytes.map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Returns the length of the stream in bytes, without reading the texts.
fn encoded_length<F: TextEncoding>(frozen: &FrozenCoordination, form: &F) -> io::Result<u64> {
    let mut length = 1;
    let mut position = Position::Site;
    while let Some(part) = part_at(frozen, form, position)? {
        let text = part.text.map_or(0, |place| place.length());
        length += (part.record.len() + text) as u64;
        position = part.next;
    }
    Ok(length)
}

/// Reads a frozen state as a byte stream.
struct StateReader<F> {
    frozen: Arc<FrozenCoordination>,
    form: F,
    position: Position,
    /// Part of the stream that was encoded last, and how many bytes of it have been read.
    encoded: Vec<u8>,
    read: usize,
}

impl<F: TextEncoding> StateReader<F> {
    fn new(frozen: Arc<FrozenCoordination>, form: F) -> Self {
        Self {
            frozen,
            form,
            position: Position::Site,
            encoded: vec![FORMAT],
            read: 0,
        }
    }

    /// Encodes the next record; returns false at the end of the stream.
    fn encode_next(&mut self) -> io::Result<bool> {
        let Some(part) = part_at(&self.frozen, &self.form, self.position)? else {
            return Ok(false);
        };
        self.position = part.next;
        self.encoded = part.record;
        if let Some(place) = part.text {
            self.encoded.extend_from_slice(&place.read()?);
        }
        self.read = 0;
        Ok(true)
    }
}

impl<F: TextEncoding> Read for StateReader<F> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut filled = 0;
        while filled < buffer.len() {
            if self.read == self.encoded.len() && !self.encode_next()? {
                break;
            }
            let rest = &self.encoded[self.read..];
            let count = rest.len().min(buffer.len() - filled);
            buffer[filled..filled + count].copy_from_slice(&rest[..count]);
            self.read += count;
            filled += count;
        }
        Ok(filled)
    }
}
