//! The relay's copy of the configuration, with its most recent changes.

use std::collections::VecDeque;
use wingshore_types::Revision;
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::protocol::control::ConfigurationUpdate;

/// A configuration whose revision never decreases, with the most recent changes.
#[derive(Debug)]
pub(super) struct ConfigurationCopy {
    configuration: Configuration,
    /// The most recent changes; the last one led to the revision of `configuration`.
    changes: VecDeque<ConfigurationChange>,
    retained_changes: usize,
    needs_snapshot: bool,
    received: bool,
}

impl ConfigurationCopy {
    pub(super) fn new(retained_changes: usize) -> Self {
        Self {
            configuration: Configuration::default(),
            changes: VecDeque::new(),
            retained_changes,
            needs_snapshot: false,
            received: false,
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns whether an update from upstream has been applied.
    pub(super) fn has_received_update(&self) -> bool {
        self.received
    }

    /// Returns the revision to send in the next upstream watch; zero requests a snapshot.
    pub(super) fn request_revision(&self) -> Revision {
        if self.needs_snapshot {
            Revision(0)
        } else {
            self.revision()
        }
    }

    /// Applies an update. Returns whether it is consistent with the copy; if it is not, a snapshot
    /// is requested next.
    pub(super) fn apply(&mut self, update: ConfigurationUpdate) -> bool {
        let is_consistent = match update {
            ConfigurationUpdate::Unchanged => {
                !self.needs_snapshot || self.revision() == Revision(0)
            }
            ConfigurationUpdate::Delta { from, changes } => self.apply_delta(from, changes),
            ConfigurationUpdate::Snapshot(snapshot) => self.replace(*snapshot),
        };
        self.needs_snapshot = !is_consistent;
        self.received |= is_consistent;
        is_consistent
    }

    /// Returns the update for a watcher that holds revision `have`.
    pub(super) fn update_since(&self, have: Revision) -> ConfigurationUpdate {
        let revision = self.revision();
        if have >= revision {
            return ConfigurationUpdate::Unchanged;
        }
        let missing = revision.0 - have.0;
        let kept = self.changes.len();
        match usize::try_from(missing) {
            Ok(missing) if missing <= kept => ConfigurationUpdate::Delta {
                from: have,
                changes: self.changes.range(kept - missing..).cloned().collect(),
            },
            _ => ConfigurationUpdate::Snapshot(Box::new(self.configuration.clone())),
        }
    }

    fn apply_delta(&mut self, from: Revision, changes: Vec<ConfigurationChange>) -> bool {
        if from == self.revision() {
            return changes.into_iter().all(|change| self.apply_change(change));
        }
        if from != Revision(0) {
            return false;
        }
        let mut snapshot = Configuration::default();
        let is_consistent = changes.iter().all(|change| snapshot.apply(change).is_ok());
        is_consistent && self.replace(snapshot)
    }

    /// Applies one change completely or not at all, so that an inconsistent change leaves the copy
    /// at a committed revision.
    fn apply_change(&mut self, change: ConfigurationChange) -> bool {
        if self.configuration.apply(&change).is_err() {
            return false;
        }
        self.changes.push_back(change);
        if self.changes.len() > self.retained_changes {
            self.changes.pop_front();
        }
        true
    }

    fn replace(&mut self, snapshot: Configuration) -> bool {
        if snapshot.revision < self.revision() {
            return false;
        }
        if snapshot.revision > self.revision() {
            self.configuration = snapshot;
            self.changes.clear();
        }
        true
    }
}
