//! Servers and services in dense arrays, so that a routing decision needs no lookup by name for
//! each server.

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

/// State of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceIndex,
    pub(crate) in_own_zone: bool,
    /// Whether the server is in the subset of its service.
    pub(crate) is_member: bool,
    /// Sort key in this node's order; see [`crate::subset::rank`].
    pub(crate) rank: u64,
    /// Position in the order that all nodes share; see [`crate::dedicated`].
    pub(crate) shared_position: usize,
    /// Whether the server is loading weights, by its last report; it will pause for a moment.
    pub(crate) is_loading: bool,
    pub(crate) membership: Membership,
    pub(crate) outlier: OutlierDetector,
    pub(crate) load: Load,
    pub(crate) version: Option<WeightVersion>,
    /// Time at which the reported version expires.
    pub(crate) version_expires_at: Instant,
    pub(crate) slow_start_until: Instant,
    pub(crate) next_probe: Option<Instant>,
}

impl Server {
    /// Returns the reported weight version, or `None` if the report has expired.
    pub(crate) fn known_version(&self, now: Instant) -> Option<WeightVersion> {
        if now < self.version_expires_at {
            self.version
        } else {
            None
        }
    }

    /// Returns whether the server may get new requests.
    pub(crate) fn is_open(&self, now: Instant, ignore_leaving: bool) -> bool {
        let allowed = match self.membership.status(now) {
            ServerStatus::Open => true,
            ServerStatus::Leaving => ignore_leaving && self.membership.is_healthy(),
            ServerStatus::Absent | ServerStatus::Unhealthy => false,
        };
        allowed && !self.outlier.is_ejected()
    }

    /// Returns whether the server counts towards the size of a subset. An ejection is short and
    /// does not change the subset.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.membership.status(now) == ServerStatus::Open
    }
}

/// Servers in the node's own zone and in other zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByZone {
    pub(crate) own: Vec<ServerIndex>,
    pub(crate) others: Vec<ServerIndex>,
}

impl ByZone {
    /// Returns the servers of the own zone, then those of the other zones.
    pub(crate) fn zones(&self) -> [&[ServerIndex]; 2] {
        [&self.own, &self.others]
    }

    /// Returns the number of servers in all zones.
    pub(crate) fn len(&self) -> usize {
        self.own.len() + self.others.len()
    }

    /// Iterates over all servers, those of the own zone first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.own.iter().chain(&self.others).copied()
    }

    /// Appends a server to the list of its zone.
    pub(crate) fn push(&mut self, index: ServerIndex, in_own_zone: bool) {
        match in_own_zone {
            true => self.own.push(index),
            false => self.others.push(index),
        }
    }

    /// Removes all servers.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.others.clear();
    }
}

/// Cached result that no server of a service has a free slot for a class. It is valid until the
/// epoch of the service changes or it expires.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CachedRefusal {
    pub(crate) epoch: u64,
    pub(crate) expires_at: Instant,
    /// Whether the class was below its guarantee on at least one server.
    pub(crate) below_guarantee: bool,
}

/// State of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    pub(crate) id: ServiceId,
    pub(crate) is_configured: bool,
    pub(crate) is_engine_service: bool,
    pub(crate) shares: SlotShares,
    /// All servers of the service in this node's order.
    pub(crate) ranked: ByZone,
    /// The subset: servers that this node uses and probes.
    pub(crate) members: ByZone,
    /// Members that may get new requests.
    pub(crate) open: ByZone,
    /// Engines that may be dedicated to live requests.
    pub(crate) dedicated: DedicatedEngines,
    pub(crate) subset: SubsetSize,
    /// Time of the last request for the service; initially the time of its first configuration.
    pub(crate) last_requested_at: Instant,
    pub(crate) grown_at: Instant,
    pub(crate) exhausted_at: Instant,
    pub(crate) in_flight: ByClass<u32>,
    pub(crate) reclaim_requests: ByClass<ReclaimRequests>,
    /// Recent peak of this node's live requests in flight plus the requests of other nodes.
    pub(crate) live_peak: Peak,
    pub(crate) service_time: ByClass<ServiceTime>,
    pub(crate) load_estimator: LoadEstimator,
    pub(crate) budget: RetryBudget,
    /// Time at which the next backoff or ejection of a member ends.
    pub(crate) next_change: Option<Instant>,
    /// Incremented by each event that may have freed a slot.
    pub(crate) epoch: u64,
    pub(crate) cached_refusals: ByClass<CachedRefusal>,
}

impl ServiceState {
    /// Returns whether the service had a request within `unused_after` or has requests in flight.
    pub(crate) fn is_used(&self, now: Instant, unused_after: Duration) -> bool {
        let in_flight = self.in_flight.get(Class::Live) + self.in_flight.get(Class::Rollout);
        in_flight > 0 || now.since(self.last_requested_at) < unused_after
    }

    /// Returns the number of engines currently dedicated to live requests.
    pub(crate) fn dedicated_count(&self, now: Instant, burst_memory: Duration) -> usize {
        let peak = self.live_peak.value(now, burst_memory);
        self.dedicated
            .count(peak, self.open.len(), self.shares.slots())
    }

    /// Returns the slot shares of one server while `dedicated` engines are dedicated.
    pub(crate) fn shares_of(&self, server: &Server, dedicated: usize) -> SlotShares {
        let is_dedicated = server.shared_position < dedicated;
        self.shares
            .with_dedicated(is_dedicated, dedicated, self.dedicated.servers())
    }

    /// Returns this node's live requests in flight plus all requests of other nodes, whose class is
    /// unknown.
    pub(crate) fn live_demand(&self, now: Instant) -> u32 {
        let others = self.load_estimator.mean(now) * self.open.len() as u64;
        *self.in_flight.get(Class::Live) + round_to_requests(others)
    }
}

/// Servers and services, indexed by position and by name.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    pub(crate) services: Vec<ServiceState>,
    server_names: BTreeMap<ServerId, ServerIndex>,
    service_names: BTreeMap<ServiceId, ServiceIndex>,
    free: Vec<ServerIndex>,
}

impl Fleet {
    /// Returns the position of a server.
    pub(crate) fn server_index(&self, id: &ServerId) -> Option<ServerIndex> {
        self.server_names.get(id).copied()
    }

    /// Returns the position of a service.
    pub(crate) fn service_index(&self, id: &ServiceId) -> Option<ServiceIndex> {
        self.service_names.get(id).copied()
    }

    /// Returns a server. The index is always valid: positions come from this fleet, and servers are
    /// overwritten but never removed.
    pub(crate) fn server(&self, index: ServerIndex) -> &Server {
        &self.servers[index as usize]
    }

    /// Returns a mutable reference to a server.
    pub(crate) fn server_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index as usize]
    }

    /// Returns a service. The index is always valid: positions come from this fleet, and services
    /// are never removed.
    pub(crate) fn service(&self, index: ServiceIndex) -> &ServiceState {
        &self.services[index as usize]
    }

    /// Returns a mutable reference to a service.
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

    /// Releases the position of a server that is absent from the configuration and has no request
    /// in flight. Returns whether it did.
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

    /// Iterates over all servers in the order of their names.
    pub(crate) fn servers_by_name(&self) -> impl Iterator<Item = (&ServerId, ServerIndex)> {
        self.server_names.iter().map(|(id, index)| (id, *index))
    }
}
