//! Which parts of the gateways' view have changed after which entry of the log.

use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::LogIndex;

/// Parts that are remembered, 100 to 150 bytes each: all servers of a site of this size may change
/// while a gateway is unreachable. A gateway that has missed more is sent the whole view, which is no
/// longer than that.
const MAX_TRACKED_PARTS: usize = 16_384;

/// A part of the view that is sent by itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ViewPart {
    Configuration,
    Server(InstanceId),
    FingerprintKey,
    Suspect(RequestFingerprint),
}

/// The history. Each member makes its own while it applies the log; it is no part of snapshots.
///
/// Invariants: each part is in `changes` once, at the last entry that changed it; every part that has
/// changed after `complete_from` is in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewHistory {
    complete_from: Option<LogIndex>,
    changes: BTreeMap<LogIndex, BTreeSet<ViewPart>>,
    changed_at: BTreeMap<ViewPart, LogIndex>,
}

impl PartialEq for ViewHistory {
    /// How a state came about is no part of it.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl ViewHistory {
    /// An entry is about to be applied.
    pub(crate) fn begin_entry(&mut self, index: LogIndex) {
        self.complete_from
            .get_or_insert(LogIndex(index.0.saturating_sub(1)));
    }

    /// An entry has changed a part.
    pub(crate) fn record_change(&mut self, index: LogIndex, part: ViewPart) {
        if let Some(before) = self.changed_at.insert(part.clone(), index) {
            self.remove_change(before, &part);
        }
        self.changes.entry(index).or_default().insert(part);
        while self.changed_at.len() > MAX_TRACKED_PARTS {
            let Some((oldest, parts)) = self.changes.pop_first() else {
                return;
            };
            for part in parts {
                self.changed_at.remove(&part);
            }
            self.complete_from = Some(oldest);
        }
    }

    fn remove_change(&mut self, index: LogIndex, part: &ViewPart) {
        if let Some(parts) = self.changes.get_mut(&index) {
            parts.remove(part);
            if parts.is_empty() {
                self.changes.remove(&index);
            }
        }
    }

    /// The entry after which all changes are known; `None` while no entry was applied.
    pub(crate) fn complete_from(&self) -> Option<LogIndex> {
        self.complete_from
    }

    /// The last entry that has changed anything, as far as is known.
    pub(crate) fn newest(&self) -> Option<LogIndex> {
        self.changes.keys().next_back().copied()
    }

    /// Parts that have changed after `since`, in the order of their last changes.
    pub(crate) fn parts_since(&self, since: LogIndex) -> impl Iterator<Item = &ViewPart> {
        let first = LogIndex(since.0 + 1);
        self.changes.range(first..).flat_map(|(_, parts)| parts)
    }
}
