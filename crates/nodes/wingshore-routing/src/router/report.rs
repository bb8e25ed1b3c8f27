//! State of the router for the rollout runner, status pages and metrics.

use super::Router;
use crate::balance::round_to_requests;
use crate::class::Class;
use crate::fleet::ServiceState;
use crate::request::{OverGuarantee, ServerView};
use wingshore_types::{Instant, ServerId};

impl Router {
    /// Returns the servers on which `class` uses more slots than its guarantee, and how many of
    /// those slots the other class currently reclaims.
    pub fn over_guarantee(&self, now: Instant, class: Class) -> Vec<OverGuarantee> {
        let mut found = Vec::new();
        for service in &self.fleet.services {
            self.push_over_guarantee(now, class, service, &mut found);
        }
        found
    }

    /// Returns the number of servers that are ejected because of failures.
    pub fn ejected(&self) -> usize {
        let servers = self.fleet.servers.iter();
        servers.filter(|server| server.outlier.is_ejected()).count()
    }

    /// Returns the state of a server; `None` if the configuration does not contain it.
    pub fn server_view(&self, now: Instant, id: &ServerId) -> Option<ServerView> {
        let server = self.fleet.server(self.fleet.server_index(id)?);
        server.membership.admission?;
        let load_estimator = &self.fleet.service(server.service).load_estimator;
        Some(ServerView {
            in_subset: server.is_member,
            open: server.is_member && server.is_open(now, self.faults.ignore_draining),
            leaving: server.membership.is_leaving(now),
            ejected: server.outlier.is_ejected(),
            version: server.known_version(now),
            live: server.load.own_of(Class::Live),
            rollouts: server.load.own_of(Class::Rollout),
            external: round_to_requests(server.load.external(now, load_estimator)),
        })
    }

    fn push_over_guarantee(
        &self,
        now: Instant,
        class: Class,
        service: &ServiceState,
        found: &mut Vec<OverGuarantee>,
    ) {
        let dedicated = service.dedicated_count(now, self.settings.burst_memory);
        let mut wanted = self.slots_to_reclaim(now, class, service);
        for index in service.members.iter() {
            let server = self.fleet.server(index);
            let shares = service.shares_of(server, dedicated);
            let borrowed = shares.borrowed(&server.load, class);
            if borrowed == 0 {
                continue;
            }
            let slots_to_reclaim = shares.slots_to_reclaim(&server.load, class).min(wanted);
            wanted -= slots_to_reclaim;
            found.push(OverGuarantee {
                server: server.id.clone(),
                borrowed,
                slots_to_reclaim,
            });
        }
    }

    /// Returns the number of slots of a service that the other class reclaims: its refused requests
    /// within the reclaim window, minus the slots within its guarantee that have become free.
    fn slots_to_reclaim(&self, now: Instant, class: Class, service: &ServiceState) -> u32 {
        let other = class.other();
        let asked = service.reclaim_requests.get(other).count(now);
        let dedicated = service.dedicated_count(now, self.settings.burst_memory);
        let free: u32 = service
            .open
            .iter()
            .map(|index| self.fleet.server(index))
            .map(|server| {
                let shares = service.shares_of(server, dedicated);
                shares.free_within_guarantee(&server.load, other)
            })
            .sum();
        asked.saturating_sub(free)
    }
}
