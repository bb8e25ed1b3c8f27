//! The router, which combines membership, load, affinity, admission limits and retries.
//!
//! `configure` applies the configuration and the machine list, `observe` applies probe results and
//! attempt outcomes, `decide` admits requests and grants retries, `probe` schedules probes, and
//! `report` returns the state for other components.

mod configure;
mod decide;
mod observe;
mod probe;
mod report;

use crate::affinity::Affinity;
use crate::faults::Faults;
use crate::fleet::{Fleet, ServiceIndex};
use crate::hash::{hash_text, mix};
use crate::pace::ProbeRateLimiter;
use crate::settings::RouterSettings;
use crate::tickets::Tickets;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeSet;
use wingshore_types::{Instant, Revision, ServerId, ZoneId};

/// Routes requests to servers; see the [crate documentation](crate).
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    faults: Faults,
    zone: ZoneId,
    seed: u64,
    rng: ChaCha8Rng,
    revision: Revision,
    machines_as_of: u64,
    leaving_machines: BTreeSet<ServerId>,
    fleet: Fleet,
    affinity: Affinity,
    tickets: Tickets,
    probe_rate_limiter: ProbeRateLimiter,
}

impl Router {
    /// Creates a router for a node in `zone`. `seed` determines which servers the node uses; it
    /// should differ between nodes and stay the same across restarts of a node.
    pub fn new(settings: RouterSettings, zone: ZoneId, seed: u64) -> Self {
        let affinity = Affinity::new(
            settings.affinity_entries as usize,
            settings.affinity_half_life,
        );
        Self {
            faults: Faults::default(),
            seed: mix(seed ^ hash_text(zone.as_str())),
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            revision: Revision(0),
            machines_as_of: 0,
            leaving_machines: BTreeSet::new(),
            fleet: Fleet::default(),
            affinity,
            tickets: Tickets::default(),
            probe_rate_limiter: ProbeRateLimiter::default(),
            settings,
        }
    }

    /// Injects faults; only for tests of checkers.
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Updates the subset and the open servers of a service.
    fn refresh(&mut self, now: Instant, service: ServiceIndex) {
        self.release_ejected(now, service);
        self.select_members(now, service);
        self.update_open_servers(now, service);
    }

    /// Refreshes a service if a backoff or an ejection has ended.
    fn refresh_if_due(&mut self, now: Instant, service: ServiceIndex) {
        let next_change = self.fleet.service(service).next_change;
        if next_change.is_some_and(|at| now >= at) {
            self.refresh(now, service);
        }
    }

    /// Ends expired ejections; a released server begins with a slow start.
    fn release_ejected(&mut self, now: Instant, service: ServiceIndex) {
        let slow_start_until = now + self.settings.slow_start;
        let Fleet {
            servers, services, ..
        } = &mut self.fleet;
        for index in services[service as usize].members.iter() {
            let server = &mut servers[index as usize];
            if server.outlier.release(now) {
                server.slow_start_until = slow_start_until;
            }
        }
    }

    /// Selects the subset of a service.
    fn select_members(&mut self, now: Instant, service: ServiceIndex) {
        let Fleet {
            servers, services, ..
        } = &mut self.fleet;
        let state = &mut services[service as usize];
        for index in state.members.iter() {
            servers[index as usize].is_member = false;
        }
        state.members = crate::subset::members(
            &state.ranked,
            state.subset,
            self.settings.subset_other_zones,
            |index| servers[index as usize].is_usable(now),
        );
        for index in state.members.iter() {
            servers[index as usize].is_member = true;
        }
    }

    /// Updates the list of members that may get new requests, and the time of the next change that
    /// occurs without an event.
    fn update_open_servers(&mut self, now: Instant, service: ServiceIndex) {
        let ignore_leaving = self.faults.ignore_draining;
        let Fleet {
            servers, services, ..
        } = &mut self.fleet;
        let state = &mut services[service as usize];
        state.open.clear();
        state.dedicated.open.clear();
        state.next_change = None;
        state.epoch += 1;
        for index in state.members.iter() {
            let server = &servers[index as usize];
            if server.is_open(now, ignore_leaving) {
                state.open.push(index, server.in_own_zone);
                if state.dedicated.includes(server.shared_position) {
                    state.dedicated.open.push((server.shared_position, index));
                }
            }
            let changes = [
                server.outlier.ejected_until(),
                Some(server.membership.refused_until()),
            ];
            let next = changes.into_iter().flatten().filter(|at| *at > now).min();
            state.next_change = earlier(state.next_change, next);
        }
        state.dedicated.open.sort_unstable();
    }
}

/// Returns the earlier of two optional times.
fn earlier(first: Option<Instant>, second: Option<Instant>) -> Option<Instant> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}
