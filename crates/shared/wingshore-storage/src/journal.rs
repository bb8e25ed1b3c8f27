//! Records of the log's segments, and what replaying them gives.
//!
//! Segments are only ever appended to. Removing entries from the end, or discarding them from
//! the front, is a record of its own, so that one write and one sync make a whole batch durable.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use wingshore_types::LogIndex;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot};

/// Version of the records' format.
pub(crate) const FORMAT: u16 = 1;

/// One record. A frame of a segment holds those of one batch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record<'a> {
    /// First in each segment, so that earlier segments can be removed.
    SegmentStart {
        /// [`FORMAT`] of the writer.
        format: u16,
        /// The hard state so far.
        hard_state: Option<Cow<'a, [u8]>>,
    },
    /// Replaces the hard state.
    HardState(Cow<'a, [u8]>),
    /// Removes the entries from an index on.
    TruncateFrom(LogIndex),
    /// Adds an entry.
    Append(Cow<'a, LogRecord>),
    /// Discards entries up to an index.
    DiscardThrough(LogIndex),
}

/// The log as the records read so far make it.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    hard_state: Option<Vec<u8>>,
    entries: Vec<LogRecord>,
}

impl Replay {
    /// Takes the records of one frame.
    ///
    /// # Errors
    /// Says what is wrong with them.
    pub(crate) fn take_frame(&mut self, payload: &[u8]) -> Result<(), String> {
        let records: Vec<Record<'static>> =
            postcard::from_bytes(payload).map_err(|error| format!("unreadable record: {error}"))?;
        records.into_iter().try_for_each(|record| self.take(record))
    }

    fn take(&mut self, record: Record<'static>) -> Result<(), String> {
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

    /// The last entry's index.
    pub(crate) fn last_index(&self) -> Option<LogIndex> {
        self.entries.last().map(|entry| entry.index)
    }

    /// Puts log and snapshot together. A crash between the snapshot and the records that belong
    /// to it leaves entries that the snapshot overrides; then the log is
    /// without them, and `true` is returned with it.
    ///
    /// # Errors
    /// Says which entries are missing.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<StoredSnapshot>,
    ) -> Result<(RecoveredLog, bool), String> {
        let overridden = self.is_overridden_by(snapshot.as_ref());
        if overridden {
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
                overridden,
            )),
        }
    }

    fn is_overridden_by(&self, snapshot: Option<&StoredSnapshot>) -> bool {
        let (Some(snapshot), Some(last)) = (snapshot, self.last_index()) else {
            return false;
        };
        let same_place = self
            .entries
            .iter()
            .find(|entry| entry.index == snapshot.index);
        last < snapshot.index || same_place.is_some_and(|entry| entry.term != snapshot.term)
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
