//! Tracking of the durable state and of the pending write.
//!
//! At most one write is pending. Changes made meanwhile are collected and written together as the
//! next write. Messages that depend on a write are sent only once its token is durable.

use crate::entry::{CodecError, Entry, HardState};
use crate::log::RaftLog;
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::log::{StoredSnapshot, WriteBatch};

/// A write that was emitted and is not yet reported durable.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    token: u64,
    last_index: LogIndex,
}

/// Persistence tracks which part of the log and of the hard state is durable.
///
/// Invariants: `persisted_index <= written_index`; every entry up to `persisted_index` that is in
/// the log in memory is durable; tokens become durable in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Persistence {
    last_token: u64,
    persisted_token: u64,
    pending_write: Option<PendingWrite>,
    hard_state_token: u64,
    hard_state_dirty: bool,
    snapshot: Option<Arc<StoredSnapshot>>,
    truncate_from: Option<LogIndex>,
    discard_through: Option<LogIndex>,
    written_index: LogIndex,
    persisted_index: LogIndex,
}

impl Persistence {
    /// Returns the state after recovery of a log that is durable through `last_index`.
    pub(crate) fn recovered(last_index: LogIndex) -> Self {
        Self {
            written_index: last_index,
            persisted_index: last_index,
            ..Self::default()
        }
    }

    /// Returns the index of the last durable entry.
    pub(crate) fn persisted_index(&self) -> LogIndex {
        self.persisted_index
    }

    /// Records that the hard state has changed and must be written.
    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_dirty = true;
        self.hard_state_token = self.last_token + 1;
    }

    /// Returns whether the current hard state is durable.
    pub(crate) fn hard_state_is_durable(&self) -> bool {
        self.hard_state_token <= self.persisted_token
    }

    /// Returns whether the write with this token is durable.
    pub(crate) fn is_durable(&self, token: u64) -> bool {
        token <= self.persisted_token
    }

    /// Returns the token of the write that makes the current hard state durable.
    pub(crate) fn hard_state_token(&self) -> u64 {
        self.hard_state_token
    }

    /// Records that the log in memory was truncated from `index` on.
    pub(crate) fn truncated_from(&mut self, index: LogIndex) {
        if index > self.written_index {
            return;
        }
        let last_kept = LogIndex(index.0.saturating_sub(1));
        let earlier = self.truncate_from.unwrap_or(index);
        self.truncate_from = Some(earlier.min(index));
        self.written_index = last_kept;
        self.persisted_index = self.persisted_index.min(last_kept);
        if let Some(pending_write) = &mut self.pending_write {
            pending_write.last_index = pending_write.last_index.min(last_kept);
        }
    }

    /// Records that a snapshot from the leader replaced the whole log. A crash may leave the
    /// snapshot next to old records; recovery drops the records that do not match it.
    pub(crate) fn replaced_by_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) {
        self.truncate_from = Some(LogIndex(1));
        self.discard_through = Some(snapshot.index);
        self.written_index = snapshot.index;
        self.persisted_index = LogIndex(0);
        if let Some(pending_write) = &mut self.pending_write {
            pending_write.last_index = LogIndex(0);
        }
        self.snapshot = Some(snapshot);
    }

    /// Records that a snapshot of the own state was taken. Records through `discard_through` may be
    /// deleted after it is written.
    pub(crate) fn compacted(&mut self, snapshot: Arc<StoredSnapshot>, discard_through: LogIndex) {
        self.snapshot = Some(snapshot);
        self.discard(discard_through);
    }

    /// Records that a durable snapshot covers the records through `index`, which may be deleted.
    pub(crate) fn discard(&mut self, index: LogIndex) {
        self.discard_through = Some(self.discard_through.map_or(index, |old| old.max(index)));
    }

    /// Requests the deletion of every record on disk.
    pub(crate) fn discard_all_records(&mut self) {
        self.truncate_from = Some(LogIndex(1));
    }

    /// Returns the next write, or `None` if a write is pending or there is nothing to write.
    pub(crate) fn next_write(
        &mut self,
        log: &RaftLog,
        hard_state: &HardState,
    ) -> Result<Option<(u64, WriteBatch)>, CodecError> {
        if self.pending_write.is_some() || !self.is_dirty(log) {
            return Ok(None);
        }
        let first = LogIndex(self.written_index.0.max(log.base_index().0) + 1);
        let entries = log.slice(first, log.last_index(), usize::MAX);
        let batch = WriteBatch {
            hard_state: self.encode_hard_state(hard_state)?,
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            append: entries.iter().map(Entry::to_record).collect(),
            discard_through: self.discard_through.take(),
        };
        self.last_token += 1;
        self.written_index = log.last_index();
        self.pending_write = Some(PendingWrite {
            token: self.last_token,
            last_index: self.written_index,
        });
        Ok(Some((self.last_token, batch)))
    }

    /// Records that the write with this token is durable. Returns `false` if it is not the pending
    /// write.
    pub(crate) fn on_persisted(&mut self, token: u64) -> bool {
        match self.pending_write {
            Some(pending_write) if pending_write.token == token => {
                self.persisted_token = token;
                self.persisted_index = pending_write.last_index;
                self.pending_write = None;
                true
            }
            _ => false,
        }
    }

    fn is_dirty(&self, log: &RaftLog) -> bool {
        self.hard_state_dirty
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || self.discard_through.is_some()
            || log.last_index() > self.written_index
    }

    fn encode_hard_state(&mut self, hard_state: &HardState) -> Result<Option<Vec<u8>>, CodecError> {
        if !self.hard_state_dirty {
            return Ok(None);
        }
        self.hard_state_dirty = false;
        hard_state.encode().map(Some)
    }
}
