//! The node's copy of the replicated configuration.
//!
//! The local revision never decreases. An update that does not apply to the local revision changes
//! nothing and makes the next watch request a full snapshot. The lease starts when the watch was
//! *sent*, so it expires here no later than the control group assumes.

use std::sync::Arc;
use std::time::Duration;
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::protocol::control::ConfigurationUpdate;
use wingshore_types::{Instant, Revision};

/// Policy for new work while the node holds no configuration lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutLease {
    /// Refuses new work as not run. This guarantees that a committed configuration is in force on
    /// every node within one lease duration.
    #[default]
    Refuse,
    /// Serves new work under the last known configuration, which may be stale.
    Serve,
}

/// Reason why new work is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// No configuration has arrived yet.
    NoConfiguration,
    /// The configuration lease has expired, and [`WithoutLease::Refuse`] is set.
    LeaseExpired,
}

/// Revisions that the next watch request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    /// The revision from which changes are requested; zero requests a full snapshot.
    pub have: Revision,
    /// The revision to acknowledge as in force.
    pub in_force: Revision,
}

/// Effect of a configuration update on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The revision did not change; the lease was renewed.
    Unchanged,
    /// A newer configuration is in force; the lease was renewed.
    Advanced {
        /// The previous revision.
        from: Revision,
        /// The new revision.
        to: Revision,
    },
    /// The update results in a lower revision than the one in force; it was ignored.
    Older {
        /// The revision that the update results in.
        offered: Revision,
    },
    /// The update does not apply to the local revision; it was ignored, and the next watch requests
    /// a full snapshot.
    Inapplicable,
}

/// The node's copy of the configuration and its lease, which decide whether new work is admitted.
#[derive(Clone, Debug)]
pub struct ConfigurationView {
    configuration: Arc<Configuration>,
    received: bool,
    needs_snapshot: bool,
    lease_expires_at: Option<Instant>,
    without_lease: WithoutLease,
}

impl ConfigurationView {
    /// Creates a view that has received no configuration yet.
    pub fn new(without_lease: WithoutLease) -> Self {
        Self {
            configuration: Arc::new(Configuration::default()),
            received: false,
            needs_snapshot: false,
            lease_expires_at: None,
            without_lease,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns whether a configuration has been received.
    pub fn is_received(&self) -> bool {
        self.received
    }

    /// Returns the revisions that the next watch requests and acknowledges.
    pub fn watch_position(&self) -> WatchPosition {
        let have = if self.needs_snapshot {
            Revision(0)
        } else {
            self.revision()
        };
        WatchPosition {
            have,
            in_force: self.revision(),
        }
    }

    /// Applies the answer to a watch that was sent at `sent_at`. Unless the update is ignored, the
    /// lease is extended to `sent_at + lease`.
    pub fn apply(
        &mut self,
        sent_at: Instant,
        update: ConfigurationUpdate,
        lease: Duration,
    ) -> UpdateOutcome {
        let outcome = match update {
            ConfigurationUpdate::Unchanged => self.on_unchanged(),
            ConfigurationUpdate::Delta { from, changes } => self.apply_delta(from, &changes),
            ConfigurationUpdate::Snapshot(whole) => self.advance_to(*whole),
        };
        match outcome {
            UpdateOutcome::Unchanged | UpdateOutcome::Advanced { .. } => {
                self.received = true;
                self.needs_snapshot = false;
                self.extend_lease(sent_at + lease);
            }
            UpdateOutcome::Inapplicable => self.needs_snapshot = true,
            UpdateOutcome::Older { .. } => {}
        }
        outcome
    }

    /// Returns whether the configuration lease is valid at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_expires_at.is_some_and(|until| now < until)
    }

    /// Returns the remaining time of the lease; zero when none is held.
    pub fn lease_left(&self, now: Instant) -> Duration {
        self.lease_expires_at
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Checks whether new work may be admitted at `now`.
    ///
    /// # Errors
    /// Returns the reason when new work must be refused; the work has not run.
    pub fn may_admit(&self, now: Instant) -> Result<(), NotAdmitted> {
        if !self.received {
            return Err(NotAdmitted::NoConfiguration);
        }
        if self.holds_lease(now) || self.without_lease == WithoutLease::Serve {
            return Ok(());
        }
        Err(NotAdmitted::LeaseExpired)
    }

    /// Handles `Unchanged`, which refers to the requested revision: it is invalid for a view that
    /// requested a full snapshot while a configuration was already in force.
    fn on_unchanged(&self) -> UpdateOutcome {
        if self.needs_snapshot && self.revision() != Revision(0) {
            return UpdateOutcome::Inapplicable;
        }
        UpdateOutcome::Unchanged
    }

    fn apply_delta(&mut self, from: Revision, changes: &[ConfigurationChange]) -> UpdateOutcome {
        let base = if from == self.revision() {
            self.configuration.as_ref().clone()
        } else if from == Revision(0) {
            Configuration::default()
        } else {
            return UpdateOutcome::Inapplicable;
        };
        match apply_all(base, changes) {
            Some(next) => self.advance_to(next),
            None => UpdateOutcome::Inapplicable,
        }
    }

    fn advance_to(&mut self, next: Configuration) -> UpdateOutcome {
        let from = self.revision();
        let to = next.revision;
        if to < from {
            return UpdateOutcome::Older { offered: to };
        }
        if to == from {
            return UpdateOutcome::Unchanged;
        }
        self.configuration = Arc::new(next);
        UpdateOutcome::Advanced { from, to }
    }

    fn extend_lease(&mut self, until: Instant) {
        let later = self
            .lease_expires_at
            .map_or(until, |current| current.max(until));
        self.lease_expires_at = Some(later);
    }
}

fn apply_all(mut base: Configuration, changes: &[ConfigurationChange]) -> Option<Configuration> {
    for change in changes {
        base.apply(change).ok()?;
    }
    Some(base)
}
