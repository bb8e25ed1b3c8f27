//! Applies probe results and the outcomes of attempts.

use super::Router;
use crate::affinity::EventsOutcome;
use crate::fleet::{Server, ServerIndex};
use crate::membership::HealthLimits;
use crate::outlier::{EjectionLimits, may_eject_another};
use crate::request::{AttemptOutcome, Ticket};
use crate::tickets::Attempt;
use std::time::Duration;
use wingshore_types::platform::{CacheEvents, EngineState, LoadReport};
use wingshore_types::{Instant, ServerId};

impl Router {
    /// Applies an engine's state report that was read at `now`.
    pub fn on_engine_state(&mut self, now: Instant, server: &ServerId, state: &EngineState) {
        let Some(index) = self.fleet.server_index(server) else {
            return;
        };
        if self.affinity.on_boot(index, state.boot_id) {
            self.on_restart(now, index);
        }
        if self.fleet.server(index).version != state.weight_version {
            self.affinity.mark_stale(index);
        }
        let version_expires_at = now + self.settings.state_lifetime;
        self.modify_server(now, index, |server| {
            server.version = state.weight_version;
            server.is_loading = state.loading.is_some();
            server.version_expires_at = version_expires_at;
            server.membership.draining_by_state = state.draining;
        });
        self.on_probe(now, index, true);
    }

    /// Applies a load report, which contains its own age.
    pub fn on_load(&mut self, now: Instant, server: &ServerId, report: &LoadReport) {
        let Some(index) = self.fleet.server_index(server) else {
            return;
        };
        let lifetime = self.settings.load_lifetime;
        let window = self.settings.burst_memory;
        let server = self.fleet.server_mut(index);
        let service = server.service;
        if let Some((reading, before)) = server.load.on_report(now, report) {
            let state = self.fleet.service_mut(service);
            let servers = state.members.len();
            let load_estimator = &mut state.load_estimator;
            load_estimator.on_reading(reading, before, servers, lifetime);
            state.epoch += 1;
            let demand = state.live_demand(now);
            state.live_peak.observe(now, demand, window);
        }
        self.on_probe(now, index, true);
    }

    /// Applies cache events of an engine.
    pub fn on_cache_events(&mut self, now: Instant, server: &ServerId, events: &CacheEvents) {
        let Some(index) = self.fleet.server_index(server) else {
            return;
        };
        let service = self.fleet.server(index).service;
        let taken = self.affinity.on_events(now, index, service, events);
        if taken == EventsOutcome::OtherBoot {
            // Either the engine restarted or the events are late. The version stays unknown until
            // the next state report.
            self.fleet.server_mut(index).version = None;
        }
    }

    /// Records that a probe got no response or an invalid one.
    pub fn on_probe_failed(&mut self, now: Instant, server: &ServerId) {
        if let Some(index) = self.fleet.server_index(server) {
            self.on_probe(now, index, false);
        }
    }

    /// Records the outcome of an admitted attempt and frees its slot.
    pub fn on_finished(&mut self, now: Instant, ticket: Ticket, outcome: AttemptOutcome) {
        let Some(attempt) = self.tickets.take(ticket) else {
            return;
        };
        let server = self.fleet.server_mut(attempt.server);
        server.load.remove(now, attempt.class);
        let service = self.fleet.service_mut(attempt.service);
        let in_flight = service.in_flight.get_mut(attempt.class);
        *in_flight = in_flight.saturating_sub(1);
        service.epoch += 1;
        match outcome {
            AttemptOutcome::Success { latency } => self.on_success(now, attempt, latency),
            AttemptOutcome::Refused => self.on_refused(now, attempt),
            AttemptOutcome::Failed(_) => self.on_failed(now, attempt),
            AttemptOutcome::Cancelled => {}
        }
        self.release_if_removed(attempt.server);
    }

    fn on_success(&mut self, now: Instant, attempt: Attempt, latency: Duration) {
        let server = self.fleet.server_mut(attempt.server);
        server.outlier.on_success();
        server.membership.on_success();
        let service = self.fleet.service_mut(attempt.service);
        let service_time = service.service_time.get_mut(attempt.class);
        service_time.on_success(latency);
        if let (Some(prefix_hash), true) = (attempt.prefix_hash, service.is_engine_service) {
            let (server, service) = (attempt.server, attempt.service);
            self.affinity
                .on_served(now, server, service, prefix_hash, attempt.tokens);
        }
    }

    fn on_refused(&mut self, now: Instant, attempt: Attempt) {
        let initial = self.settings.refusal_pause;
        let max = self.settings.refusal_pause_most;
        let server = self.fleet.server_mut(attempt.server);
        server.membership.on_refusal(now, initial, max);
        self.refresh(now, attempt.service);
    }

    fn on_failed(&mut self, now: Instant, attempt: Attempt) {
        let limits = self.ejection_limits();
        let server = self.fleet.server_mut(attempt.server);
        if !server.outlier.on_failure(limits) || !self.may_eject(now, attempt) {
            return;
        }
        let server = self.fleet.server_mut(attempt.server);
        server.outlier.eject(now, limits);
        self.refresh(now, attempt.service);
    }

    /// Returns whether the limit on ejected servers allows one more ejection.
    fn may_eject(&self, now: Instant, attempt: Attempt) -> bool {
        let service = self.fleet.service(attempt.service);
        let usable = service.members.iter().map(|index| self.fleet.server(index));
        let usable: Vec<&Server> = usable.filter(|server| server.is_usable(now)).collect();
        let ejected = usable.iter().filter(|server| server.outlier.is_ejected());
        may_eject_another(ejected.count(), usable.len(), self.settings.most_ejected)
    }

    /// Handles a restart of a server as a new process: discards its observations and begins a slow
    /// start. Requests that ran on the old process are lost.
    fn on_restart(&mut self, now: Instant, index: ServerIndex) {
        let slow_start_until = now + self.settings.slow_start;
        self.modify_server(now, index, |server| {
            server.membership.forget_observations();
            server.load.forget_reports();
            server.outlier = Default::default();
            server.slow_start_until = slow_start_until;
        });
    }

    fn on_probe(&mut self, now: Instant, index: ServerIndex, succeeded: bool) {
        let limits = HealthLimits {
            unhealthy_after: self.settings.unhealthy_after,
            healthy_after: self.settings.healthy_after,
            round: self.settings.probe_interval,
        };
        let slow_start_until = now + self.settings.slow_start;
        self.modify_server(now, index, |server| {
            if server.membership.on_probe(now, succeeded, limits) {
                server.slow_start_until = slow_start_until;
            }
        });
    }

    /// Modifies a server, and refreshes its service if the server's status or ejection changed.
    fn modify_server(
        &mut self,
        now: Instant,
        index: ServerIndex,
        change: impl FnOnce(&mut Server),
    ) {
        let server = self.fleet.server_mut(index);
        let before = (server.membership.status(now), server.outlier.is_ejected());
        change(server);
        let after = (server.membership.status(now), server.outlier.is_ejected());
        let service = server.service;
        if before != after {
            self.refresh(now, service);
        }
    }

    fn ejection_limits(&self) -> EjectionLimits {
        EjectionLimits {
            failure_threshold: self.settings.eject_after,
            base_duration: self.settings.eject_time,
            max_duration: self.settings.eject_time_most,
        }
    }
}
