//! Servers and services in dense arrays, so that a decision indexes and never searches.

use crate::admission::{ReclaimRequests, ServiceTime, SlotShares};
use crate::balance::round_to_requests;
use crate::class::{ByClass, Class};
use crate::dedicated::DedicatedEngines;
use crate::demand::Peak;
use crate::load::Load;
use crate::load_estimator::LoadEstimator;
use crate::membership::{Membership, ServerStatus};
use crate::outlier::OutlierDetector;
use crate::retry::RetryBudget;
use crate::subset::SubsetSize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, ServerId, ServiceId, WeightVersion};

/// Position in [`Fleet::servers`].
pub(crate) type ServerIndex = u32;
/// Position in [`Fleet::services`].
pub(crate) type ServiceIndex = u32;

/// All that is known of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceIndex,
    pub(crate) in_own_zone: bool,
    /// Whether it is in the subset of its service.
    pub(crate) is_member: bool,
    /// Its place in this node's order; see [`crate::subset::rank`].
    pub(crate) rank: u64,
    /// Its place in the order that all nodes share; see [`crate::dedicated`].
    pub(crate) shared_position: usize,
    /// Whether it fetches weights, by its own last report: it will pause for a moment.
    pub(crate) is_loading: bool,
    pub(crate) membership: Membership,
    pub(crate) outlier: OutlierDetector,
    pub(crate) load: Load,
    pub(crate) version: Option<WeightVersion>,
    /// When the report of the version stops to count.
    pub(crate) version_expires_at: Instant,
    pub(crate) slow_start_until: Instant,
    pub(crate) next_probe: Option<Instant>,
}

impl Server {
    /// Its version, by a report that still counts.
    pub(crate) fn known_version(&self, now: Instant) -> Option<WeightVersion> {
        if now < self.version_expires_at {
            self.version
        } else {
            None
        }
    }

    /// Whether new work may go to it.
    pub(crate) fn is_open(&self, now: Instant, ignore_leaving: bool) -> bool {
        let allowed = match self.membership.status(now) {
            ServerStatus::Open => true,
            ServerStatus::Leaving => ignore_leaving && self.membership.is_healthy(),
            ServerStatus::Absent | ServerStatus::Unhealthy => false,
        };
        allowed && !self.outlier.is_ejected()
    }

    /// Whether it counts as one of the servers a subset needs. An ejection is short, and does not
    /// change the subset.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.membership.status(now) == ServerStatus::Open
    }
}

/// Servers in the node's own zone and in the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByZone {
    pub(crate) own: Vec<ServerIndex>,
    pub(crate) others: Vec<ServerIndex>,
}

impl ByZone {
    /// Own zone first.
    pub(crate) fn zones(&self) -> [&[ServerIndex]; 2] {
        [&self.own, &self.others]
    }

    /// How many.
    pub(crate) fn len(&self) -> usize {
        self.own.len() + self.others.len()
    }

    /// All, own zone first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.own.iter().chain(&self.others).copied()
    }

    /// Adds one at the end of its zone's list.
    pub(crate) fn push(&mut self, index: ServerIndex, in_own_zone: bool) {
        match in_own_zone {
            true => self.own.push(index),
            false => self.others.push(index),
        }
    }

    /// Empties both.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.others.clear();
    }
}

/// A finding that no server of a service has room for a class; it holds until something changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CachedRefusal {
    pub(crate) epoch: u64,
    pub(crate) expires_at: Instant,
    /// Whether the class was below its guarantee somewhere.
    pub(crate) below_guarantee: bool,
}

/// All that is known of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    pub(crate) id: ServiceId,
    pub(crate) is_configured: bool,
    pub(crate) is_engine_service: bool,
    pub(crate) shares: SlotShares,
    /// All its servers in this node's order.
    pub(crate) ranked: ByZone,
    /// The subset: servers that are used and probed.
    pub(crate) members: ByZone,
    /// Members that new work may go to.
    pub(crate) open: ByZone,
    /// Engines that live requests may have for themselves.
    pub(crate) dedicated: DedicatedEngines,
    pub(crate) subset: SubsetSize,
    /// When a request last asked for it; before that, when it was first configured.
    pub(crate) last_requested_at: Instant,
    pub(crate) grown_at: Instant,
    pub(crate) exhausted_at: Instant,
    pub(crate) in_flight: ByClass<u32>,
    pub(crate) reclaim_requests: ByClass<ReclaimRequests>,
    /// Live requests in flight, and those of others.
    pub(crate) live_peak: Peak,
    pub(crate) service_time: ByClass<ServiceTime>,
    pub(crate) load_estimator: LoadEstimator,
    pub(crate) budget: RetryBudget,
    /// When the next backoff or ejection of a member ends.
    pub(crate) next_change: Option<Instant>,
    /// Counts events by which a slot may have become free.
    pub(crate) epoch: u64,
    pub(crate) cached_refusals: ByClass<CachedRefusal>,
}

impl ServiceState {
    /// Whether requests asked for it lately, or are in flight.
    pub(crate) fn is_used(&self, now: Instant, unused_after: Duration) -> bool {
        let in_flight = self.in_flight.get(Class::Live) + self.in_flight.get(Class::Rollout);
        in_flight > 0 || now.since(self.last_requested_at) < unused_after
    }

    /// How many engines are dedicated to live requests now.
    pub(crate) fn dedicated_count(&self, now: Instant, burst_memory: Duration) -> usize {
        let peak = self.live_peak.value(now, burst_memory);
        self.dedicated
            .count(peak, self.open.len(), self.shares.slots())
    }

    /// Shares of one server while so many engines are dedicated.
    pub(crate) fn shares_of(&self, server: &Server, dedicated: usize) -> SlotShares {
        let is_dedicated = server.shared_position < dedicated;
        self.shares
            .with_dedicated(is_dedicated, dedicated, self.dedicated.servers())
    }

    /// Live requests in flight, and all of others, whose class is unknown.
    pub(crate) fn live_demand(&self, now: Instant) -> u32 {
        let others = self.load_estimator.mean(now) * self.open.len() as u64;
        *self.in_flight.get(Class::Live) + round_to_requests(others)
    }
}

/// Servers and services by position and by name.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    pub(crate) services: Vec<ServiceState>,
    server_names: BTreeMap<ServerId, ServerIndex>,
    service_names: BTreeMap<ServiceId, ServiceIndex>,
    free: Vec<ServerIndex>,
}

impl Fleet {
    /// Position of a server.
    pub(crate) fn server_index(&self, id: &ServerId) -> Option<ServerIndex> {
        self.server_names.get(id).copied()
    }

    /// Position of a service.
    pub(crate) fn service_index(&self, id: &ServiceId) -> Option<ServiceIndex> {
        self.service_names.get(id).copied()
    }

    /// A server. Positions come from this fleet and servers are only overwritten, never removed.
    pub(crate) fn server(&self, index: ServerIndex) -> &Server {
        &self.servers[index as usize]
    }

    /// A server, to be changed.
    pub(crate) fn server_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index as usize]
    }

    /// A service. Positions come from this fleet and services are never removed.
    pub(crate) fn service(&self, index: ServiceIndex) -> &ServiceState {
        &self.services[index as usize]
    }

    /// A service, to be changed.
    pub(crate) fn service_mut(&mut self, index: ServiceIndex) -> &mut ServiceState {
        &mut self.services[index as usize]
    }

    /// Adds a server, at a free position if there is one.
    pub(crate) fn add_server(&mut self, server: Server) -> ServerIndex {
        let id = server.id.clone();
        let index = match self.free.pop() {
            Some(index) => {
                self.servers[index as usize] = server;
                index
            }
            None => {
                self.servers.push(server);
                (self.servers.len() - 1) as ServerIndex
            }
        };
        self.server_names.insert(id, index);
        index
    }

    /// Adds a service.
    pub(crate) fn add_service(&mut self, service: ServiceState) -> ServiceIndex {
        let index = self.services.len() as ServiceIndex;
        self.service_names.insert(service.id.clone(), index);
        self.services.push(service);
        index
    }

    /// Frees the position of a server that is absent and has no request in flight. Returns
    /// whether it did.
    pub(crate) fn release_if_removed(&mut self, index: ServerIndex) -> bool {
        let server = &self.servers[index as usize];
        let is_removed = server.membership.admission.is_none() && server.load.own() == 0;
        let is_named = self.server_names.get(&server.id) == Some(&index);
        if !is_removed || !is_named {
            return false;
        }
        self.server_names.remove(&server.id);
        self.free.push(index);
        true
    }

    /// All servers by name, in order.
    pub(crate) fn servers_by_name(&self) -> impl Iterator<Item = (&ServerId, ServerIndex)> {
        self.server_names.iter().map(|(id, index)| (id, *index))
    }
}
