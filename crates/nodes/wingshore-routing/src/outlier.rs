//! Outlier detection: decides whether a server whose requests fail is ejected, and for how long.
//!
//! Inputs: the outcomes of this node's own requests, and the servers of the subset that are
//! currently ejected.
//!
//! A number of consecutive failures ejects a server, so that one faulty server does not use up the
//! retry budget. Each further ejection lasts twice as long, up to a limit, and successes shorten
//! the next one again. At most a share of a service's servers is ejected at the same time, so that
//! a fault common to all servers does not eject all of them. The limits are settings.

use std::time::Duration;
use wingshore_types::configuration::Permille;
use wingshore_types::{Instant, doubled_backoff};

/// Limits of ejections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionLimits {
    pub(crate) failure_threshold: u32,
    pub(crate) base_duration: Duration,
    pub(crate) max_duration: Duration,
}

/// Failures and ejections of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    /// Returns whether the server is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the time at which the ejection ends.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Records a successful request. It resets the count of consecutive failures; if that count is
    /// zero already, it shortens the next ejection.
    pub(crate) fn on_success(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
        } else if self.ejections > 0 && self.ejected_until.is_none() {
            self.ejections -= 1;
        }
    }

    /// Records a failed request. Returns whether the server should be ejected, subject to
    /// [`may_eject_another`].
    pub(crate) fn on_failure(&mut self, limits: EjectionLimits) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.ejected_until.is_none() && self.failures >= limits.failure_threshold
    }

    /// Ejects the server.
    pub(crate) fn eject(&mut self, now: Instant, limits: EjectionLimits) {
        let duration = doubled_backoff(limits.base_duration, self.ejections, limits.max_duration);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.ejected_until = Some(now + duration);
    }

    /// Ends the ejection if its time has passed. Returns whether it did.
    pub(crate) fn release(&mut self, now: Instant) -> bool {
        match self.ejected_until {
            Some(until) if now >= until => {
                self.ejected_until = None;
                true
            }
            _ => false,
        }
    }
}

/// Returns whether one more of `servers` may be ejected while `ejected` of them are.
pub(crate) fn may_eject_another(ejected: usize, servers: usize, most: Permille) -> bool {
    let allowed = servers * usize::from(most.0) / 1000;
    ejected < allowed
}
