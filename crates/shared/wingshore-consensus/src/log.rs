//! The part of a member's log that is in memory, after the compacted prefix.

use crate::entry::Entry;
use std::collections::VecDeque;
use wingshore_types::LogIndex;

/// RaftLog holds the entries after the compacted prefix.
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
    /// Returns an empty log whose next index is `base_index + 1`.
    pub(crate) fn new(base_index: LogIndex, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the size of the entries in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the last compacted index.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the last index.
    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it is compacted or beyond the end of the log.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at `index`, or `None` if it is not known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns whether the entry at `index` is known to have this term. Compacted entries are
    /// committed, and so equal in the log of every leader.
    pub(crate) fn matches(&self, index: LogIndex, term: u64) -> bool {
        index < self.base_index || self.term_at(index) == Some(term)
    }

    /// Appends an entry, whose index must be the next one.
    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept_entries = index.0.saturating_sub(self.base_index.0 + 1);
        let kept_entries = usize::try_from(kept_entries).unwrap_or(usize::MAX);
        while self.entries.len() > kept_entries {
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

    /// Removes the oldest entry. Returns `false` if there is none.
    fn remove_first(&mut self) -> bool {
        let Some(entry) = self.entries.pop_front() else {
            return false;
        };
        self.bytes -= entry.size();
        self.base_index = entry.index;
        self.base_term = entry.term;
        true
    }

    /// Returns the entries of `from..=through`, up to `max_bytes` in total, but at least the first.
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

    /// Returns the last index not after `index` whose term is at most `term`, and its term. The
    /// logs cannot agree between that index and `index`.
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

    /// Returns the highest index up to `index` that leaves at least `bytes` of entries after it.
    pub(crate) fn compaction_point(&self, index: LogIndex, bytes: usize) -> LogIndex {
        let mut kept_bytes = 0;
        let mut point = self.last_index();
        while point > self.base_index && (kept_bytes < bytes || point > index) {
            kept_bytes += self.entry(point).map_or(0, Entry::size);
            point.0 -= 1;
        }
        point
    }
}
