//! Which servers to poll, and when: only those of the subset, so that the cost does not grow
//! with the fleet.

use super::Router;
use crate::fleet::{ServerIndex, ServiceIndex};
use crate::hash::mix;
use crate::request::{ProbeKind, ProbeTarget};
use std::time::Duration;
use wingshore_types::Instant;

/// A grown subset shrinks again after this time without exhaustion.
const SHRINK_AFTER: Duration = Duration::from_secs(60);

impl Router {
    /// The probes that are due; each is counted as asked.
    pub fn probe_targets(&mut self, now: Instant) -> Vec<ProbeTarget> {
        let mut targets = Vec::new();
        for service in 0..self.fleet.services.len() as ServiceIndex {
            self.refresh_if_due(now, service);
            self.shrink_subset(now, service);
            self.probe_service(now, service, &mut targets);
        }
        targets
    }

    fn probe_service(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        targets: &mut Vec<ProbeTarget>,
    ) {
        let state = self.fleet.service(service);
        let is_engines = state.is_engines;
        let due: Vec<ServerIndex> = state
            .members
            .iter()
            .filter(|index| {
                self.fleet
                    .server(*index)
                    .next_probe
                    .is_none_or(|at| now >= at)
            })
            .collect();
        for index in due {
            self.schedule_probe(now, index);
            self.push_probes(index, is_engines, targets);
        }
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

    fn push_probes(&self, index: ServerIndex, is_engines: bool, targets: &mut Vec<ProbeTarget>) {
        let server = self.fleet.server(index);
        let mut push = |kind| {
            targets.push(ProbeTarget {
                server: server.id.clone(),
                address: server.address,
                kind,
            });
        };
        push(ProbeKind::Load);
        if !is_engines {
            return;
        }
        push(ProbeKind::EngineState);
        if self.settings.affinity_bonus > 0 {
            let after = self.affinity.last_sequence(index);
            push(ProbeKind::CacheEvents { after });
        }
    }

    fn shrink_subset(&mut self, now: Instant, service: ServiceIndex) {
        let state = self.fleet.service_mut(service);
        let is_quiet = now.since(state.exhausted_at) >= SHRINK_AFTER;
        if is_quiet && state.subset.shrink() {
            self.refresh(now, service);
        }
    }
}
