//! The log as a member holds it in memory: what follows the compacted part.

use crate::entry::Entry;
use std::collections::VecDeque;
use wingshore_types::LogIndex;

/// Entries after the compacted part.
///
/// Invariant: entry `i` of the deque has index `base_index + 1 + i`; everything up to
/// `base_index` is committed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaftLog {
    base_index: LogIndex,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Sum of [`Entry::size`] over `entries`.
    bytes: usize,
}

impl RaftLog {
    /// An empty log after `base_index`.
    pub(crate) fn new(base_index: LogIndex, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Bytes of the entries in memory.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The last compacted index.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// The last index.
    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// The entry at `index`, unless it is compacted or not written yet.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term at `index`, when known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Whether the entry at `index` is known to have this term. What was compacted is committed,
    /// and so equal in each log a leader may speak of.
    pub(crate) fn matches(&self, index: LogIndex, term: u64) -> bool {
        index < self.base_index || self.term_at(index) == Some(term)
    }

    /// Adds an entry; its index must be the next one.
    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base_index.0 + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        while self.entries.len() > kept {
            let removed = self.entries.pop_back();
            self.bytes -= removed.map_or(0, |entry| entry.size());
        }
    }

    /// Removes the entries up to `index`.
    pub(crate) fn compact_through(&mut self, index: LogIndex) {
        while self.base_index < index && self.remove_first() {}
    }

    /// Removes the oldest entries up to `index` while more than `bytes` remain.
    pub(crate) fn trim_through(&mut self, index: LogIndex, bytes: usize) {
        while self.base_index < index && self.bytes > bytes && self.remove_first() {}
    }

    /// Removes the oldest entry; `false` when there is none.
    fn remove_first(&mut self) -> bool {
        let Some(entry) = self.entries.pop_front() else {
            return false;
        };
        self.bytes -= entry.size();
        self.base_index = entry.index;
        self.base_term = entry.term;
        true
    }

    /// The entries of `from..=through`, at most `max_bytes` unless the first alone is larger.
    pub(crate) fn slice(&self, from: LogIndex, through: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while index <= through {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index.0 += 1;
        }
        entries
    }

    /// The last index not after `index` whose term is not above `term`, and its term: the logs
    /// cannot agree between it and `index`.
    pub(crate) fn last_with_term_at_most(&self, index: LogIndex, term: u64) -> (LogIndex, u64) {
        let mut index = index.min(self.last_index());
        while let Some(found) = self.term_at(index) {
            if found <= term || index == self.base_index {
                return (index, found);
            }
            index.0 -= 1;
        }
        (index, 0)
    }

    /// The highest index up to `index` that leaves at least `bytes` of entries after it.
    pub(crate) fn compaction_point(&self, index: LogIndex, bytes: usize) -> LogIndex {
        let mut kept = 0;
        let mut point = self.last_index();
        while point > self.base_index && (kept < bytes || point > index) {
            kept += self.entry(point).map_or(0, Entry::size);
            point.0 -= 1;
        }
        point
    }
}
