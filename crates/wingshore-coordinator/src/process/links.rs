//! Links to gateways and to other coordinators.

use super::{
    CONNECT_INTERVAL, CONNECT_TIMEOUT, Coordinator, Dial, LINK_LIMIT, Link, Role, Waiting,
};
use crate::membership::Joiner;
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorFrame, CoordinatorHello, CoordinatorMessage, Event, GatewayId, GatewayMessage,
    IncomingFrame, KnownLeader, Request,
};
use wingshore_group::HostInput;
use wingshore_net::{ConnectOptions, ConnectionId, frame};
use wingshore_types::{Instant, ReplicaId};

/// The word of another coordinator on who leads counts for this long: three introductions.
const LEADER_WORD_FRESH: Duration = Duration::from_millis(900);

/// One that stands by and is silent for this long is not told to gateways any more: its machine may
/// be gone for good.
const STANDBY_SILENCE: Duration = Duration::from_secs(10);

impl Coordinator {
    pub(super) fn on_connected(&mut self, connection: ConnectionId) {
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
            zone: self.settings.zone.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.control,
            wall: super::duties::wall_time(),
            up: self.clock.now().since(Instant::ZERO),
            members: self.member_addresses(),
            leader: self.known_leader(),
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

    fn on_frame(&mut self, now: Instant, connection: ConnectionId, frame: IncomingFrame) {
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
                    self.view_feed.leave(before);
                    self.roles.remove(&before);
                }
                let coordinators = self.coordinator_addresses();
                let alive = self.sign_of_life(Some(coordinators));
                self.send_frame(connection, &alive);
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
            IncomingFrame::Coordinator(CoordinatorFrame::Heard(servers)) => {
                if let Some(from) = self.coordinator_at(connection) {
                    let event = Event::ServersHeard { from, servers };
                    self.inputs.push(HostInput::Event(event));
                }
            }
            IncomingFrame::Coordinator(CoordinatorFrame::UnknownServers(instances)) => {
                self.heartbeats.unknown(&instances);
            }
            IncomingFrame::Coordinator(CoordinatorFrame::Heartbeat { id, heartbeat }) => {
                let waiting = Waiting::Coordinator(connection, id);
                self.ask_group(Request::Heartbeat(heartbeat), waiting);
            }
            IncomingFrame::Coordinator(CoordinatorFrame::HeartbeatReply { id, answer }) => {
                self.on_heartbeat_reply(now, id, answer);
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

    fn coordinator_at(&self, connection: ConnectionId) -> Option<ReplicaId> {
        self.routes
            .iter()
            .find(|(_, routes)| routes.contains(&connection))
            .map(|(id, _)| *id)
    }

    fn on_hello(&mut self, now: Instant, connection: ConnectionId, hello: CoordinatorHello) {
        self.site_clock.heard(now, hello.id, hello.wall);
        let joiner = Joiner {
            id: hello.id,
            address: hello.internal,
            zone: hello.zone.clone(),
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
        let window = self.settings.order_handover();
        if self.lost.heard(now, &hello.node, hello.up, window) {
            let event = Event::CoordinatorsLost(vec![hello.node.clone()]);
            self.inputs.push(HostInput::Event(event));
        }
        self.hellos.insert(hello.id, hello);
    }

    fn on_gateway_message(
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
            GatewayMessage::RequestsCrashed(seen) => Event::RequestsCrashed { gateway, seen },
            GatewayMessage::Usage(usage) => Event::UsageTold { gateway, usage },
            GatewayMessage::RequestsRan(requests) => Event::RequestsRan(requests),
            GatewayMessage::FollowView { since } => {
                return self.view_feed.follow(connection, since);
            }
            GatewayMessage::LeaveView => return self.view_feed.leave(connection),
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
                item,
                outcome,
            } => {
                self.metrics.try_ended(outcome.name());
                Event::ItemEnded {
                    gateway,
                    assignment,
                    item,
                    outcome,
                }
            }
        };
        self.inputs.push(HostInput::Event(event));
    }

    pub(super) fn greet(&mut self) {
        let others: Vec<ReplicaId> = self.routes.keys().copied().collect();
        let links = others.into_iter().filter_map(|other| self.route_to(other));
        let links: Vec<ConnectionId> = links.collect();
        for connection in links {
            self.introduce(connection);
        }
        self.tell_alive();
    }

    /// Gives all gateways a sign of life. Addresses are told only when they have changed: with 45
    /// coordinators and 836 gateways they were nine tenths of what crossed between zones at rest.
    pub(super) fn tell_alive(&mut self) {
        let coordinators = self.coordinator_addresses();
        let is_news = coordinators != self.told_coordinators;
        let alive = self.sign_of_life(is_news.then(|| coordinators.clone()));
        self.told_coordinators = coordinators;
        self.send_to_all_gateways(&alive);
    }

    fn sign_of_life(&self, coordinators: Option<Vec<SocketAddr>>) -> CoordinatorMessage {
        let has_copy = self.is_member() && self.host.leader().is_some();
        CoordinatorMessage::Alive {
            coordinators,
            zone: self.settings.zone.clone(),
            copy: has_copy.then(|| self.host.applied_index()),
            wall: super::duties::wall_time(),
        }
    }

    /// Whether this coordinator is a member of the group, rather than one that stands by.
    pub(super) fn is_member(&self) -> bool {
        let membership = self.host.membership();
        let mut members = membership.voters.iter().chain(&membership.learners);
        members.any(|member| member.id == self.folder.identity().replica)
    }

    /// Whom this coordinator knows to lead: by the log, or by the word of others where it stands
    /// by or was taken out of the group without learning of it.
    pub(super) fn known_leader(&self) -> Option<KnownLeader> {
        if let Some(leader) = self.host.leader() {
            let term = self.host.term();
            return Some(KnownLeader { term, leader });
        }
        let now = self.clock.now();
        let members = self.hellos.values().filter(|hello| {
            let joiner = self.heard.get(&hello.id);
            joiner.is_some_and(|joiner| now.since(joiner.heard) < LEADER_WORD_FRESH)
        });
        members.filter_map(|hello| hello.leader).max()
    }

    /// Where members and those that stand by listen for the site's own processes.
    fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let fresh = self
            .heard
            .values()
            .filter(|joiner| now.since(joiner.heard) < STANDBY_SILENCE);
        let standby = fresh.map(|joiner| joiner.address);
        let mut addresses = self.member_addresses();
        addresses.extend(standby);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
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

    fn dial(&mut self, now: Instant, address: SocketAddr) {
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
