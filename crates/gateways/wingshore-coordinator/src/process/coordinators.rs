//! Other coordinators: hello messages, connections to them, and frames sent to them.

use super::{Coordinator, LINK_UNACKNOWLEDGED_LIMIT, Role};
use crate::dials::DialStep;
use crate::membership::members;
use slog::info;
use std::net::SocketAddr;
use wingshore_coordination::{
    CoordinatorFrame, CoordinatorHello, Event, IncomingFrame, KnownLeader, with_own_formats,
};
use wingshore_group::HostInput;
use wingshore_net::{ConnectOptions, ConnectionId};
use wingshore_types::{Instant, ReplicaId};

impl Coordinator {
    /// Sends a hello on an outgoing connection that has been established.
    pub(super) fn on_connected(&mut self, connection: ConnectionId) {
        let Some(Role::Dialed(address)) = self.roles.get(&connection) else {
            return;
        };
        self.dials.connected(*address);
        self.send_hello(connection);
    }

    /// Sends a hello, which introduces this coordinator to the peer of a connection.
    pub(super) fn send_hello(&mut self, connection: ConnectionId) {
        let hello = CoordinatorHello {
            id: self.folder.identity().replica,
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.control,
            wall: super::duties::wall_time(),
            up: self.clock.now().since(Instant::ZERO),
            members: self.member_addresses(),
            leader: self.known_leader(),
        };
        let frame = IncomingFrame::Coordinator(CoordinatorFrame::Hello(hello));
        self.send_frame(connection, &with_own_formats(&frame));
    }

    /// Handles a coordinator's hello; answers the first one on an accepted link with a hello of its
    /// own.
    pub(super) fn on_coordinator_hello(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: CoordinatorHello,
    ) {
        self.site_clock.record(now, hello.id, hello.wall);
        if self.peers.record_route(now, connection, &hello) {
            info!(self.logger, "coordinator reached"; "member" => hello.id.0, "node" => &hello.node);
        }
        if let Some(Role::Link(link)) = self.roles.get_mut(&connection)
            && link.coordinator.is_none()
        {
            link.coordinator = Some(hello.id);
            self.send_hello(connection);
        }
        let window = self.settings.order_handover();
        let node = hello.node.clone();
        if self.peers.record_hello(now, hello, window) {
            let event = Event::CoordinatorsLost(vec![node]);
            self.inputs.push(HostInput::Event(event));
        }
    }

    /// Handles the end of a connection, in case its peer was a coordinator.
    pub(super) fn on_coordinator_disconnected(&mut self, now: Instant, connection: ConnectionId) {
        let was_coordinator = self.peers.peer_of(connection).is_some();
        let lost = self.peers.disconnected(now, connection);
        for peer in &lost {
            info!(self.logger, "coordinator lost"; "member" => peer.member.0);
        }
        let nodes: Vec<String> = lost.into_iter().filter_map(|peer| peer.node).collect();
        if !nodes.is_empty() {
            let event = Event::CoordinatorsLost(nodes);
            self.inputs.push(HostInput::Event(event));
        }
        if was_coordinator {
            self.answer_lost_heartbeats(connection);
        }
    }

    /// Sends a hello to all other coordinators and an `Alive` message to all gateways.
    pub(super) fn send_periodic_hellos(&mut self) {
        let others: Vec<ReplicaId> = self.peers.ids().collect();
        let links = others.into_iter().filter_map(|other| self.route_to(other));
        let links: Vec<ConnectionId> = links.collect();
        for connection in links {
            self.send_hello(connection);
        }
        self.send_alive();
    }

    /// Returns an open connection to a coordinator.
    pub(super) fn route_to(&self, to: ReplicaId) -> Option<ConnectionId> {
        let is_open = |connection| self.reactor.is_open(connection);
        self.peers.route_to(to, is_open)
    }

    /// Sends a consensus message; drops it when there is no connection to its recipient.
    pub(super) fn send_consensus(&mut self, to: ReplicaId, message: Vec<u8>) {
        let Some(connection) = self.route_to(to) else {
            return;
        };
        let frame = IncomingFrame::Coordinator(CoordinatorFrame::Consensus(message));
        self.send_frame(connection, &frame);
    }

    /// Whether this coordinator is a member of the group rather than on standby.
    pub(super) fn is_member(&self) -> bool {
        let own = self.folder.identity().replica;
        members(self.host.membership()).any(|member| member.id == own)
    }

    /// Returns the leader that this coordinator knows: from consensus, or else from the hellos of
    /// other coordinators, when this one is on standby or was removed from the group without
    /// learning of it.
    pub(super) fn known_leader(&self) -> Option<KnownLeader> {
        if let Some(leader) = self.host.leader() {
            let term = self.host.term();
            return Some(KnownLeader { term, leader });
        }
        self.peers.reported_leader(self.clock.now())
    }

    /// Returns the internal addresses of the members and of coordinators on standby.
    pub(super) fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.member_addresses();
        addresses.extend(self.peers.fresh_addresses(self.clock.now()));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the internal addresses of the members.
    fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = members(self.host.membership());
        members.map(|member| member.address).collect()
    }

    /// Connects to all members and seeds that it has no connection to, and closes outgoing
    /// connections to other addresses.
    pub(super) fn dial_members(&mut self, now: Instant) {
        let wanted = self.addresses_to_dial();
        for connection in self.dials.retain_wanted(&wanted) {
            self.close_connection(now, connection);
        }
        for address in wanted {
            self.dial(now, address);
        }
    }

    fn addresses_to_dial(&self) -> Vec<SocketAddr> {
        let own = self.settings.internal_address();
        let mut wanted = self.member_addresses();
        if !wanted.contains(&own) {
            // The leader can add this coordinator as a member only after it received its hello.
            wanted.extend(self.peers.member_addresses());
        }
        wanted.extend(self.settings.seed_addresses());
        wanted.sort_unstable();
        wanted.dedup();
        wanted.retain(|address| *address != own);
        wanted
    }

    fn dial(&mut self, now: Instant, address: SocketAddr) {
        match self.dials.next_step(now, address) {
            DialStep::Wait => {}
            DialStep::Abandon(connection) => self.close_connection(now, connection),
            DialStep::Connect => {
                let options = ConnectOptions {
                    unacknowledged_limit: LINK_UNACKNOWLEDGED_LIMIT,
                };
                let connection = self.reactor.connect(address, options);
                if let Some(connection) = connection {
                    self.roles.insert(connection, Role::Dialed(address));
                }
                self.dials.attempt_started(now, address, connection);
            }
        }
    }
}
