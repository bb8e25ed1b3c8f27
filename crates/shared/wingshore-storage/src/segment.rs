//! Log segments: writing them and replaying them at startup.
//!
//! A torn tail of the last segment is truncated; any other damage makes the startup fail.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::{File, FileReader, FileSystem};
use crate::frame::{self, NextFrame};
use crate::journal::{FORMAT, Record, Replay};
use std::borrow::Cow;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use wingshore_types::LogIndex;

/// Size of the read buffer for segments, in bytes.
const READ_BYTES: usize = 64 << 10;
/// Prefix of the names of segment files.
const PREFIX: &str = "log-";

/// A segment that is no longer written to.
#[derive(Debug)]
pub(crate) struct ClosedSegment {
    /// The path of the segment.
    pub(crate) path: PathBuf,
    /// The highest entry index in the segment.
    pub(crate) last_index: Option<LogIndex>,
}

/// The segment that is being written to.
pub(crate) struct ActiveSegment {
    path: PathBuf,
    sequence: u64,
    file: Box<dyn File>,
    length: u64,
    last_index: Option<LogIndex>,
    buffer: Vec<u8>,
}

/// Returns the sequence number in the name of a segment; `None` for other files.
pub(crate) fn sequence_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Returns the path of the segment with this sequence number. The number is zero-padded, so the
/// names sort by number.
pub(crate) fn path_of(directory: &Path, sequence: u64) -> PathBuf {
    directory.join(format!("{PREFIX}{sequence:020}"))
}

/// Replays a segment that is followed by another one. All of its frames must be valid.
pub(crate) fn replay_closed(
    fs: &dyn FileSystem,
    directory: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<ClosedSegment, StorageError> {
    let path = path_of(directory, sequence);
    let reading = read_frames(fs, &path, sequence, replay)?;
    if let Some(reason) = reading.invalid_reason {
        return Err(damaged(&path, reading.length, reason));
    }
    Ok(ClosedSegment {
        path,
        last_index: reading.last_index,
    })
}

/// Replays the last segment and truncates a torn tail. The tail was never acknowledged, since a
/// batch is one frame and is acknowledged only after the sync.
///
/// Returns `None` if not even the first frame is complete: the creation of the segment was
/// interrupted.
pub(crate) fn replay_last(
    fs: &dyn FileSystem,
    directory: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<Option<ActiveSegment>, StorageError> {
    let path = path_of(directory, sequence);
    let reading = read_frames(fs, &path, sequence, replay)?;
    if let Some(reason) = reading.invalid_reason {
        let bytes = fs.read(&path).during("read", &path)?;
        reject_damage_before_tail(&path, sequence, &bytes, reading.length, reason)?;
    }
    if reading.length == 0 {
        return Ok(None);
    }
    let mut file = fs.open(&path).during("open", &path)?;
    if reading.invalid_reason.is_some() {
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

/// Result of reading the frames of a segment.
struct ReplayedFrames {
    /// Length of the valid frames, in bytes.
    length: u64,
    /// The reason why the first frame after them is invalid, if there is one.
    invalid_reason: Option<&'static str>,
    /// The highest entry index.
    last_index: Option<LogIndex>,
}

/// Replays a segment frame by frame, with one frame in memory at a time.
fn read_frames(
    fs: &dyn FileSystem,
    path: &Path,
    sequence: u64,
    replay: &mut Replay,
) -> Result<ReplayedFrames, StorageError> {
    let file = fs.open_to_read(path).during("open", path)?;
    let mut file = BufReader::with_capacity(READ_BYTES, FileReader::new(file, 0));
    let mut reading = ReplayedFrames {
        length: 0,
        invalid_reason: None,
        last_index: None,
    };
    loop {
        let read = frame::read_next(&mut file, sequence, reading.length);
        match read.during("read", path)? {
            NextFrame::End => return Ok(reading),
            NextFrame::Invalid(reason) => {
                reading.invalid_reason = Some(reason);
                return Ok(reading);
            }
            NextFrame::Frame { payload, next } => {
                replay
                    .apply_frame(&payload)
                    .map_err(|reason| damaged(path, reading.length, reason))?;
                reading.last_index = reading.last_index.max(replay.last_index());
                reading.length = next;
            }
        }
    }
}

/// Returns an error if a valid frame follows the invalid one. A batch is written only after the
/// previous one is synced, so the later frame proves that the invalid one had been durable.
fn reject_damage_before_tail(
    path: &Path,
    sequence: u64,
    bytes: &[u8],
    invalid_at: u64,
    reason: &str,
) -> Result<(), StorageError> {
    match frame::find_frame_after(sequence, invalid_at as usize, bytes) {
        None => Ok(()),
        Some(next) => Err(damaged(
            path,
            invalid_at,
            format!("{reason}, and a valid frame follows at byte {next}"),
        )),
    }
}

impl ActiveSegment {
    /// Creates a segment with its [`Record::SegmentStart`] and makes it durable.
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

    /// Appends the records as one frame and syncs the file.
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

    /// Returns the length of the segment, in bytes.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Returns the sequence number of the segment.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Converts the segment to a closed one.
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
