//! Which servers to poll, and when: only those of the subset of services in use, and no more in a
//! second than the pace allows, so that the cost does not grow with the fleet.

use super::Router;
use crate::fleet::{ServerIndex, ServiceIndex};
use crate::hash::mix;
use crate::request::{ProbeKind, ProbeTarget};
use std::time::Duration;
use wingshore_types::Instant;

/// A grown subset shrinks again after this time without exhaustion.
const SHRINK_AFTER: Duration = Duration::from_secs(60);

impl Router {
    /// The probes that are due; each is counted as asked. Those that the pace does not allow yet
    /// come first the next time.
    pub fn probe_targets(&mut self, now: Instant) -> Vec<ProbeTarget> {
        for service in 0..self.fleet.services.len() as ServiceIndex {
            self.refresh_if_due(now, service);
            self.shrink_subset(now, service);
        }
        let per_second = self.settings.probes_per_second;
        self.probe_rate_limiter.refill(now, per_second);
        let mut targets = Vec::new();
        for index in self.due_servers(now) {
            let kinds = self.probe_kinds(index);
            if !self.probe_rate_limiter.try_take(kinds.len(), per_second) {
                break;
            }
            self.schedule_probe(now, index);
            self.push_probes(index, kinds, &mut targets);
        }
        targets
    }

    /// Members of services in use whose probes are due, the most overdue first.
    fn due_servers(&self, now: Instant) -> Vec<ServerIndex> {
        let services = self.fleet.services.iter();
        let members = services
            .filter(|service| service.is_used(now, self.settings.unused_after))
            .flat_map(|service| service.members.iter());
        let next_probe = |index: &ServerIndex| self.fleet.server(*index).next_probe;
        let mut due: Vec<ServerIndex> = members
            .filter(|index| next_probe(index).is_none_or(|at| now >= at))
            .collect();
        due.sort_by_key(next_probe);
        due
    }

    /// The first interval is cut by the server's rank, so that probes spread over time.
    fn schedule_probe(&mut self, now: Instant, index: ServerIndex) {
        let interval = self.settings.probe_interval;
        let server = self.fleet.server_mut(index);
        let is_first = server.next_probe.is_none();
        let cut = match is_first {
            true => interval / 2 * (mix(server.rank) % 1000) as u32 / 1000,
            false => Duration::ZERO,
        };
        server.next_probe = Some(now + (interval - cut));
    }

    /// What a server is asked: engines report more than live servers.
    fn probe_kinds(&self, index: ServerIndex) -> Vec<ProbeKind> {
        let mut kinds = vec![ProbeKind::Load];
        let service = self.fleet.server(index).service;
        if !self.fleet.service(service).is_engine_service {
            return kinds;
        }
        kinds.push(ProbeKind::EngineState);
        if self.settings.affinity_bonus > 0 {
            let after = self.affinity.last_sequence(index);
            kinds.push(ProbeKind::CacheEvents { after });
        }
        kinds
    }

    fn push_probes(
        &self,
        index: ServerIndex,
        kinds: Vec<ProbeKind>,
        targets: &mut Vec<ProbeTarget>,
    ) {
        let server = self.fleet.server(index);
        targets.extend(kinds.into_iter().map(|kind| ProbeTarget {
            server: server.id.clone(),
            address: server.address,
            kind,
        }));
    }

    fn shrink_subset(&mut self, now: Instant, service: ServiceIndex) {
        let state = self.fleet.service_mut(service);
        let is_quiet = now.since(state.exhausted_at) >= SHRINK_AFTER;
        if is_quiet && state.subset.shrink() {
            self.refresh(now, service);
        }
    }
}
