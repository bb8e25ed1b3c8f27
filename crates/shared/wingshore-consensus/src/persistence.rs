//! What of a member's state is durable, and the one write under way.
//!
//! Changes made while a write is under way are collected and go out together as the next one. What
//! depends on a write is sent only once its token is durable.

use crate::entry::{CodecError, Entry, HardState};
use crate::log::RaftLog;
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::log::{StoredSnapshot, WriteBatch};

/// A write handed out and not yet reported durable.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    token: u64,
    last_index: LogIndex,
}

/// Tracks durability.
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
    /// Starts with a log that is durable through `last_index`.
    pub(crate) fn recovered(last_index: LogIndex) -> Self {
        Self {
            written_index: last_index,
            persisted_index: last_index,
            ..Self::default()
        }
    }

    /// The last durable entry.
    pub(crate) fn persisted_index(&self) -> LogIndex {
        self.persisted_index
    }

    /// The hard state has changed.
    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_dirty = true;
        self.hard_state_token = self.last_token + 1;
    }

    /// Whether the hard state is durable as it is now.
    pub(crate) fn hard_state_is_durable(&self) -> bool {
        self.hard_state_token <= self.persisted_token
    }

    /// Whether the write that carries the hard state as it was at `token` is durable.
    pub(crate) fn is_durable(&self, token: u64) -> bool {
        token <= self.persisted_token
    }

    /// The write that makes the hard state durable.
    pub(crate) fn hard_state_token(&self) -> u64 {
        self.hard_state_token
    }

    /// The log was truncated in memory.
    pub(crate) fn truncated_from(&mut self, index: LogIndex) {
        if index > self.written_index {
            return;
        }
        let kept = LogIndex(index.0.saturating_sub(1));
        let earlier = self.truncate_from.unwrap_or(index);
        self.truncate_from = Some(earlier.min(index));
        self.written_index = kept;
        self.persisted_index = self.persisted_index.min(kept);
        if let Some(pending_write) = &mut self.pending_write {
            pending_write.last_index = pending_write.last_index.min(kept);
        }
    }

    /// A snapshot from the leader took the place of the whole log. A crash may leave the
    /// snapshot beside old records; recovery drops records that do not agree with it.
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

    /// A snapshot of the own state was taken; records through `discard_through` may go after it.
    pub(crate) fn compacted(&mut self, snapshot: Arc<StoredSnapshot>, discard_through: LogIndex) {
        self.snapshot = Some(snapshot);
        self.discard(discard_through);
    }

    /// Records through `index` may go; a durable snapshot covers them.
    pub(crate) fn discard(&mut self, index: LogIndex) {
        self.discard_through = Some(self.discard_through.map_or(index, |old| old.max(index)));
    }

    /// Every record on disk must go.
    pub(crate) fn discard_all_records(&mut self) {
        self.truncate_from = Some(LogIndex(1));
    }

    /// The next write, unless one is under way or there is nothing to write.
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

    /// The write is durable; `false` when it was not the one under way.
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
