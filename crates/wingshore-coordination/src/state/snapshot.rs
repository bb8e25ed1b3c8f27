//! The replicated state as a snapshot: a stream of records, written and read one at a time.
//!
//! A result's compressed text follows its record as it is, or, in the form for this machine's own
//! disk, only the place where the text stands there. So neither a state of many megabytes nor its
//! encoding has to stand in memory, and texts that are on disk are not written again.

use super::CoordinationState;
use crate::ids::{ItemId, JobId};
use crate::jobs::{ItemState, Job, ResultRecord};
use crate::text::{ResultText, TextPlace};
use crate::text_store::TextStoreHandle;
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::sync::Arc;
use wingshore_types::blob::BlobPlace;
use wingshore_types::machine::RestoreError;
use wingshore_types::snapshot_data::{FrozenState, SnapshotState};

/// First byte of the stream. The format before was the state encoded as one value, whose first byte
/// says whether there is a configuration: 0 or 1.
const FORMAT: u8 = 2;
/// Largest first byte of the format before.
const LAST_FIRST_BYTE_BEFORE: u8 = 1;
/// Bytes of a record's length, an integer in little-endian order, before the record.
const LENGTH_BYTES: usize = 4;
/// Largest record, in bytes: a submission is at most as large as a caller's body.
const MOST_RECORD_BYTES: usize = 256 << 20;

/// One record of the stream.
#[derive(Serialize, Deserialize)]
enum Record {
    /// All besides jobs; comes first.
    Site(Box<CoordinationState>),
    /// A job without its results, which follow.
    Job(Box<Job>),
    /// A result of the job before; its text follows unless it is empty or on disk.
    Result(SavedResult),
    /// Nothing follows.
    End,
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

/// A state that is frozen: encoded when it is read.
pub(super) struct FrozenCoordination {
    state: CoordinationState,
    /// Its jobs in their order.
    jobs: Vec<JobId>,
    /// Number of the snapshot at the store of texts; 0 without a store.
    number: u64,
    /// `None` where the state does not encode; then it cannot be read either.
    length: Option<u64>,
}

impl FrozenCoordination {
    /// Of a state whose large parts are shared with the copy.
    pub(super) fn of(state: &CoordinationState) -> Self {
        let store = state.texts.0.as_ref();
        let mut frozen = Self {
            number: store.map_or(0, |store| store.begin_snapshot()),
            state: state.clone(),
            jobs: state.jobs.keys().cloned().collect(),
            length: None,
        };
        frozen.length = encoded_length(&frozen, &WithTexts).ok();
        frozen
    }

    fn result(&self, job: usize, result: usize) -> Option<&Arc<ResultRecord>> {
        self.job(job)?.results.get(result)
    }

    fn job(&self, job: usize) -> Option<&Job> {
        self.state.jobs.get(self.jobs.get(job)?)
    }
}

impl FrozenState for FrozenCoordination {
    fn length(&self) -> u64 {
        self.length.unwrap_or(0)
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        if self.length.is_none() {
            return Err(io::Error::other("the state does not encode"));
        }
        Ok(Box::new(StateReader::new(self, WithTexts)))
    }

    fn for_own_disk(self: Arc<Self>) -> Option<SnapshotState> {
        self.state.texts.0.as_ref()?;
        let frozen = Arc::new(OnOwnDisk::of(self).ok()?);
        Some(SnapshotState::Frozen(frozen))
    }

    fn written(&self) {
        if let Some(store) = &self.state.texts.0 {
            store.snapshot_durable(self.number);
        }
    }
}

/// A frozen state in the form for this machine's own disk. The places of texts are those of one
/// moment: texts go on moving to disk meanwhile, and each reading gives the same bytes.
struct OnOwnDisk {
    frozen: Arc<FrozenCoordination>,
    places: Arc<FixedPlaces>,
    length: u64,
}

impl OnOwnDisk {
    fn of(frozen: Arc<FrozenCoordination>) -> io::Result<Self> {
        let jobs = frozen.state.jobs.values();
        let places_of = |job: &Job| job.results.iter().map(|result| place_of(result)).collect();
        let places = Arc::new(FixedPlaces(jobs.map(places_of).collect()));
        let length = encoded_length(&frozen, &places)?;
        Ok(Self {
            frozen,
            places,
            length,
        })
    }
}

impl FrozenState for OnOwnDisk {
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

/// How the texts of results are encoded.
trait TextForm {
    /// Where the text of a result is, by the places of its job and of itself.
    fn place(&self, job: usize, index: usize, result: &ResultRecord) -> TextPlace;

    /// Whether a text on disk is named rather than written.
    const NAMES_DISK: bool;
}

/// All texts are in the stream.
struct WithTexts;

impl TextForm for WithTexts {
    const NAMES_DISK: bool = false;

    fn place(&self, _job: usize, _index: usize, result: &ResultRecord) -> TextPlace {
        place_of(result)
    }
}

/// For each job and result, where its text was at one moment.
struct FixedPlaces(Vec<Vec<TextPlace>>);

impl TextForm for Arc<FixedPlaces> {
    const NAMES_DISK: bool = true;

    fn place(&self, job: usize, index: usize, result: &ResultRecord) -> TextPlace {
        let fixed = self.0.get(job).and_then(|places| places.get(index));
        fixed.cloned().unwrap_or_else(|| place_of(result))
    }
}

/// A place in the stream of records.
#[derive(Clone, Copy)]
enum Position {
    Site,
    Job(usize),
    Result(usize, usize),
    Done,
}

/// What a place in the stream gives.
struct Piece {
    /// The record behind its length.
    record: Vec<u8>,
    /// The text behind it.
    text: Option<TextPlace>,
    next: Position,
}

fn piece_at<F: TextForm>(
    frozen: &FrozenCoordination,
    form: &F,
    position: Position,
) -> io::Result<Option<Piece>> {
    let piece = match position {
        Position::Site => Piece {
            record: encode(&Record::Site(Box::new(frozen.state.without_jobs())))?,
            text: None,
            next: Position::Job(0),
        },
        Position::Job(job) => match frozen.job(job) {
            Some(found) => Piece {
                record: encode(&Record::Job(Box::new(found.without_results())))?,
                text: None,
                next: Position::Result(job, 0),
            },
            None => Piece {
                record: encode(&Record::End)?,
                text: None,
                next: Position::Done,
            },
        },
        Position::Result(job, index) => match frozen.result(job, index) {
            Some(result) => result_piece::<F>(result, form.place(job, index, result), job, index)?,
            None => return piece_at(frozen, form, Position::Job(job + 1)),
        },
        Position::Done => return Ok(None),
    };
    Ok(Some(piece))
}

fn result_piece<F: TextForm>(
    result: &ResultRecord,
    place: TextPlace,
    job: usize,
    index: usize,
) -> io::Result<Piece> {
    let text = match &place {
        TextPlace::Disk(blob) if F::NAMES_DISK => SavedText::OnDisk(blob.place()),
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
    Ok(Piece {
        record,
        text: follows.then_some(place),
        next: Position::Result(job, index + 1),
    })
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_extend(record, vec![0; LENGTH_BYTES]);
    let mut bytes = bytes.map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Bytes of the stream; texts are not read for it.
fn encoded_length<F: TextForm>(frozen: &FrozenCoordination, form: &F) -> io::Result<u64> {
    let mut length = 1;
    let mut position = Position::Site;
    while let Some(piece) = piece_at(frozen, form, position)? {
        let text = piece.text.map_or(0, |place| place.length());
        length += (piece.record.len() + text) as u64;
        position = piece.next;
    }
    Ok(length)
}

/// Reads a frozen state as a stream.
struct StateReader<F> {
    frozen: Arc<FrozenCoordination>,
    form: F,
    position: Position,
    /// Bytes of the stream that were encoded, and how many of them were read.
    encoded: Vec<u8>,
    read: usize,
}

impl<F: TextForm> StateReader<F> {
    fn new(frozen: Arc<FrozenCoordination>, form: F) -> Self {
        Self {
            frozen,
            form,
            position: Position::Site,
            encoded: vec![FORMAT],
            read: 0,
        }
    }

    /// Encodes the next record; says whether there was one.
    fn encode_next(&mut self) -> io::Result<bool> {
        let Some(piece) = piece_at(&self.frozen, &self.form, self.position)? else {
            return Ok(false);
        };
        self.position = piece.next;
        self.encoded = piece.record;
        if let Some(place) = piece.text {
            self.encoded.extend_from_slice(&place.read()?);
        }
        self.read = 0;
        Ok(true)
    }
}

impl<F: TextForm> Read for StateReader<F> {
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

/// Reads a state; texts go to its store as they come.
pub(super) fn restore(
    texts: &TextStoreHandle,
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let mut format = [0];
    reader
        .read_exact(&mut format)
        .map_err(RestoreError::from_display)?;
    match format[0] {
        FORMAT => restore_records(texts, reader),
        0..=LAST_FIRST_BYTE_BEFORE => restore_whole(texts, &format, reader),
        unknown => Err(RestoreError::from_display(format!(
            "the state has format {unknown}; this program knows formats up to {FORMAT}"
        ))),
    }
}

fn restore_records(
    texts: &TextStoreHandle,
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let Record::Site(mut state) = read_record(reader)? else {
        return Err(RestoreError::from_display(
            "the first record is not the site's",
        ));
    };
    state.texts = texts.clone();
    let mut job: Option<Box<Job>> = None;
    loop {
        match read_record(reader)? {
            Record::Job(next) => state.add_job(job.replace(next)),
            Record::Result(saved) => {
                let Some(job) = &mut job else {
                    return Err(RestoreError::from_display("a result without a job"));
                };
                job.results
                    .push(Arc::new(read_result(texts, saved, reader)?));
            }
            Record::End => {
                state.add_job(job);
                return Ok(*state);
            }
            Record::Site(_) => return Err(RestoreError::from_display("a second site")),
        }
    }
}

fn read_record(reader: &mut dyn Read) -> Result<Record, RestoreError> {
    let mut length = [0; LENGTH_BYTES];
    reader
        .read_exact(&mut length)
        .map_err(RestoreError::from_display)?;
    let bytes = read_bytes(reader, u32::from_le_bytes(length))?;
    postcard::from_bytes(&bytes).map_err(RestoreError::from_display)
}

fn read_bytes(reader: &mut dyn Read, length: u32) -> Result<Vec<u8>, RestoreError> {
    let length = length as usize;
    if length > MOST_RECORD_BYTES {
        let message = format!("a record of {length} bytes; allowed are {MOST_RECORD_BYTES}");
        return Err(RestoreError::from_display(message));
    }
    let mut bytes = Vec::new();
    reader
        .take(length as u64)
        .read_to_end(&mut bytes)
        .map_err(RestoreError::from_display)?;
    if bytes.len() < length {
        return Err(RestoreError::from_display("the state is cut short"));
    }
    Ok(bytes)
}

fn read_result(
    texts: &TextStoreHandle,
    saved: SavedResult,
    reader: &mut dyn Read,
) -> Result<ResultRecord, RestoreError> {
    let place = match saved.text {
        SavedText::Follows(length) => TextPlace::Memory(read_bytes(reader, length)?.into()),
        SavedText::OnDisk(place) => {
            let store = texts
                .0
                .as_ref()
                .ok_or("a text on disk, and no store of texts");
            let store = store.map_err(RestoreError::from_display)?;
            TextPlace::Disk(store.find(place).map_err(RestoreError::from_display)?)
        }
    };
    let is_in_memory = matches!(place, TextPlace::Memory(_));
    let text = ResultText::at(saved.text_length, place);
    if is_in_memory {
        texts.hold(text.packed());
        texts.wait_for_room();
    }
    Ok(ResultRecord {
        id: saved.id,
        state: saved.state,
        text,
        versions: saved.versions,
        score: saved.score,
    })
}

/// Reads a state of the format before, which stands in memory whole for that.
fn restore_whole(
    texts: &TextStoreHandle,
    begin: &[u8],
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let mut bytes = begin.to_vec();
    reader
        .read_to_end(&mut bytes)
        .map_err(RestoreError::from_display)?;
    let mut state: CoordinationState =
        postcard::from_bytes(&bytes).map_err(RestoreError::from_display)?;
    drop(bytes);
    state.texts = texts.clone();
    for result in state.jobs.values().flat_map(|job| &job.results) {
        texts.hold(result.text.packed());
    }
    texts.wait_for_room();
    Ok(state)
}
