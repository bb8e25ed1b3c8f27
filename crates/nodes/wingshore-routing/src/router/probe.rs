//! Scheduling of probes. Only servers in the subsets of services in use are probed, and the probe
//! rate is limited, so that the cost does not grow with the number of servers.

use super::Router;
use crate::fleet::{ServerIndex, ServiceIndex};
use crate::hash::mix;
use crate::request::{ProbeKind, ProbeTarget};
use std::time::Duration;
use wingshore_types::Instant;

/// Time without exhaustion after which a grown subset shrinks to its configured size.
const SHRINK_AFTER: Duration = Duration::from_secs(60);

impl Router {
    /// Returns the probes that are due and schedules the next ones of their servers. Servers over
    /// the rate limit come first in the next call.
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

    /// Returns the members of services in use whose probes are due, the most overdue first.
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

    /// Schedules the next probe of a server. The first interval is shortened by up to half,
    /// depending on the server's rank, so that probes are spread over time.
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

    /// Returns the kinds of probes for a server: engines have more reports than other servers.
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
