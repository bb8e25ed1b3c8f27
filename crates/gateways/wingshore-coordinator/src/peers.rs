//! The other coordinators, as this one knows them. No I/O.
//!
//! Owns what each of them said of itself, when it was last heard of, the connections that lead to
//! it, and which machines were lost a short while ago. Relies on introductions, which each
//! coordinator repeats on every link; what it knows is as old as the last one. Addresses and
//! identities of members come from the group's log, not from here.

use crate::lost::LostMachines;
use crate::membership::KnownCoordinator;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{CoordinatorHello, KnownLeader};
use wingshore_net::ConnectionId;
use wingshore_types::{Instant, ReplicaId};

/// What another coordinator says of who leads counts for this long: three introductions.
const LEADER_WORD_FRESH: Duration = Duration::from_millis(900);
/// One on standby that is silent for this long is left out of what gateways are sent: its machine may
/// be gone for good.
const STANDBY_SILENCE: Duration = Duration::from_secs(10);

/// A coordinator that no connection leads to any more.
pub(crate) struct LostPeer {
    pub(crate) member: ReplicaId,
    /// Its machine, if it has introduced itself.
    pub(crate) node: Option<String>,
}

/// The other coordinators.
///
/// Invariant: one address has one identity at a time in `heard`, the one that was heard last.
#[derive(Default)]
pub(crate) struct Peers {
    known: BTreeMap<ReplicaId, KnownCoordinator>,
    hellos: BTreeMap<ReplicaId, CoordinatorHello>,
    /// Connections that lead to a coordinator, newest last.
    routes: BTreeMap<ReplicaId, Vec<ConnectionId>>,
    lost: LostMachines,
}

impl Peers {
    /// An introduction has come over a connection; says whether it is the first one that leads there.
    pub(crate) fn record_route(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: &CoordinatorHello,
    ) -> bool {
        let joiner = KnownCoordinator {
            id: hello.id,
            address: hello.internal,
            zone: hello.zone.clone(),
            last_heard_at: now,
        };
        self.known
            .retain(|id, known| *id == hello.id || known.address != hello.internal);
        self.known.insert(hello.id, joiner);
        let routes = self.routes.entry(hello.id).or_default();
        let is_first = routes.is_empty();
        if !routes.contains(&connection) {
            routes.push(connection);
        }
        is_first
    }

    /// Keeps what a coordinator said of itself. Says whether its machine has restarted within
    /// `window`: nothing more is to come from the incarnation before.
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

    /// Something else than an introduction has come from a coordinator.
    pub(crate) fn record_message(&mut self, now: Instant, id: ReplicaId) {
        if let Some(joiner) = self.known.get_mut(&id) {
            joiner.last_heard_at = now;
        }
    }

    /// A connection has ended; gives the coordinators that it was the last one to.
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

    /// Machines that were lost within `window`.
    pub(crate) fn lost_within(&self, now: Instant, window: Duration) -> Vec<String> {
        self.lost.lost_within(now, window)
    }

    /// All that have introduced themselves and whose address nobody else has now.
    pub(crate) fn known_coordinators(&self) -> &BTreeMap<ReplicaId, KnownCoordinator> {
        &self.known
    }

    /// Whose connection this is.
    pub(crate) fn peer_of(&self, connection: ConnectionId) -> Option<ReplicaId> {
        let mut routes = self.routes.iter();
        let found = routes.find(|(_, routes)| routes.contains(&connection));
        found.map(|(id, _)| *id)
    }

    /// The newest connection to a coordinator that is open.
    pub(crate) fn route_to(
        &self,
        id: ReplicaId,
        is_open: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let routes = self.routes.get(&id)?;
        let mut newest_first = routes.iter().rev().copied();
        newest_first.find(|connection| is_open(*connection))
    }

    /// All that connections have ever led to.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ReplicaId> {
        self.routes.keys().copied()
    }

    /// Where operators and servers call a coordinator.
    pub(crate) fn control_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        Some(self.hellos.get(&id)?.control)
    }

    /// The coordinator on a machine.
    pub(crate) fn on_node(&self, node: &str) -> Option<ReplicaId> {
        let mut hellos = self.hellos.values();
        let hello = hellos.find(|hello| hello.node == node)?;
        Some(hello.id)
    }

    /// All that have introduced themselves, with their machines.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = (ReplicaId, &str)> {
        let hellos = self.hellos.values();
        hellos.map(|hello| (hello.id, hello.node.as_str()))
    }

    /// Where the members listen, by what others say.
    pub(crate) fn member_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let hellos = self.hellos.values();
        hellos.flat_map(|hello| &hello.members).copied()
    }

    /// Where coordinators listen that were heard of lately.
    pub(crate) fn fresh_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let fresh =
            move |joiner: &&KnownCoordinator| now.since(joiner.last_heard_at) < STANDBY_SILENCE;
        let joiners = self.known.values().filter(fresh);
        joiners.map(|joiner| joiner.address)
    }

    /// Who leads, by the newest of what others said lately.
    pub(crate) fn reported_leader(&self, now: Instant) -> Option<KnownLeader> {
        let is_fresh = |hello: &&CoordinatorHello| {
            let joiner = self.known.get(&hello.id);
            joiner.is_some_and(|joiner| now.since(joiner.last_heard_at) < LEADER_WORD_FRESH)
        };
        let hellos = self.hellos.values().filter(is_fresh);
        hellos.filter_map(|hello| hello.leader).max()
    }
}
