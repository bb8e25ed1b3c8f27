//! Question: may a server get new work?
//!
//! Inputs: the configuration, the machine list, the server's own state, its refusals, its probes.
//!
//! Rule: the first that matches:
//! 1. **absent**: the configuration does not have it (existence is decided there alone);
//! 2. **leaving**: *any* of the configuration (`Draining`), the machine list (`Leaving`), the
//!    server's own state (`draining`) or its own refusals says so. Nobody's word that it stays
//!    outweighs another's that it leaves;
//! 3. **unhealthy**: probes failed several rounds in a row;
//! 4. **open**.
//!
//! A server that the machine list does not name is judged by the others: the list lags, and an
//! empty list must not close a fleet.

use std::time::Duration;
use wingshore_types::configuration::Admission;
use wingshore_types::{Instant, doubled_backoff};

/// The merged view of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerStatus {
    /// Not in the configuration.
    Absent,
    /// It will stop, or refuses work.
    Leaving,
    /// It does not answer probes.
    Unhealthy,
    /// It may get new work.
    Open,
}

/// Limits of the health check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthLimits {
    pub(crate) unhealthy_after: u32,
    pub(crate) healthy_after: u32,
    /// Several probes of one server within this time are one round.
    pub(crate) round: Duration,
}

/// What each source says of one server.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    /// By the configuration; `None` when it does not have the server.
    pub(crate) admission: Option<Admission>,
    /// By the newest machine list.
    pub(crate) leaving_by_list: bool,
    /// By its own last state.
    pub(crate) draining_by_state: bool,
    refused_until: Instant,
    refusals: u32,
    healthy: bool,
    streak: u32,
    last_round: Option<(Instant, bool)>,
}

impl Membership {
    /// A server of which nothing bad is known.
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

    /// The merged view.
    pub(crate) fn status(&self, now: Instant) -> ServerStatus {
        match self.admission {
            None => ServerStatus::Absent,
            Some(_) if self.is_leaving(now) => ServerStatus::Leaving,
            Some(_) if !self.healthy => ServerStatus::Unhealthy,
            Some(_) => ServerStatus::Open,
        }
    }

    /// Whether anyone says that it is leaving.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        self.admission == Some(Admission::Draining)
            || self.leaving_by_list
            || self.draining_by_state
            || now < self.refused_until
    }

    /// Whether probes find it healthy.
    pub(crate) fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// When the backoff after its refusals ends.
    pub(crate) fn refused_until(&self) -> Instant {
        self.refused_until
    }

    /// The server refused a request as not run.
    pub(crate) fn on_refusal(&mut self, now: Instant, initial: Duration, max: Duration) {
        let backoff = doubled_backoff(initial, self.refusals, max);
        self.refusals = self.refusals.saturating_add(1);
        self.refused_until = self.refused_until.max(now + backoff);
    }

    /// The server answered a request.
    pub(crate) fn on_success(&mut self) {
        self.refusals = 0;
    }

    /// A probe was answered or not. Returns whether the server recovered by it.
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

    /// Forgets what was observed of a process that is no longer there.
    pub(crate) fn forget_observations(&mut self) {
        let admission = self.admission;
        let leaving_by_list = self.leaving_by_list;
        *self = Self::new();
        self.admission = admission;
        self.leaving_by_list = leaving_by_list;
    }

    /// Whether a probe adds nothing to the last round. A failure after a success of the same
    /// round still counts: one of the probes failed.
    fn is_same_round(&self, now: Instant, succeeded: bool, round: Duration) -> bool {
        match self.last_round {
            Some((at, had_succeeded)) => {
                now.since(at) < round / 2 && (had_succeeded == succeeded || succeeded)
            }
            None => false,
        }
    }
}
