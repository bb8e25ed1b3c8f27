//! Question: does a server whose requests fail get no more work for a while, and for how long?
//!
//! Inputs: the ends of this node's own requests, the servers of the subset that are ejected now.
//!
//! Rule: some failures in a row eject a server; each further ejection lasts twice as long, up to a
//! limit, and successes shorten the next one again. At most a share of a service's servers is ejected
//! at one time.
//!
//! Why: one bad server must not use up the retry budget, and a fault that all servers share must not
//! eject all of them. The limits are settings.

use std::time::Duration;
use wingshore_types::configuration::Permille;
use wingshore_types::{Instant, doubled_backoff};

/// Limits of ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionLimits {
    pub(crate) failure_threshold: u32,
    pub(crate) base_duration: Duration,
    pub(crate) max_duration: Duration,
}

/// The failures of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    /// Whether it is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When its ejection ends.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// A request succeeded: the count begins anew, and the next ejection is shorter.
    pub(crate) fn on_success(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
        } else if self.ejections > 0 && self.ejected_until.is_none() {
            self.ejections -= 1;
        }
    }

    /// A request failed. Returns whether the server is to be ejected, if the floor allows it.
    pub(crate) fn on_failure(&mut self, limits: EjectionLimits) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.ejected_until.is_none() && self.failures >= limits.failure_threshold
    }

    /// Ejects it.
    pub(crate) fn eject(&mut self, now: Instant, limits: EjectionLimits) {
        let duration = doubled_backoff(limits.base_duration, self.ejections, limits.max_duration);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.ejected_until = Some(now + duration);
    }

    /// Ends an ejection whose time is over. Returns whether it did.
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

/// Whether one more of `servers` may be ejected beside `ejected`.
pub(crate) fn may_eject_another(ejected: usize, servers: usize, most: Permille) -> bool {
    let allowed = servers * usize::from(most.0) / 1000;
    ejected < allowed
}
