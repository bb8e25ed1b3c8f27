//! One file of the log: writing it, and replaying it at a start.
//!
//! A torn tail of the last segment is cut off; any other damage stops the start.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::{File, FileReader, FileSystem};
use crate::frame::{self, NextFrame};
use crate::journal::{FORMAT, Record, Replay};
use std::borrow::Cow;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use wingshore_types::LogIndex;

/// Bytes of a segment that are read at a time.
const READ_BYTES: usize = 64 << 10;
/// Start of the names of segments.
const PREFIX: &str = "log-";

/// A segment that is no longer written.
#[derive(Debug)]
pub(crate) struct ClosedSegment {
    /// Where it is.
    pub(crate) path: PathBuf,
    /// The highest index of an entry in it.
    pub(crate) last_index: Option<LogIndex>,
}

/// The segment that is being written.
pub(crate) struct ActiveSegment {
    path: PathBuf,
    sequence: u64,
    file: Box<dyn File>,
    length: u64,
    last_index: Option<LogIndex>,
    buffer: Vec<u8>,
}

/// The number in a segment's name; `None` for other files.
pub(crate) fn sequence_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// The path of the segment with this number. Names sort as numbers do.
pub(crate) fn path_of(directory: &Path, sequence: u64) -> PathBuf {
    directory.join(format!("{PREFIX}{sequence:020}"))
}

/// Replays a segment that is followed by others, all of which must be whole.
pub(crate) fn replay_closed(
    fs: &dyn FileSystem,
    directory: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<ClosedSegment, StorageError> {
    let path = path_of(directory, sequence);
    let reading = read_frames(fs, &path, sequence, replay)?;
    if let Some(reason) = reading.bad {
        return Err(damaged(&path, reading.length, reason));
    }
    Ok(ClosedSegment {
        path,
        last_index: reading.last_index,
    })
}

/// Replays the last segment. A torn tail is cut: it was never reported as written, since a
/// batch is one frame and is only reported once it is synced.
///
/// `None` when not even its first frame is whole: then its creation was interrupted.
pub(crate) fn replay_last(
    fs: &dyn FileSystem,
    directory: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<Option<ActiveSegment>, StorageError> {
    let path = path_of(directory, sequence);
    let reading = read_frames(fs, &path, sequence, replay)?;
    if let Some(reason) = reading.bad {
        let bytes = fs.read(&path).during("read", &path)?;
        refuse_damage_before_tail(&path, sequence, &bytes, reading.length, reason)?;
    }
    if reading.length == 0 {
        return Ok(None);
    }
    let mut file = fs.open(&path).during("open", &path)?;
    if reading.bad.is_some() {
        file.truncate(reading.length).during("truncate", &path)?;
        file.sync().during("sync", &path)?;
    }
    Ok(Some(ActiveSegment {
        path,
        sequence,
        file,
        length: reading.length,
        last_index: reading.last_index,
        buffer: Vec::new(),
    }))
}

/// How far the frames of a segment could be read.
struct Reading {
    /// Bytes of whole frames.
    length: u64,
    /// Why the rest could not be read, when there is a rest.
    bad: Option<&'static str>,
    /// The highest index of an entry.
    last_index: Option<LogIndex>,
}

/// Reads a segment frame by frame: only one of them is in memory beside its records.
fn read_frames(
    fs: &dyn FileSystem,
    path: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<Reading, StorageError> {
    let file = fs.open_to_read(path).during("open", path)?;
    let mut file = BufReader::with_capacity(READ_BYTES, FileReader::new(file, 0));
    let mut reading = Reading {
        length: 0,
        bad: None,
        last_index: None,
    };
    loop {
        let read = frame::read_next(&mut file, sequence, reading.length);
        match read.during("read", path)? {
            NextFrame::End => return Ok(reading),
            NextFrame::Bad(reason) => {
                reading.bad = Some(reason);
                return Ok(reading);
            }
            NextFrame::Frame { payload, next } => {
                replay
                    .take_frame(&payload)
                    .map_err(|reason| damaged(path, reading.length, reason))?;
                reading.last_index = reading.last_index.max(replay.last_index());
                reading.length = next;
            }
        }
    }
}

/// A batch is only written once the one before it is synced. So a whole frame after a bad place
/// proves that the bad place was durable once.
fn refuse_damage_before_tail(
    path: &Path,
    sequence: u64,
    bytes: &[u8],
    bad_at: u64,
    reason: &str,
) -> Result<(), StorageError> {
    match frame::find_after(sequence, bad_at as usize, bytes) {
        None => Ok(()),
        Some(next) => Err(damaged(
            path,
            bad_at,
            format!("{reason}, and a whole frame follows at byte {next}"),
        )),
    }
}

impl ActiveSegment {
    /// Creates a segment that holds its first record, and makes it durable.
    pub(crate) fn create(
        fs: &dyn FileSystem,
        directory: &Path,
        sequence: u64,
        hard_state: Option<&[u8]>,
    ) -> Result<Self, StorageError> {
        let path = path_of(directory, sequence);
        let file = fs.create(&path).during("create", &path)?;
        let mut segment = Self {
            path,
            sequence,
            file,
            length: 0,
            last_index: None,
            buffer: Vec::new(),
        };
        segment.write(&[Record::SegmentStart {
            format: FORMAT,
            hard_state: hard_state.map(Cow::Borrowed),
        }])?;
        fs.sync_directory(directory)
            .during("sync directory", directory)?;
        Ok(segment)
    }

    /// Adds the records as one frame and syncs it.
    pub(crate) fn write(&mut self, records: &[Record<'_>]) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(records)
            .map_err(io::Error::other)
            .during("encode", &self.path)?;
        if payload.len() > frame::MAX_PAYLOAD_BYTES {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge)).during("encode", &self.path);
        }
        self.buffer.clear();
        frame::encode(self.sequence, self.length, &payload, &mut self.buffer);
        self.file.append(&self.buffer).during("write", &self.path)?;
        self.file.sync().during("sync", &self.path)?;
        self.length += self.buffer.len() as u64;
        let appended = records.iter().filter_map(appended_index).max();
        self.last_index = self.last_index.max(appended);
        Ok(())
    }

    /// Bytes in it.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// The number in its name.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Ends writing to it.
    pub(crate) fn close(self) -> ClosedSegment {
        ClosedSegment {
            path: self.path,
            last_index: self.last_index,
        }
    }
}

fn appended_index(record: &Record<'_>) -> Option<LogIndex> {
    match record {
        Record::Append(entry) => Some(entry.index),
        _ => None,
    }
}
