//! Links to gateways and to other coordinators.

use super::{
    CONNECT_INTERVAL, CONNECT_TIMEOUT, Coordinator, Dial, LINK_LIMIT, Link, Role, Waiting,
};
use crate::membership::Joiner;
use slog::{info, warn};
use std::net::SocketAddr;
use wingshore_coordination::{
    CoordinatorFrame, CoordinatorHello, CoordinatorMessage, Event, GatewayId, GatewayMessage,
    IncomingFrame,
};
use wingshore_group::HostInput;
use wingshore_net::{ConnectOptions, ConnectionId, frame};
use wingshore_types::{Instant, ReplicaId};

impl Coordinator {
    pub(super) fn on_connected(&mut self, _now: Instant, connection: ConnectionId) {
        let Some(Role::Dialed(address)) = self.roles.get(&connection) else {
            return;
        };
        if let Some(dial) = self.dials.get_mut(address) {
            dial.up = true;
        }
        self.introduce(connection);
    }

    pub(super) fn introduce(&mut self, connection: ConnectionId) {
        let hello = CoordinatorHello {
            id: self.folder.identity().replica,
            node: self.settings.node.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.control,
            up: self.clock.now().since(Instant::ZERO),
            members: self.member_addresses(),
        };
        let frame = IncomingFrame::Coordinator(CoordinatorFrame::Hello(hello));
        self.send_frame(connection, &frame);
    }

    pub(super) fn on_link_input(&mut self, now: Instant, connection: ConnectionId) {
        loop {
            let Some(input) = self.reactor.input(connection) else {
                return;
            };
            match frame::decode::<IncomingFrame>(input) {
                Ok(Some(frame)) => self.on_frame(now, connection, frame),
                Ok(None) => return,
                Err(error) => {
                    warn!(self.logger, "link closed"; "error" => %error);
                    return self.on_ended(now, connection);
                }
            }
        }
    }

    pub(super) fn on_frame(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        frame: IncomingFrame,
    ) {
        match frame {
            IncomingFrame::Gateway(hello) => {
                if let Some(Role::Link(link)) = self.roles.get_mut(&connection) {
                    link.gateway = Some(hello.gateway);
                }
                info!(self.logger, "gateway connected"; "gateway" => hello.gateway.0,
                    "node" => &hello.node, "zone" => &hello.zone);
                let event = Event::GatewayConnected(hello.clone());
                if let Some(before) = self.directory.connected(now, hello, connection) {
                    self.reactor.close(before);
                    self.roles.remove(&before);
                }
                self.inputs.push(HostInput::Event(event));
            }
            IncomingFrame::FromGateway(message) => {
                let Some(Role::Link(Link {
                    gateway: Some(gateway),
                    ..
                })) = self.roles.get(&connection)
                else {
                    return;
                };
                let gateway = *gateway;
                self.on_gateway_message(now, connection, gateway, message);
            }
            IncomingFrame::Coordinator(CoordinatorFrame::Hello(hello)) => {
                self.on_hello(now, connection, hello);
            }
            IncomingFrame::Coordinator(CoordinatorFrame::Consensus(message)) => {
                if let Some(from) = self.coordinator_at(connection) {
                    if let Some(joiner) = self.heard.get_mut(&from) {
                        joiner.heard = now;
                    }
                    self.inputs.push(HostInput::Consensus { from, message });
                }
            }
        }
    }

    pub(super) fn coordinator_at(&self, connection: ConnectionId) -> Option<ReplicaId> {
        self.routes
            .iter()
            .find(|(_, routes)| routes.contains(&connection))
            .map(|(id, _)| *id)
    }

    pub(super) fn on_hello(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: CoordinatorHello,
    ) {
        let joiner = Joiner {
            id: hello.id,
            address: hello.internal,
            heard: now,
        };
        // One address has one identity at a time: the one that was heard last.
        self.heard
            .retain(|id, known| *id == hello.id || known.address != hello.internal);
        self.heard.insert(hello.id, joiner);
        let routes = self.routes.entry(hello.id).or_default();
        if routes.is_empty() {
            info!(self.logger, "coordinator reached"; "member" => hello.id.0, "node" => &hello.node);
        }
        if !routes.contains(&connection) {
            routes.push(connection);
        }
        if let Some(Role::Link(link)) = self.roles.get_mut(&connection)
            && link.coordinator.is_none()
        {
            link.coordinator = Some(hello.id);
            self.introduce(connection);
        }
        let window = self.settings.order_handover;
        if self.lost.heard(now, &hello.node, hello.up, window) {
            let event = Event::CoordinatorsLost(vec![hello.node.clone()]);
            self.inputs.push(HostInput::Event(event));
        }
        self.hellos.insert(hello.id, hello);
    }

    pub(super) fn on_gateway_message(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        gateway: GatewayId,
        message: GatewayMessage,
    ) {
        let event = match message {
            GatewayMessage::Status(status) => {
                self.directory.heard(now, gateway, status);
                Event::GatewayStatus(gateway, status)
            }
            GatewayMessage::Running { items, scorings } => Event::GatewayRunning {
                gateway,
                items,
                scorings,
            },
            GatewayMessage::Progress(progress) => Event::ItemsProgressed(progress),
            GatewayMessage::Scoring(scorings) => Event::ScoringsInHand(scorings),
            GatewayMessage::ScoringEnded { scoring, outcome } => {
                self.metrics.scoring_ended(outcome.name());
                Event::ScoringEnded {
                    gateway,
                    scoring,
                    outcome,
                }
            }
            GatewayMessage::Keep {
                assignment,
                after_events,
                text,
            } => Event::ItemKept {
                assignment,
                after_events,
                text,
            },
            GatewayMessage::ReadCopy {
                id,
                job,
                from,
                wait,
            } => return self.read_copy(now, connection, (id, job, from, wait)),
            GatewayMessage::Call { id, request } => {
                self.ask_group(request, Waiting::Gateway(connection, id));
                return;
            }
            GatewayMessage::ItemEnded {
                assignment,
                outcome,
                ..
            } => {
                self.metrics.try_ended(outcome.name());
                Event::ItemEnded {
                    gateway,
                    assignment,
                    outcome,
                }
            }
        };
        self.inputs.push(HostInput::Event(event));
    }

    pub(super) fn greet(&mut self) {
        let links: Vec<ConnectionId> = self
            .dials
            .values()
            .filter(|dial| dial.up)
            .filter_map(|dial| dial.connection)
            .collect();
        for connection in links {
            self.introduce(connection);
        }
        let coordinators = self.member_addresses();
        let zone = self.settings.zone.clone();
        self.send_to_all_gateways(&CoordinatorMessage::Alive { coordinators, zone });
    }

    /// Where the members listen for the site's own processes.
    fn member_addresses(&self) -> Vec<SocketAddr> {
        let membership = self.host.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        members.map(|member| member.address).collect()
    }

    /// Connects to all members and seeds there is no connection to.
    pub(super) fn dial_members(&mut self, now: Instant) {
        let own = self.settings.internal_address();
        let mut wanted = self.member_addresses();
        if !wanted.contains(&own) {
            // The leader must hear of this one before it can be a member.
            wanted.extend(self.hellos.values().flat_map(|hello| &hello.members));
        }
        wanted.extend(self.settings.seed_addresses());
        wanted.sort_unstable();
        wanted.dedup();
        wanted.retain(|address| *address != own);
        let superfluous: Vec<SocketAddr> = self
            .dials
            .keys()
            .filter(|address| !wanted.contains(address))
            .copied()
            .collect();
        for address in superfluous {
            if let Some(connection) = self.dials.remove(&address).and_then(|dial| dial.connection) {
                self.on_ended(now, connection);
            }
        }
        for address in wanted {
            self.dial(now, address);
        }
    }

    pub(super) fn dial(&mut self, now: Instant, address: SocketAddr) {
        if let Some(dial) = self.dials.get(&address) {
            let is_late = !dial.up && now.since(dial.since) >= CONNECT_TIMEOUT;
            match dial.connection {
                Some(connection) if is_late => return self.on_ended(now, connection),
                Some(_) => return,
                None if now.since(dial.since) < CONNECT_INTERVAL => return,
                None => {}
            }
        }
        let options = ConnectOptions {
            unacknowledged_limit: LINK_LIMIT,
        };
        let connection = self.reactor.connect(address, options);
        if let Some(connection) = connection {
            self.roles.insert(connection, Role::Dialed(address));
        }
        let dial = Dial {
            connection,
            up: false,
            since: now,
        };
        self.dials.insert(address, dial);
    }
}
