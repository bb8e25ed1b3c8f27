//! The newest changes of the configuration, kept so that outdated watchers get a delta.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::ids::Revision;
use wingshore_types::protocol::control::ConfigurationUpdate;

/// Most changes kept.
pub const CHANGES_KEPT: usize = 4_096;
/// Most encoded bytes of changes kept: beyond that a snapshot costs no more than a delta. The
/// configuration of 10,000 servers and 1,900 nodes takes 523 kB.
const CHANGE_BYTES_KEPT: u64 = 256 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeptChange {
    change: ConfigurationChange,
    bytes: u32,
}

/// The newest committed changes; the last one led to the current revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeHistory {
    changes: VecDeque<KeptChange>,
    bytes: u64,
}

impl ChangeHistory {
    /// Adds the newest change and evicts the oldest ones beyond the limits.
    pub(crate) fn push(&mut self, change: ConfigurationChange) {
        let bytes = encoded_bytes(&change);
        self.changes.push_back(KeptChange { change, bytes });
        self.bytes += u64::from(bytes);
        while self.changes.len() > CHANGES_KEPT || self.bytes > CHANGE_BYTES_KEPT {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= u64::from(oldest.bytes);
        }
    }

    /// Returns the changes after revision `from` up to `current`, if all of them are still kept.
    pub(crate) fn since(
        &self,
        from: Revision,
        current: Revision,
    ) -> Option<impl Iterator<Item = &ConfigurationChange>> {
        let missing = usize::try_from(current.0.checked_sub(from.0)?).ok()?;
        let skipped = self.changes.len().checked_sub(missing)?;
        Some(self.changes.iter().skip(skipped).map(|kept| &kept.change))
    }

    /// Returns the update that brings a watcher from revision `have` to `configuration`.
    pub(crate) fn update(
        &self,
        have: Revision,
        configuration: &Configuration,
    ) -> ConfigurationUpdate {
        if have >= configuration.revision {
            return ConfigurationUpdate::Unchanged;
        }
        match self.since(have, configuration.revision) {
            Some(changes) => ConfigurationUpdate::Delta {
                from: have,
                changes: changes.cloned().collect(),
            },
            None => ConfigurationUpdate::Snapshot(Box::new(configuration.clone())),
        }
    }
}

fn encoded_bytes(change: &ConfigurationChange) -> u32 {
    let size = postcard::experimental::serialized_size(change).unwrap_or(usize::MAX);
    u32::try_from(size).unwrap_or(u32::MAX)
}
