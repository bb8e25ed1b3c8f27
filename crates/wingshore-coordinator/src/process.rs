//! One coordinator process from start to end: the loop that owns sockets and the group's host.

use crate::control::{self, ControlConnection};
use crate::decisions;
use crate::directory::Directory;
use crate::engine_calls::EngineCalls;
use crate::error::{CoordinatorError, GroupSnafu, NetSnafu, StorageSnafu, ThreadSnafu};
use crate::identity;
use wingshore_net::Clock;

use crate::membership::{Joiner, MembershipPlanner, MembershipView};
use crate::protocol::{
    ControlAnswer, ControlCall, ControlProtocol, EngineProtocol, HttpAnswer, LocalQuestion,
};
use crate::settings::CoordinatorSettings;
use crate::writer::{WriteEvent, Writer, wait_for_space};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CallReply, CoordinationLeader, CoordinatorFrame, CoordinatorHello, CoordinatorMessage, Effect,
    Event, GatewayId, GatewayMessage, IncomingFrame, LeaderSettings, Reply, Request,
};
use wingshore_group::{
    Host, HostConfig, HostInput, HostOutput, HostReply, Leadership, MachineFactory, Timing,
};
use wingshore_net::http::WholeRequest;
use wingshore_net::{
    ConnectOptions, ConnectionId, ListenerId, NetEvent, Reactor, SeedSource, Signals, frame,
};
use wingshore_storage::{
    DataFolder, FileSystem, PatientStore, RealFileSystem, StorageError, with_space,
};
use wingshore_types::configuration::Permille;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::{GroupId, Instant, ReplicaId};

/// Sent bytes may stay unacknowledged this long on links of the site.
const LINK_LIMIT: Duration = Duration::from_millis(1500);
/// Sent bytes may stay unacknowledged this long on connections of callers.
const CALLER_LIMIT: Duration = Duration::from_secs(5);
/// Most connections of others at a time.
const MOST_CONNECTIONS: usize = 6000;
/// Between attempts to connect to another coordinator.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// An attempt to connect is over after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Between introductions on a link, and signs of life to gateways.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Between looks at what has become due.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// A gateway that is silent for this long is disconnected.
const GATEWAY_SILENCE: Duration = Duration::from_millis(1600);
/// A gateway is shown to clients only if it was heard of within this time.
const GATEWAY_FRESH: Duration = Duration::from_millis(1300);
/// Idle connections of callers are closed after this time.
const CALLER_IDLE: Duration = Duration::from_secs(30);
/// Longest wait for sockets.
const LONGEST_WAIT: Duration = Duration::from_millis(250);
/// Election timeouts differ by up to this part of the shortest one.
const ELECTION_SPREAD_PART: u32 = 2;
/// The most by which any clock runs fast or slow, in thousandths.
const CLOCK_DRIFT: Permille = Permille(20);

/// Who waits for the group's answer.
enum Waiting {
    Caller(ConnectionId),
    Gateway(ConnectionId, u64),
    Planner,
    /// Something that is asked again if it does not come about.
    Nobody,
}

/// What a connection is.
enum Role {
    Control(ControlConnection),
    /// Accepted on the internal port.
    Link(Link),
    /// Made to another coordinator.
    Dialed(SocketAddr),
}

#[derive(Default)]
struct Link {
    gateway: Option<GatewayId>,
    coordinator: Option<ReplicaId>,
}

/// A connection made to another coordinator.
struct Dial {
    connection: Option<ConnectionId>,
    up: bool,
    since: Instant,
}

/// A running coordinator.
pub struct Coordinator {
    settings: CoordinatorSettings,
    logger: Logger,
    clock: Clock,
    folder: DataFolder,
    reactor: Reactor,
    internal_listener: ListenerId,
    protocol: Box<dyn ControlProtocol>,
    host: Host<CoordinationLeader>,
    writer: Writer,
    signals: Signals,
    seed_source: SeedSource,
    stopping_since: Option<Instant>,
    stopped: bool,
    roles: HashMap<ConnectionId, Role>,
    dials: BTreeMap<SocketAddr, Dial>,
    /// Coordinators by identity, as they introduced themselves.
    heard: BTreeMap<ReplicaId, Joiner>,
    hellos: BTreeMap<ReplicaId, CoordinatorHello>,
    /// Connections that lead to a coordinator, newest last.
    routes: BTreeMap<ReplicaId, Vec<ConnectionId>>,
    directory: Directory,
    engines: EngineCalls,
    waiting: HashMap<RequestTag, Waiting>,
    next_tag: u64,
    planner: MembershipPlanner,
    change_under_way: bool,
    next_housekeeping: Instant,
    next_hello: Instant,
    inputs: Vec<HostInput<CoordinationLeader>>,
}

impl Coordinator {
    /// Opens the data folder and listens.
    ///
    /// # Errors
    /// When the folder or an address cannot be used.
    pub fn start(
        settings: CoordinatorSettings,
        protocol: Box<dyn ControlProtocol>,
        engine_protocol: Box<dyn EngineProtocol>,
        signals: Signals,
        seed_source: SeedSource,
        logger: Logger,
    ) -> Result<Self, CoordinatorError> {
        let clock = Clock::start();
        let fs: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
        let mut wait = |error: &StorageError| wait_for_space(&logger, error);
        let folder = with_space(&mut wait, || identity::open(&fs, &settings));
        let folder = folder.context(StorageSnafu)?;
        let directory = folder.group_directory(GroupId::Control);
        let opened = PatientStore::open(fs, &directory, &mut wait);
        let (store, recovered) = opened.context(StorageSnafu)?;
        let mut reactor = Reactor::new().context(NetSnafu)?;
        let listen = |reactor: &mut Reactor, address, limit| {
            reactor
                .listen(address, limit, MOST_CONNECTIONS)
                .context(NetSnafu)
        };
        listen(&mut reactor, settings.control, CALLER_LIMIT)?;
        if let Some(address) = settings.directory {
            listen(&mut reactor, address, CALLER_LIMIT)?;
        }
        let internal = settings.internal_address();
        let internal_listener = listen(&mut reactor, internal, LINK_LIMIT)?;
        let writer = Writer::start(store, reactor.waker(), logger.clone()).context(ThreadSnafu)?;
        let host = open_host(&settings, &folder, clock.now(), recovered)?;
        info!(logger, "started"; "node" => &settings.node, "member" => folder.identity().replica.0,
            "founder" => folder.identity().founding.is_some(), "applied" => host.applied_index().0);
        Ok(Self {
            logger,
            clock,
            folder,
            reactor,
            internal_listener,
            protocol,
            host,
            writer,
            signals,
            seed_source,
            stopping_since: None,
            stopped: false,
            roles: HashMap::new(),
            dials: BTreeMap::new(),
            heard: BTreeMap::new(),
            hellos: BTreeMap::new(),
            routes: BTreeMap::new(),
            directory: Directory::default(),
            engines: EngineCalls::new(engine_protocol),
            waiting: HashMap::new(),
            next_tag: 0,
            planner: MembershipPlanner::default(),
            change_under_way: false,
            next_housekeeping: Instant::ZERO,
            next_hello: Instant::ZERO,
            inputs: Vec::new(),
            settings,
        })
    }

    /// Serves until a planned stop.
    ///
    /// # Errors
    /// When the group cannot go on: a failed write, damaged storage.
    pub fn run(mut self) -> Result<(), CoordinatorError> {
        let mut events = Vec::new();
        let mut outputs = Vec::new();
        while !self.stopped {
            let wait = self.time_to_wait();
            self.reactor.poll(wait, &mut events).context(NetSnafu)?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_net_event(now, event);
            }
            self.take_write_events()?;
            self.keep_house(now);
            if now >= self.host.next_tick() {
                self.inputs.push(HostInput::Tick);
            }
            self.step_host(now, &mut outputs)?;
        }
        info!(self.logger, "stopped"; "node" => &self.settings.node);
        Ok(())
    }

    fn time_to_wait(&self) -> Duration {
        if !self.inputs.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let due = self
            .host
            .next_tick()
            .min(self.next_housekeeping)
            .min(self.next_hello);
        due.since(now).min(LONGEST_WAIT)
    }

    fn take_write_events(&mut self) -> Result<(), CoordinatorError> {
        for event in self.writer.events() {
            match event {
                WriteEvent::Persisted(token) => self.inputs.push(HostInput::Persisted { token }),
                WriteEvent::Failed(source) => return Err(source).context(StorageSnafu),
            }
        }
        Ok(())
    }

    fn step_host(
        &mut self,
        now: Instant,
        outputs: &mut Vec<HostOutput<CoordinationLeader>>,
    ) -> Result<(), CoordinatorError> {
        let inputs = std::mem::take(&mut self.inputs);
        if inputs.is_empty() {
            return Ok(());
        }
        self.host.step_all(now, inputs, outputs);
        for output in outputs.drain(..) {
            self.carry_out(now, output)?;
        }
        Ok(())
    }

    fn carry_out(
        &mut self,
        now: Instant,
        output: HostOutput<CoordinationLeader>,
    ) -> Result<(), CoordinatorError> {
        match output {
            HostOutput::Send { to, message } => self.send_consensus(to, message),
            HostOutput::Write { token, batch } => self.writer.write(token, batch),
            HostOutput::Reply { tag, reply } => self.on_reply(tag, reply),
            HostOutput::Effect(effect) => self.on_effect(now, effect),
            HostOutput::MembershipChanged(membership) => {
                info!(self.logger, "members"; "membership" => ?membership);
                self.dial_members(now);
            }
            HostOutput::Leadership(leadership) => self.on_leadership(now, leadership),
            HostOutput::Stopped => self.stopped = true,
            HostOutput::Failed(source) => return Err(source).context(GroupSnafu),
        }
        Ok(())
    }

    fn on_leadership(&mut self, now: Instant, leadership: Leadership) {
        self.change_under_way = false;
        match leadership {
            Leadership::Leading { epoch } => {
                info!(self.logger, "leading"; "node" => &self.settings.node, "epoch" => epoch.0);
                self.planner.begin(now);
                let gateways = self.directory.iter();
                let known = gateways.map(|gateway| gateway.hello.clone());
                let events = known.map(|hello| HostInput::Event(Event::GatewayConnected(hello)));
                self.inputs.extend(events);
            }
            Leadership::Following { leader } => {
                info!(self.logger, "following"; "node" => &self.settings.node,
                    "leader" => leader.map(|leader| leader.0));
            }
        }
    }

    fn send_consensus(&mut self, to: ReplicaId, message: Vec<u8>) {
        let Some(connection) = self.route_to(to) else {
            return;
        };
        let frame = IncomingFrame::Coordinator(CoordinatorFrame::Consensus(message));
        self.send_frame(connection, &frame);
    }

    /// A connection that leads to a coordinator.
    fn route_to(&self, to: ReplicaId) -> Option<ConnectionId> {
        let routes = self.routes.get(&to)?;
        let mut open = routes.iter().rev().copied();
        open.find(|connection| self.reactor.is_open(*connection))
    }

    fn send_frame<M: serde::Serialize>(&mut self, connection: ConnectionId, message: &M) {
        match frame::encode(message) {
            Ok(bytes) => self.reactor.send(connection, &bytes),
            Err(error) => warn!(self.logger, "frame not encoded"; "error" => %error),
        }
    }

    fn on_effect(&mut self, now: Instant, effect: Effect) {
        let event = match effect {
            Effect::ToGateway(gateway, message) => {
                if let Some(connection) = self.directory.connection(gateway) {
                    self.send_frame(connection, &message);
                }
                None
            }
            Effect::ToAllGateways(message) => {
                self.send_to_all_gateways(&message);
                None
            }
            Effect::Log(decision) => {
                decisions::log(&self.logger, &decision);
                None
            }
            Effect::Order(order) => {
                info!(self.logger, "order"; "engine" => %order.instance, "model" => %order.model,
                    "version" => order.version, "fence" => order.fence.0);
                self.engines.order(now, &mut self.reactor, &order)
            }
            Effect::AskReport { instance, address } => {
                self.engines
                    .report(now, &mut self.reactor, &instance, address)
            }
        };
        self.inputs.extend(event.map(HostInput::Event));
    }

    fn send_to_all_gateways(&mut self, message: &CoordinatorMessage) {
        let Ok(bytes) = frame::encode(message) else {
            return;
        };
        for gateway in self.directory.iter() {
            self.reactor.send(gateway.connection, &bytes);
        }
    }

    fn on_reply(&mut self, tag: RequestTag, reply: HostReply<Reply>) {
        match self.waiting.remove(&tag) {
            Some(Waiting::Caller(connection)) => self.answer_caller(connection, reply),
            Some(Waiting::Gateway(connection, id)) => {
                let reply = match reply {
                    HostReply::Reply(reply) => CallReply::Reply(reply),
                    HostReply::NotLeader { .. } => CallReply::NotLeader,
                    HostReply::Membership(_) | HostReply::Unknown => CallReply::Unknown,
                };
                self.send_frame(connection, &CoordinatorMessage::Reply { id, reply });
            }
            Some(Waiting::Planner) => {
                self.change_under_way = false;
                if let HostReply::Membership(MembershipReply::Refused { message }) = reply {
                    info!(self.logger, "member change refused"; "reason" => message);
                }
            }
            Some(Waiting::Nobody) | None => {}
        }
    }

    fn answer_caller(&mut self, connection: ConnectionId, reply: HostReply<Reply>) {
        let answer = match reply {
            HostReply::Reply(reply) => ControlAnswer::Reply(reply),
            HostReply::NotLeader { leader } => self.redirect(connection, leader),
            HostReply::Membership(_) | HostReply::Unknown => ControlAnswer::Unknown,
        };
        let answer = self.protocol.write(&answer);
        self.answer(connection, &answer);
    }

    fn redirect(&self, connection: ConnectionId, leader: Option<ReplicaId>) -> ControlAnswer {
        let leader = leader.and_then(|leader| self.hellos.get(&leader));
        let target = match self.roles.get(&connection) {
            Some(Role::Control(control)) => control.waiting.clone(),
            _ => None,
        };
        match (leader, target) {
            (Some(hello), Some(target)) => ControlAnswer::Redirect {
                leader: hello.control,
                target,
            },
            _ => ControlAnswer::Unavailable,
        }
    }

    fn answer(&mut self, connection: ConnectionId, answer: &HttpAnswer) {
        let now = self.clock.now();
        let Some(Role::Control(control)) = self.roles.get_mut(&connection) else {
            return;
        };
        control.waiting = None;
        control.used = now;
        let close = control.close_after;
        let bytes = control::encode(answer, close);
        self.reactor.send(connection, &bytes);
        if close {
            self.reactor.close_when_flushed(connection);
            self.roles.remove(&connection);
            return;
        }
        // Another request may have arrived meanwhile.
        self.on_control_input(now, connection);
    }

    fn on_net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => {
                let role = if listener == self.internal_listener {
                    Role::Link(Link::default())
                } else {
                    Role::Control(ControlConnection::new(now))
                };
                self.roles.insert(connection, role);
            }
            NetEvent::Connected(connection) => self.on_connected(now, connection),
            NetEvent::Received(connection) => self.on_received(now, connection),
            NetEvent::EndOfInput(connection) => {
                // A caller that has ended its side still waits for its answer.
                let waits = matches!(
                    self.roles.get(&connection),
                    Some(Role::Control(control)) if control.waiting.is_some()
                );
                if !waits {
                    self.on_ended(now, connection);
                } else if let Some(Role::Control(control)) = self.roles.get_mut(&connection) {
                    control.close_after = true;
                }
            }
            NetEvent::Broken(connection) => self.on_ended(now, connection),
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        if self.engines.owns(connection) {
            let event = self.engines.on_received(now, &mut self.reactor, connection);
            self.inputs.extend(event.map(HostInput::Event));
            return;
        }
        match self.roles.get(&connection) {
            Some(Role::Control(_)) => self.on_control_input(now, connection),
            Some(Role::Link(_) | Role::Dialed(_)) => self.on_link_input(now, connection),
            None => {}
        }
    }

    fn on_ended(&mut self, now: Instant, connection: ConnectionId) {
        if self.engines.owns(connection) {
            let event = self.engines.on_ended(&mut self.reactor, connection);
            self.inputs.extend(event.map(HostInput::Event));
            return;
        }
        self.reactor.close(connection);
        match self.roles.remove(&connection) {
            Some(Role::Link(Link {
                gateway: Some(gateway),
                ..
            })) if self.directory.disconnected(gateway, connection) => {
                info!(self.logger, "gateway lost"; "gateway" => gateway.0);
                self.inputs
                    .push(HostInput::Event(Event::GatewayGone(gateway)));
            }
            Some(Role::Dialed(address)) => {
                if let Some(dial) = self.dials.get_mut(&address) {
                    dial.connection = None;
                    dial.up = false;
                    dial.since = now;
                }
            }
            _ => {}
        }
        for routes in self.routes.values_mut() {
            routes.retain(|route| *route != connection);
        }
    }

    fn on_connected(&mut self, _now: Instant, connection: ConnectionId) {
        let Some(Role::Dialed(address)) = self.roles.get(&connection) else {
            return;
        };
        if let Some(dial) = self.dials.get_mut(address) {
            dial.up = true;
        }
        self.introduce(connection);
    }

    fn introduce(&mut self, connection: ConnectionId) {
        let hello = CoordinatorHello {
            id: self.folder.identity().replica,
            node: self.settings.node.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.control,
        };
        let frame = IncomingFrame::Coordinator(CoordinatorFrame::Hello(hello));
        self.send_frame(connection, &frame);
    }

    fn on_link_input(&mut self, now: Instant, connection: ConnectionId) {
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

    fn coordinator_at(&self, connection: ConnectionId) -> Option<ReplicaId> {
        self.routes
            .iter()
            .find(|(_, routes)| routes.contains(&connection))
            .map(|(id, _)| *id)
    }

    fn on_hello(&mut self, now: Instant, connection: ConnectionId, hello: CoordinatorHello) {
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
        if !routes.contains(&connection) {
            routes.push(connection);
        }
        if let Some(Role::Link(link)) = self.roles.get_mut(&connection)
            && link.coordinator.is_none()
        {
            link.coordinator = Some(hello.id);
            self.introduce(connection);
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
            GatewayMessage::Running(running) => Event::GatewayRunning(gateway, running),
            GatewayMessage::Progress(progress) => Event::ItemsProgressed(progress),
            GatewayMessage::Call { id, request } => {
                self.ask_group(request, Waiting::Gateway(connection, id));
                return;
            }
            GatewayMessage::ItemEnded {
                assignment,
                outcome,
                ..
            } => Event::ItemEnded {
                gateway,
                assignment,
                outcome,
            },
        };
        self.inputs.push(HostInput::Event(event));
    }

    fn ask_group(&mut self, request: Request, waiting: Waiting) {
        let tag = self.tag(waiting);
        self.inputs.push(HostInput::Request { tag, request });
    }

    fn tag(&mut self, waiting: Waiting) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        self.waiting.insert(tag, waiting);
        tag
    }

    fn on_control_input(&mut self, now: Instant, connection: ConnectionId) {
        let Some(Role::Control(control)) = self.roles.get_mut(&connection) else {
            return;
        };
        control.used = now;
        if control.waiting.is_some() {
            return;
        }
        let Some(input) = self.reactor.input(connection) else {
            return;
        };
        let next = control
            .reader
            .next(input, control::MOST_HEAD, control::MOST_BODY);
        match next {
            Ok(None) => {}
            Ok(Some(request)) => {
                control.waiting = Some(request.head.target.clone());
                control.close_after = request.head.wants_close();
                self.on_call(now, connection, &request);
            }
            Err(error) => {
                control.close_after = true;
                let answer = HttpAnswer {
                    status: error.status(),
                    headers: Vec::new(),
                    body: error.to_string().into_bytes(),
                };
                self.answer(connection, &answer);
            }
        }
    }

    fn on_call(&mut self, now: Instant, connection: ConnectionId, request: &WholeRequest) {
        match self.protocol.read(request) {
            ControlCall::Group(request) => self.ask_group(request, Waiting::Caller(connection)),
            ControlCall::Local(LocalQuestion::Retire { node }) if self.host.is_leader() => {
                self.begin_retirement(now, connection, &node);
            }
            ControlCall::Local(
                LocalQuestion::Retire { .. } | LocalQuestion::RetireProgress { .. },
            ) if !self.host.is_leader() => {
                let leader = self.host.leader();
                let answer = self.redirect(connection, leader);
                let answer = self.protocol.write(&answer);
                self.answer(connection, &answer);
            }
            ControlCall::Local(question) => {
                let answer = self.answer_locally(now, &question);
                let answer = self.protocol.write(&answer);
                self.answer(connection, &answer);
            }
            ControlCall::Invalid(answer) => self.answer(connection, &answer),
        }
    }

    fn answer_locally(&self, now: Instant, question: &LocalQuestion) -> ControlAnswer {
        match question {
            LocalQuestion::Gateways { zone } => {
                let gateways = self.directory.for_client(now, zone, GATEWAY_FRESH);
                if gateways.is_empty() {
                    return ControlAnswer::Unavailable;
                }
                ControlAnswer::Gateways {
                    gateways,
                    ttl: self.settings.directory_ttl,
                }
            }
            LocalQuestion::Retire { .. } => ControlAnswer::Unavailable,
            LocalQuestion::RetireProgress { node } => self.retirement_progress(now, node),
        }
    }

    /// What is due by time: connections, signs of life, members, the planned stop.
    fn keep_house(&mut self, now: Instant) {
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            self.greet();
        }
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.dial_members(now);
        let events = self.engines.expire(now, &mut self.reactor);
        self.inputs.extend(events.into_iter().map(HostInput::Event));
        for connection in self.directory.silent(now, GATEWAY_SILENCE) {
            self.on_ended(now, connection);
        }
        self.close_idle_callers(now);
        self.plan_members(now);
        self.reload();
        self.begin_stop(now);
    }

    /// Reads the seeds again where the settings have changed. Seeds that cannot be read leave
    /// those before in force.
    fn reload(&mut self) {
        if !self.signals.take_reload() {
            return;
        }
        match (self.seed_source)() {
            Ok(seeds) => {
                info!(self.logger, "reloaded"; "seeds" => ?seeds);
                self.settings.seeds = seeds;
            }
            Err(reason) => warn!(self.logger, "not reloaded"; "reason" => reason),
        }
    }

    fn greet(&mut self) {
        let links: Vec<ConnectionId> = self
            .dials
            .values()
            .filter(|dial| dial.up)
            .filter_map(|dial| dial.connection)
            .collect();
        for connection in links {
            self.introduce(connection);
        }
        let membership = self.host.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let coordinators = members.map(|member| member.address).collect();
        self.send_to_all_gateways(&CoordinatorMessage::Alive { coordinators });
    }

    fn close_idle_callers(&mut self, now: Instant) {
        let idle: Vec<ConnectionId> = self
            .roles
            .iter()
            .filter(|(_, role)| match role {
                Role::Control(control) => {
                    control.waiting.is_none() && now.since(control.used) > CALLER_IDLE
                }
                _ => false,
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in idle {
            self.on_ended(now, connection);
        }
    }

    /// Connects to all members and seeds there is no connection to.
    fn dial_members(&mut self, now: Instant) {
        let own = self.settings.internal_address();
        let membership = self.host.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let mut wanted: Vec<SocketAddr> = members.map(|member| member.address).collect();
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

    /// Lets the leader change the members where that is needed.
    fn plan_members(&mut self, now: Instant) {
        if !self.host.is_leader() || self.change_under_way {
            return;
        }
        self.describe_members();
        let retired = self.retired_members();
        let view = self.membership_view(&retired);
        if let Some(request) = self.planner.plan(now, &view) {
            info!(self.logger, "member change"; "request" => ?request);
            self.change_under_way = true;
            self.request_change(request);
        }
    }

    fn membership_view<'a>(&'a self, retired: &'a BTreeSet<ReplicaId>) -> MembershipView<'a> {
        let membership = self.host.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        MembershipView {
            own: self.folder.identity().replica,
            membership,
            heard: &self.heard,
            caught_up: members
                .map(|member| member.id)
                .filter(|id| self.host.is_caught_up(*id))
                .collect(),
            voters: self.settings.seed_addresses().len().max(1),
            retired,
        }
    }

    fn retired_members(&self) -> BTreeSet<ReplicaId> {
        let retired = self.host.state().retired_members();
        retired.values().copied().collect()
    }

    /// Notes the machines of coordinators that are not noted yet.
    fn describe_members(&mut self) {
        let own = (self.folder.identity().replica, self.settings.node.clone());
        let others = self
            .hellos
            .values()
            .map(|hello| (hello.id, hello.node.clone()));
        let known = self.host.state().member_nodes();
        let news: Vec<(ReplicaId, String)> = others
            .chain([own])
            .filter(|(id, node)| known.get(id) != Some(node))
            .collect();
        for (member, node) in news {
            let request = Request::DescribeMember { member, node };
            self.ask_group(request, Waiting::Nobody);
        }
    }

    /// A machine is to be emptied: what the leader answers at once, or `None` when it is to be
    /// noted first.
    fn begin_retirement(&mut self, now: Instant, connection: ConnectionId, node: &str) {
        let retired = self.retired_members();
        let view = self.membership_view(&retired);
        let own = (view.own, self.settings.node.as_str());
        let answer = match member_of(&self.host, own, node) {
            _ if !self.host.holds_lease(now) => ControlAnswer::Unavailable,
            None => ControlAnswer::NoSuchMachine,
            Some(id) if retired.contains(&id) => ControlAnswer::Retiring,
            Some(id) if !self.planner.can_retire(now, id, &view) => ControlAnswer::TooFewLeft,
            Some(member) => {
                info!(self.logger, "retirement"; "node" => node, "member" => member.0);
                let node = node.to_owned();
                let request = Request::RetireMember { member, node };
                return self.ask_group(request, Waiting::Caller(connection));
            }
        };
        let answer = self.protocol.write(&answer);
        self.answer(connection, &answer);
    }

    fn retirement_progress(&self, now: Instant, node: &str) -> ControlAnswer {
        if !self.host.holds_lease(now) {
            return ControlAnswer::Unavailable;
        }
        let Some(member) = self.host.state().retired_members().get(node) else {
            return ControlAnswer::NoSuchMachine;
        };
        let retired = self.retired_members();
        if self.membership_view(&retired).is_whole_without(*member) {
            ControlAnswer::Retired
        } else {
            ControlAnswer::Retiring
        }
    }

    fn request_change(&mut self, request: MembershipRequest) {
        let tag = self.tag(Waiting::Planner);
        self.inputs.push(HostInput::Membership { tag, request });
    }

    fn begin_stop(&mut self, now: Instant) {
        if !self.signals.is_stopping() {
            return;
        }
        match self.stopping_since {
            None => {
                info!(self.logger, "planned stop"; "node" => &self.settings.node);
                self.stopping_since = Some(now);
                self.inputs.push(HostInput::Stop);
            }
            Some(since) if now.since(since) >= self.settings.stop_limit => self.stopped = true,
            Some(_) => {}
        }
    }
}

fn open_host(
    settings: &CoordinatorSettings,
    folder: &DataFolder,
    now: Instant,
    recovered: wingshore_types::log::RecoveredLog,
) -> Result<Host<CoordinationLeader>, CoordinatorError> {
    let identity = folder.identity();
    let config = HostConfig {
        timing: Timing {
            election_timeout: settings.election_timeout,
            election_spread: settings.election_timeout / ELECTION_SPREAD_PART,
            heartbeat_interval: settings.heartbeat,
            lease: settings.lease,
            drift: CLOCK_DRIFT,
        },
        snapshot_every_bytes: settings.snapshot_every_bytes,
        ..HostConfig::new(identity.replica, identity.founding.clone(), rand::random())
    };
    let leader_settings = LeaderSettings {
        node: settings.node.clone(),
        server_expiry: settings.server_expiry,
        order_handover: settings.order_handover,
        concurrent_loads: settings.concurrent_loads,
        load_time: settings.load_time,
        job_retention: settings.job_retention,
        ..LeaderSettings::default()
    };
    let machines = MachineFactory {
        leader: Box::new(move || CoordinationLeader::new(leader_settings.clone())),
        ..MachineFactory::default()
    };
    Host::with_machines(now, config, recovered, machines).context(GroupSnafu)
}

/// The coordinator on a machine: a member of the group, or one that has introduced itself.
fn member_of(
    host: &Host<CoordinationLeader>,
    own: (ReplicaId, &str),
    node: &str,
) -> Option<ReplicaId> {
    if own.1 == node {
        return Some(own.0);
    }
    let membership = host.membership();
    let members = membership.voters.iter().chain(&membership.learners);
    let nodes = host.state().member_nodes();
    let mut on_node =
        members.filter(|member| nodes.get(&member.id).is_some_and(|name| name == node));
    on_node.next().map(|member| member.id).or_else(|| {
        let retired = host.state().retired_members();
        retired.get(node).copied()
    })
}
