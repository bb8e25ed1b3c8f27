//! The other coordinators, as far as this one knows them. No I/O.
//!
//! Owns the last hello message of each coordinator, when a message of it last arrived, the
//! connections to it, and which machines were lost recently. Relies on the hello messages that each
//! coordinator repeats on every link; the data is as old as the last one. Addresses and identities
//! of members come from the group's log, not from here.

use crate::lost::LostMachines;
use crate::membership::KnownCoordinator;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{CoordinatorHello, KnownLeader};
use wingshore_net::ConnectionId;
use wingshore_types::{Instant, ReplicaId};

/// For how long a coordinator's report of the leader is valid: three hello intervals.
const LEADER_REPORT_VALIDITY: Duration = Duration::from_millis(900);
/// Silence after which a coordinator on standby is left out of the addresses that gateways are
/// sent, since its machine may be gone for good.
const STANDBY_TIMEOUT: Duration = Duration::from_secs(10);

/// Coordinator to which no connection is left.
pub(crate) struct LostPeer {
    pub(crate) member: ReplicaId,
    /// Its machine, if it has sent a hello message.
    pub(crate) node: Option<String>,
}

/// The other coordinators.
///
/// Invariant: in `known`, each address belongs to one identity, the last one that was heard from.
#[derive(Default)]
pub(crate) struct Peers {
    known: BTreeMap<ReplicaId, KnownCoordinator>,
    hellos: BTreeMap<ReplicaId, CoordinatorHello>,
    /// Connections to each coordinator, newest last.
    routes: BTreeMap<ReplicaId, Vec<ConnectionId>>,
    lost: LostMachines,
}

impl Peers {
    /// Records that a hello message has arrived over a connection. Returns whether this is the only
    /// connection to its sender.
    pub(crate) fn record_route(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: &CoordinatorHello,
    ) -> bool {
        let coordinator = KnownCoordinator {
            id: hello.id,
            address: hello.internal,
            zone: hello.zone.clone(),
            last_heard_at: now,
        };
        self.known
            .retain(|id, known| *id == hello.id || known.address != hello.internal);
        self.known.insert(hello.id, coordinator);
        let routes = self.routes.entry(hello.id).or_default();
        let is_first = routes.is_empty();
        if !routes.contains(&connection) {
            routes.push(connection);
        }
        is_first
    }

    /// Stores the hello message of a coordinator. Returns whether its machine has restarted within
    /// `window`, so that nothing more is to arrive from the incarnation before.
    pub(crate) fn record_hello(
        &mut self,
        now: Instant,
        hello: CoordinatorHello,
        window: Duration,
    ) -> bool {
        let has_restarted = self.lost.record_uptime(now, &hello.node, hello.up, window);
        self.hellos.insert(hello.id, hello);
        has_restarted
    }

    /// Records that another message than a hello has arrived from a coordinator.
    pub(crate) fn record_message(&mut self, now: Instant, id: ReplicaId) {
        if let Some(coordinator) = self.known.get_mut(&id) {
            coordinator.last_heard_at = now;
        }
    }

    /// Removes a connection that has ended. Returns the coordinators to which it was the last one.
    pub(crate) fn disconnected(&mut self, now: Instant, connection: ConnectionId) -> Vec<LostPeer> {
        let mut lost = Vec::new();
        for (member, routes) in &mut self.routes {
            let before = routes.len();
            routes.retain(|route| *route != connection);
            if before > 0 && routes.is_empty() {
                let node = self.hellos.get(member).map(|hello| hello.node.clone());
                let member = *member;
                lost.push(LostPeer { member, node });
            }
        }
        for node in lost.iter().filter_map(|peer| peer.node.as_deref()) {
            self.lost.record_loss(now, node);
        }
        lost
    }

    /// Returns the machines that were lost within `window`.
    pub(crate) fn lost_within(&self, now: Instant, window: Duration) -> Vec<String> {
        self.lost.lost_within(now, window)
    }

    /// Returns all coordinators that have sent a hello message, except those whose address now
    /// belongs to another identity.
    pub(crate) fn known_coordinators(&self) -> &BTreeMap<ReplicaId, KnownCoordinator> {
        &self.known
    }

    /// Returns the coordinator to which a connection leads.
    pub(crate) fn peer_of(&self, connection: ConnectionId) -> Option<ReplicaId> {
        let mut routes = self.routes.iter();
        let found = routes.find(|(_, routes)| routes.contains(&connection));
        found.map(|(id, _)| *id)
    }

    /// Returns the newest open connection to a coordinator.
    pub(crate) fn route_to(
        &self,
        id: ReplicaId,
        is_open: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let routes = self.routes.get(&id)?;
        let mut newest_first = routes.iter().rev().copied();
        newest_first.find(|connection| is_open(*connection))
    }

    /// Returns all coordinators to which a connection has ever led.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ReplicaId> {
        self.routes.keys().copied()
    }

    /// Returns the address where operators and servers call a coordinator.
    pub(crate) fn control_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        Some(self.hellos.get(&id)?.control)
    }

    /// Returns the coordinator on a machine.
    pub(crate) fn on_node(&self, node: &str) -> Option<ReplicaId> {
        let mut hellos = self.hellos.values();
        let hello = hellos.find(|hello| hello.node == node)?;
        Some(hello.id)
    }

    /// Returns all coordinators that have sent a hello message, with their machines.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = (ReplicaId, &str)> {
        let hellos = self.hellos.values();
        hellos.map(|hello| (hello.id, hello.node.as_str()))
    }

    /// Returns the addresses of the members as other coordinators report them.
    pub(crate) fn member_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let hellos = self.hellos.values();
        hellos.flat_map(|hello| &hello.members).copied()
    }

    /// Returns the addresses of coordinators that were heard from recently.
    pub(crate) fn fresh_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let fresh = move |coordinator: &&KnownCoordinator| {
            now.since(coordinator.last_heard_at) < STANDBY_TIMEOUT
        };
        let coordinators = self.known.values().filter(fresh);
        coordinators.map(|coordinator| coordinator.address)
    }

    /// Returns the newest leader that other coordinators have recently reported.
    pub(crate) fn reported_leader(&self, now: Instant) -> Option<KnownLeader> {
        let is_fresh = |hello: &&CoordinatorHello| {
            let coordinator = self.known.get(&hello.id);
            coordinator.is_some_and(|coordinator| {
                now.since(coordinator.last_heard_at) < LEADER_REPORT_VALIDITY
            })
        };
        let hellos = self.hellos.values().filter(is_fresh);
        hellos.filter_map(|hello| hello.leader).max()
    }
}
