//! Records of the log segments and their replay.
//!
//! Segments are append-only. Truncating entries at the end or discarding them at the front is a
//! record of its own, so that one write and one sync make a whole batch durable.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use wingshore_types::LogIndex;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot};

/// Version of the record format.
pub(crate) const FORMAT: u16 = 1;

/// A record of a segment. Each frame of a segment holds the records of one write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record<'a> {
    /// The first record of each segment; it lets earlier segments be removed.
    SegmentStart {
        /// [`FORMAT`] of the process that wrote the segment.
        format: u16,
        /// The hard state at the start of the segment.
        hard_state: Option<Cow<'a, [u8]>>,
    },
    /// Replaces the hard state.
    HardState(Cow<'a, [u8]>),
    /// Removes the entries from this index on.
    TruncateFrom(LogIndex),
    /// Appends an entry.
    Append(Cow<'a, LogRecord>),
    /// Discards the entries up to and including this index.
    DiscardThrough(LogIndex),
}

/// The log state after the records replayed so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    hard_state: Option<Vec<u8>>,
    entries: Vec<LogRecord>,
}

impl Replay {
    /// Applies the records of one frame.
    ///
    /// # Errors
    /// Returns the reason if a record is invalid.
    pub(crate) fn apply_frame(&mut self, payload: &[u8]) -> Result<(), String> {
        let records: Vec<Record<'static>> =
            postcard::from_bytes(payload).map_err(|error| format!("unreadable record: {error}"))?;
        records
            .into_iter()
            .try_for_each(|record| self.apply_record(record))
    }

    fn apply_record(&mut self, record: Record<'static>) -> Result<(), String> {
        match record {
            Record::SegmentStart { format, hard_state } => {
                check_format(format)?;
                self.hard_state = hard_state.map(Cow::into_owned);
            }
            Record::HardState(bytes) => self.hard_state = Some(bytes.into_owned()),
            Record::TruncateFrom(index) => self.entries.retain(|entry| entry.index < index),
            Record::Append(entry) => self.append(entry.into_owned())?,
            Record::DiscardThrough(index) => self.entries.retain(|entry| entry.index > index),
        }
        Ok(())
    }

    fn append(&mut self, entry: LogRecord) -> Result<(), String> {
        if let Some(last) = self.entries.last()
            && entry.index.0 != last.index.0 + 1
        {
            return Err(format!(
                "entry {} follows entry {}",
                entry.index, last.index
            ));
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Returns the index of the last entry.
    pub(crate) fn last_index(&self) -> Option<LogIndex> {
        self.entries.last().map(|entry| entry.index)
    }

    /// Combines the log with the snapshot. A crash between the write of a snapshot and of the
    /// records that belong to it leaves entries that the snapshot supersedes; the returned log
    /// then omits them, and the returned flag is `true`.
    ///
    /// # Errors
    /// Returns the reason if entries between the snapshot and the log are missing.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<StoredSnapshot>,
    ) -> Result<(RecoveredLog, bool), String> {
        let superseded = self.is_superseded_by(snapshot.as_ref());
        if superseded {
            self.entries.clear();
        }
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
        match self.entries.first() {
            Some(first) if first.index.0 > base + 1 => Err(format!(
                "the log starts at entry {} and the snapshot ends at entry {base}",
                first.index
            )),
            _ => Ok((
                RecoveredLog {
                    hard_state: self.hard_state,
                    snapshot,
                    records: self.entries,
                },
                superseded,
            )),
        }
    }

    fn is_superseded_by(&self, snapshot: Option<&StoredSnapshot>) -> bool {
        let (Some(snapshot), Some(last)) = (snapshot, self.last_index()) else {
            return false;
        };
        let entry_at_snapshot = self
            .entries
            .iter()
            .find(|entry| entry.index == snapshot.index);
        last < snapshot.index || entry_at_snapshot.is_some_and(|entry| entry.term != snapshot.term)
    }
}

fn check_format(format: u16) -> Result<(), String> {
    if format == FORMAT {
        return Ok(());
    }
    Err(format!(
        "the segment has format {format}, this program reads format {FORMAT}"
    ))
}
