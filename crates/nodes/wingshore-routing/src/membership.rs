//! Membership: decides whether a server may get new requests.
//!
//! Inputs: the configuration, the machine list, the server's own state, its refusals, and its probe
//! results.
//!
//! The status is the first of these that applies:
//! 1. **absent**: the configuration does not contain the server (only the configuration decides
//!    which servers exist);
//! 2. **leaving**: *any* of the configuration (`Draining`), the machine list (`Leaving`), the
//!    server's own state (`draining`) or its own refusals says so. No source that reports the
//!    server as open overrides another that reports it as leaving;
//! 3. **unhealthy**: probes failed for several consecutive rounds;
//! 4. **open**.
//!
//! For a server that the machine list does not contain, only the other sources decide: the list
//! lags, and an empty list must not close all servers.

use std::time::Duration;
use wingshore_types::configuration::Admission;
use wingshore_types::{Instant, doubled_backoff};

/// Status of one server, merged from all sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerStatus {
    /// The configuration does not contain the server.
    Absent,
    /// The server will stop or refuses requests.
    Leaving,
    /// The server does not answer probes.
    Unhealthy,
    /// The server may get new requests.
    Open,
}

/// Thresholds of the health check, in consecutive rounds of probes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthLimits {
    pub(crate) unhealthy_after: u32,
    pub(crate) healthy_after: u32,
    /// Duration of a round; several probes of one server within it count once.
    pub(crate) round: Duration,
}

/// State of one server according to each source.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    /// Admission by the configuration; `None` if it does not contain the server.
    pub(crate) admission: Option<Admission>,
    /// Whether the newest machine list reports the server as leaving.
    pub(crate) leaving_by_list: bool,
    /// Whether the server's last state report says that it is draining.
    pub(crate) draining_by_state: bool,
    refused_until: Instant,
    refusals: u32,
    healthy: bool,
    streak: u32,
    last_round: Option<(Instant, bool)>,
}

impl Membership {
    /// Returns the state of an absent server without observations; it counts as healthy.
    pub(crate) fn new() -> Self {
        Self {
            admission: None,
            leaving_by_list: false,
            draining_by_state: false,
            refused_until: Instant::ZERO,
            refusals: 0,
            healthy: true,
            streak: 0,
            last_round: None,
        }
    }

    /// Returns the merged status.
    pub(crate) fn status(&self, now: Instant) -> ServerStatus {
        match self.admission {
            None => ServerStatus::Absent,
            Some(_) if self.is_leaving(now) => ServerStatus::Leaving,
            Some(_) if !self.healthy => ServerStatus::Unhealthy,
            Some(_) => ServerStatus::Open,
        }
    }

    /// Returns whether any source reports the server as leaving.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        self.admission == Some(Admission::Draining)
            || self.leaving_by_list
            || self.draining_by_state
            || now < self.refused_until
    }

    /// Returns whether the server is healthy according to its probes.
    pub(crate) fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Returns the time at which the backoff after refusals ends.
    pub(crate) fn refused_until(&self) -> Instant {
        self.refused_until
    }

    /// Records that the server refused a request without running it, and starts a backoff.
    pub(crate) fn on_refusal(&mut self, now: Instant, initial: Duration, max: Duration) {
        let backoff = doubled_backoff(initial, self.refusals, max);
        self.refusals = self.refusals.saturating_add(1);
        self.refused_until = self.refused_until.max(now + backoff);
    }

    /// Records a successful request; the next backoff is the initial one.
    pub(crate) fn on_success(&mut self) {
        self.refusals = 0;
    }

    /// Records the result of a probe. Returns whether the server became healthy again.
    pub(crate) fn on_probe(&mut self, now: Instant, succeeded: bool, limits: HealthLimits) -> bool {
        if self.is_same_round(now, succeeded, limits.round) {
            return false;
        }
        self.last_round = Some((now, succeeded));
        if succeeded == self.healthy {
            self.streak = 0;
            return false;
        }
        self.streak += 1;
        let needed = match succeeded {
            true => limits.healthy_after,
            false => limits.unhealthy_after,
        };
        if self.streak < needed {
            return false;
        }
        self.streak = 0;
        self.healthy = succeeded;
        succeeded
    }

    /// Discards all observations of a process that has been replaced.
    pub(crate) fn forget_observations(&mut self) {
        let admission = self.admission;
        let leaving_by_list = self.leaving_by_list;
        *self = Self::new();
        self.admission = admission;
        self.leaving_by_list = leaving_by_list;
    }

    /// Returns whether a probe adds nothing to the last round. A failure after a success in the
    /// same round still counts, because one of the probes failed.
    fn is_same_round(&self, now: Instant, succeeded: bool, round: Duration) -> bool {
        match self.last_round {
            Some((at, had_succeeded)) => {
                now.since(at) < round / 2 && (had_succeeded == succeeded || succeeded)
            }
            None => false,
        }
    }
}
