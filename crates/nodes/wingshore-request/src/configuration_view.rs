//! The node's copy of the replicated configuration.
//!
//! The revision in force here never goes down. An update that does not fit what is held changes
//! nothing and makes the next watch ask for the whole. The lease is counted from the moment the
//! watch was *sent*, so that it ends here no later than the control group believes.

use std::sync::Arc;
use std::time::Duration;
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::protocol::control::ConfigurationUpdate;
use wingshore_types::{Instant, Revision};

/// What a node does with new work while it holds no configuration lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutLease {
    /// Refuses it as not run. Keeps the promise that an accepted configuration is in force
    /// everywhere within the lease.
    #[default]
    Refuse,
    /// Serves it by the last configuration known, which may be out of date.
    Serve,
}

/// Why new work is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// No configuration has arrived yet.
    NoConfiguration,
    /// The configuration lease has run out, and the setting is to refuse without one.
    LeaseExpired,
}

/// What the next watch is to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    /// The revision to ask from: zero when the whole is wanted.
    pub have: Revision,
    /// The revision to acknowledge as in force.
    pub in_force: Revision,
}

/// What an update did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The configuration is the one held already; the lease was renewed.
    Unchanged,
    /// A later configuration is in force; the lease was renewed.
    Advanced {
        /// The revision before.
        from: Revision,
        /// The revision now.
        to: Revision,
    },
    /// The update leads to a lower revision than the one in force; nothing was changed.
    Older {
        /// The revision it leads to.
        offered: Revision,
    },
    /// The update does not fit what is held; nothing was changed, and the next watch asks for
    /// the whole.
    Misfit,
}

/// The copy of the configuration, its lease, and what may be admitted under it.
#[derive(Clone, Debug)]
pub struct ConfigurationView {
    configuration: Arc<Configuration>,
    received: bool,
    wants_whole: bool,
    lease_until: Option<Instant>,
    without_lease: WithoutLease,
}

impl ConfigurationView {
    /// A view that has received nothing yet.
    pub fn new(without_lease: WithoutLease) -> Self {
        Self {
            configuration: Arc::new(Configuration::default()),
            received: false,
            wants_whole: false,
            lease_until: None,
            without_lease,
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Whether any configuration has arrived.
    pub fn is_received(&self) -> bool {
        self.received
    }

    /// What the next watch is to ask for and acknowledge.
    pub fn watch_position(&self) -> WatchPosition {
        let have = if self.wants_whole {
            Revision(0)
        } else {
            self.revision()
        };
        WatchPosition {
            have,
            in_force: self.revision(),
        }
    }

    /// Applies the answer to a watch that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        sent_at: Instant,
        update: ConfigurationUpdate,
        lease: Duration,
    ) -> UpdateOutcome {
        let outcome = match update {
            ConfigurationUpdate::Unchanged => self.keep(),
            ConfigurationUpdate::Delta { from, changes } => self.apply_delta(from, &changes),
            ConfigurationUpdate::Snapshot(whole) => self.advance_to(*whole),
        };
        match outcome {
            UpdateOutcome::Unchanged | UpdateOutcome::Advanced { .. } => {
                self.received = true;
                self.wants_whole = false;
                self.extend_lease(sent_at + lease);
            }
            UpdateOutcome::Misfit => self.wants_whole = true,
            UpdateOutcome::Older { .. } => {}
        }
        outcome
    }

    /// Whether the configuration lease is held at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Time left of the lease; zero when none is held.
    pub fn lease_left(&self, now: Instant) -> Duration {
        self.lease_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether new work may be admitted at `now`.
    ///
    /// # Errors
    /// Says what is missing; the work has not run.
    pub fn may_admit(&self, now: Instant) -> Result<(), NotAdmitted> {
        if !self.received {
            return Err(NotAdmitted::NoConfiguration);
        }
        if self.holds_lease(now) || self.without_lease == WithoutLease::Serve {
            return Ok(());
        }
        Err(NotAdmitted::LeaseExpired)
    }

    /// "Unchanged" answers the position asked for: it means nothing to a view that asked for the
    /// whole while something was in force already.
    fn keep(&self) -> UpdateOutcome {
        if self.wants_whole && self.revision() != Revision(0) {
            return UpdateOutcome::Misfit;
        }
        UpdateOutcome::Unchanged
    }

    fn apply_delta(&mut self, from: Revision, changes: &[ConfigurationChange]) -> UpdateOutcome {
        let base = if from == self.revision() {
            self.configuration.as_ref().clone()
        } else if from == Revision(0) {
            Configuration::default()
        } else {
            return UpdateOutcome::Misfit;
        };
        match apply_all(base, changes) {
            Some(next) => self.advance_to(next),
            None => UpdateOutcome::Misfit,
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
        let later = self.lease_until.map_or(until, |current| current.max(until));
        self.lease_until = Some(later);
    }
}

fn apply_all(mut base: Configuration, changes: &[ConfigurationChange]) -> Option<Configuration> {
    for change in changes {
        base.apply(change).ok()?;
    }
    Some(base)
}
