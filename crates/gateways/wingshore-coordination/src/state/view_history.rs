//! History of the gateways' view: the log index at which each part last changed.

use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::LogIndex;

/// Maximum number of tracked parts, 100 to 150 bytes each: all servers of a site of this size may
/// change while a gateway is unreachable. A gateway that has missed more receives the complete
/// view, which is no longer than that.
const MAX_TRACKED_PARTS: usize = 16_384;

/// A part of the view that can be sent separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ViewPart {
    Configuration,
    Server(InstanceId),
    FingerprintKey,
    Suspect(RequestFingerprint),
}

/// Changes of the view. Each member records its own history while it applies the log; snapshots do
/// not contain it.
///
/// Invariants: each part is in `changes` once, at the last entry that changed it; `changes`
/// contains every part that has changed after `complete_from`.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewHistory {
    complete_from: Option<LogIndex>,
    changes: BTreeMap<LogIndex, BTreeSet<ViewPart>>,
    changed_at: BTreeMap<ViewPart, LogIndex>,
}

impl PartialEq for ViewHistory {
    /// All histories are equal: how a state was reached is not part of the state.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl ViewHistory {
    /// Starts the history at the first entry that is applied.
    pub(crate) fn begin_entry(&mut self, index: LogIndex) {
        self.complete_from
            .get_or_insert(LogIndex(index.0.saturating_sub(1)));
    }

    /// Records that an entry has changed a part.
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

    /// Returns the log index after which all changes are known; `None` while no entry was applied.
    pub(crate) fn complete_from(&self) -> Option<LogIndex> {
        self.complete_from
    }

    /// Returns the index of the last entry that is known to have changed the view.
    pub(crate) fn newest(&self) -> Option<LogIndex> {
        self.changes.keys().next_back().copied()
    }

    /// Returns the parts that have changed after `since`, in the order of their last changes.
    pub(crate) fn parts_since(&self, since: LogIndex) -> impl Iterator<Item = &ViewPart> {
        let first = LogIndex(since.0 + 1);
        self.changes.range(first..).flat_map(|(_, parts)| parts)
    }
}
