//! Durable log, hard state and snapshot of one replicated group.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::FileSystem;
use crate::journal::{Record, Replay};
use crate::segment::{self, ActiveSegment, ClosedSegment};
use crate::snapshot::{self, SNAPSHOT_FILE};
use std::borrow::Cow;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::log::{RecoveredLog, StoredSnapshot, WriteBatch};

/// Size at which a segment is closed and a new one is created, in bytes; also the granularity in
/// which space is freed.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

/// Sequence number of the first segment of a log.
const FIRST_SEGMENT: u64 = 1;

/// Durable storage of one group, owned by a single thread.
///
/// Its directory holds `log-N` segments, of which only the last is written to, and `snapshot`.
pub struct GroupStore {
    fs: Arc<dyn FileSystem>,
    directory: PathBuf,
    segment_bytes: u64,
    closed: Vec<ClosedSegment>,
    active: ActiveSegment,
    hard_state: Option<Vec<u8>>,
    /// The index of the last entry; `None` if the log is empty.
    last_index: Option<LogIndex>,
    /// The index of the last entry in the snapshot; 0 without a snapshot.
    snapshot_index: LogIndex,
    poisoned: bool,
}

impl GroupStore {
    /// Opens the store in `directory`, creating it if it does not exist, and recovers the log.
    ///
    /// # Errors
    /// Returns an error if the disk fails or if durable data is damaged.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        Self::open_with(fs, directory, DEFAULT_SEGMENT_BYTES)
    }

    /// Like [`GroupStore::open`], with a segment size of `segment_bytes`.
    ///
    /// # Errors
    /// Returns the same errors as [`GroupStore::open`].
    pub fn open_with(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        create_directory(fs.as_ref(), directory)?;
        let snapshot = snapshot::open_snapshot(fs.as_ref(), directory)?;
        let mut replay = Replay::default();
        let (closed, active) = replay_segments(fs.as_ref(), directory, &mut replay)?;
        let (recovered, superseded) = replay
            .finish(snapshot)
            .map_err(|reason| damaged(&directory.join(SNAPSHOT_FILE), 0, reason))?;
        reject_lost_log(directory, &recovered, &active)?;
        let active = match active {
            LastSegment::Active(active) => active,
            LastSegment::Missing { sequence } => ActiveSegment::create(
                fs.as_ref(),
                directory,
                sequence,
                recovered.hard_state.as_deref(),
            )?,
        };
        let mut store = Self {
            fs,
            directory: directory.to_owned(),
            segment_bytes,
            closed,
            active,
            hard_state: recovered.hard_state.clone(),
            last_index: recovered.records.last().map(|record| record.index),
            snapshot_index: index_of(recovered.snapshot.as_ref()),
            poisoned: false,
        };
        if superseded {
            store.active.write(&[Record::TruncateFrom(LogIndex(1))])?;
        }
        Ok((store, recovered))
    }

    /// Makes `batch` durable, applying its fields in order. An append-only batch, with or without
    /// a hard state, costs one write and one sync.
    ///
    /// # Errors
    /// All errors are fatal: the store rejects further writes. Which part of the batch is on disk
    /// is unknown until a restart.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        self.write_all(std::slice::from_ref(batch))
    }

    /// Makes several batches durable, in order, at the cost of a single one (group commit):
    /// requests that arrive during a sync share the next sync.
    ///
    /// # Errors
    /// Returns the same errors as [`GroupStore::write`].
    pub fn write_all(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned {
                directory: self.directory.clone(),
            });
        }
        let result = self.write_in_order(batches);
        self.poisoned = result.is_err();
        result
    }

    fn write_in_order(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        let mut records = Vec::new();
        for batch in batches {
            self.check_batch(batch)?;
            self.collect_records(batch, &mut records)?;
        }
        self.write_records(&mut records)?;
        self.roll_over()?;
        let discard_through = batches.iter().filter_map(|batch| batch.discard_through);
        match discard_through.max() {
            Some(through) => self.remove_segments(through),
            None => Ok(()),
        }
    }

    /// Adds the records of `batch` to `records`. Writes the pending records only before a snapshot,
    /// which must follow them.
    fn collect_records<'batch>(
        &mut self,
        batch: &'batch WriteBatch,
        records: &mut Vec<Record<'batch>>,
    ) -> Result<(), StorageError> {
        if let Some(hard_state) = &batch.hard_state {
            records.push(Record::HardState(Cow::Borrowed(hard_state)));
            self.hard_state = Some(hard_state.clone());
        }
        if let Some(snapshot) = &batch.snapshot {
            self.write_records(records)?;
            snapshot::write_snapshot(self.fs.as_ref(), &self.directory, snapshot)?;
            self.snapshot_index = snapshot.index;
        }
        if let Some(from) = batch.truncate_from {
            records.push(Record::TruncateFrom(from));
            self.truncate_last_index(from);
        }
        if !batch.append.is_empty() {
            self.truncate_superseded(records);
        }
        for record in &batch.append {
            records.push(Record::Append(Cow::Borrowed(record)));
            self.last_index = Some(record.index);
        }
        if let Some(through) = batch.discard_through {
            records.push(Record::DiscardThrough(through));
            self.last_index = self.last_index.filter(|&last| last > through);
        }
        Ok(())
    }

    /// Truncates a log that ends before the snapshot, so that the entry after the snapshot can be
    /// appended.
    fn truncate_superseded(&mut self, records: &mut Vec<Record<'_>>) {
        if self
            .last_index
            .is_some_and(|last| last < self.snapshot_index)
        {
            records.push(Record::TruncateFrom(LogIndex(1)));
            self.last_index = None;
        }
    }

    fn write_records(&mut self, records: &mut Vec<Record<'_>>) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        self.active.write(records)?;
        records.clear();
        Ok(())
    }

    /// Starts a new segment if the active one has reached the segment size.
    fn roll_over(&mut self) -> Result<(), StorageError> {
        if self.active.length() < self.segment_bytes {
            return Ok(());
        }
        let next = ActiveSegment::create(
            self.fs.as_ref(),
            &self.directory,
            self.active.sequence() + 1,
            self.hard_state.as_deref(),
        )?;
        let full = std::mem::replace(&mut self.active, next);
        self.closed.push(full.close());
        Ok(())
    }

    /// Removes closed segments whose entries are all discarded, oldest first. Each removal is
    /// synced, so that a crash never leaves a gap between segments.
    fn remove_segments(&mut self, through: LogIndex) -> Result<(), StorageError> {
        let removable = self
            .closed
            .iter()
            .take_while(|segment| segment.last_index.is_none_or(|last| last <= through))
            .count();
        for segment in self.closed.drain(..removable) {
            self.fs
                .remove(&segment.path)
                .during("remove", &segment.path)?;
            self.fs
                .sync_directory(&self.directory)
                .during("sync directory", &self.directory)?;
        }
        Ok(())
    }

    fn truncate_last_index(&mut self, from: LogIndex) {
        let Some(last) = self.last_index else {
            return;
        };
        if last < from {
            return;
        }
        let kept = LogIndex(from.0.saturating_sub(1));
        self.last_index = Some(kept).filter(|kept| *kept > LogIndex(0));
    }

    /// Checks that the appended entries follow the remaining log without gaps, and that only
    /// entries in the snapshot are discarded.
    fn check_batch(&self, batch: &WriteBatch) -> Result<(), StorageError> {
        let snapshot = batch
            .snapshot
            .as_ref()
            .map_or(self.snapshot_index, |snapshot| snapshot.index);
        let first = self.last_index_after_truncation(batch).max(snapshot.0) + 1;
        for (expected, record) in (first..).zip(&batch.append) {
            if record.index.0 != expected {
                return self.invalid_batch(format!(
                    "found entry {}, expected entry {expected}",
                    record.index
                ));
            }
        }
        match batch.discard_through {
            Some(through) if through > snapshot => self.invalid_batch(format!(
                "cannot discard entries through {through}: the snapshot ends at {snapshot}"
            )),
            _ => Ok(()),
        }
    }

    /// Returns the index of the last entry after the truncation by `batch`; 0 if there is none.
    fn last_index_after_truncation(&self, batch: &WriteBatch) -> u64 {
        let last = self.last_index.map_or(0, |last| last.0);
        match batch.truncate_from {
            Some(from) => last.min(from.0.saturating_sub(1)),
            None => last,
        }
    }

    fn invalid_batch(&self, reason: String) -> Result<(), StorageError> {
        Err(StorageError::InvalidBatch {
            directory: self.directory.clone(),
            reason,
        })
    }
}

fn create_directory(fs: &dyn FileSystem, directory: &Path) -> Result<(), StorageError> {
    fs.create_directory(directory)
        .during("create directory", directory)?;
    if let Some(parent) = directory.parent() {
        fs.sync_directory(parent).during("sync directory", parent)?;
    }
    Ok(())
}

fn index_of(snapshot: Option<&StoredSnapshot>) -> LogIndex {
    snapshot.map_or(LogIndex(0), |snapshot| snapshot.index)
}

/// State of the last segment at startup.
enum LastSegment {
    /// The segment exists and can be appended to.
    Active(ActiveSegment),
    /// The segment has to be created.
    Missing {
        /// The sequence number of the new segment.
        sequence: u64,
    },
}

fn replay_segments(
    fs: &dyn FileSystem,
    directory: &Path,
    replay: &mut Replay,
) -> Result<(Vec<ClosedSegment>, LastSegment), StorageError> {
    let names = fs.list(directory).during("list", directory)?;
    let mut sequences: Vec<u64> = names
        .iter()
        .filter_map(|name| segment::sequence_of(name))
        .collect();
    sequences.sort_unstable();
    let Some((&last, earlier)) = sequences.split_last() else {
        return Ok((
            Vec::new(),
            LastSegment::Missing {
                sequence: FIRST_SEGMENT,
            },
        ));
    };
    reject_gaps(directory, &sequences)?;
    let mut closed = Vec::with_capacity(earlier.len());
    for &sequence in earlier {
        closed.push(segment::replay_closed(fs, directory, sequence, replay)?);
    }
    match segment::replay_last(fs, directory, last, replay)? {
        Some(active) => Ok((closed, LastSegment::Active(active))),
        None if last > FIRST_SEGMENT && closed.is_empty() => Err(damaged(
            &segment::path_of(directory, last),
            0,
            "the only segment holds no valid frame",
        )),
        None => Ok((closed, LastSegment::Missing { sequence: last })),
    }
}

/// Returns an error if there is a snapshot but no log. The first segment is created before anything
/// else is written, so the log must have been lost.
fn reject_lost_log(
    directory: &Path,
    recovered: &RecoveredLog,
    found: &LastSegment,
) -> Result<(), StorageError> {
    let is_new_log =
        matches!(found, LastSegment::Missing { sequence } if *sequence == FIRST_SEGMENT);
    if is_new_log && recovered.snapshot.is_some() {
        let missing = segment::path_of(directory, FIRST_SEGMENT);
        return Err(damaged(
            &missing,
            0,
            "a snapshot exists but the log is missing",
        ));
    }
    Ok(())
}

fn reject_gaps(directory: &Path, sequences: &[u64]) -> Result<(), StorageError> {
    for pair in sequences.windows(2) {
        if pair[0] + 1 != pair[1] {
            let missing = segment::path_of(directory, pair[0] + 1);
            return Err(damaged(&missing, 0, "the segment is missing"));
        }
    }
    Ok(())
}
