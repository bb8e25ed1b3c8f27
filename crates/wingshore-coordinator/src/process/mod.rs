//! One coordinator process from start to end: the loop that owns sockets and the group's host.

mod callers;
mod coordinators;
mod copies;
mod disk;
mod duties;
mod gateways;
mod heartbeats;
mod host;
mod links;
mod members;
mod outputs;
mod views;

use crate::control::ControlConnection;
use crate::dials::Dials;
use crate::directory::Directory;
use crate::error::{CoordinatorError, NetSnafu, StorageSnafu, ThreadSnafu};
use crate::heartbeats::HeartbeatRelay;
use crate::membership::{MembershipPlanner, Shortage};
use crate::metrics::CoordinatorMetrics;
use crate::outgoing_calls::{CallProtocols, OutgoingCalls};
use crate::peers::Peers;
use crate::protocol::ControlProtocol;
use crate::settings::CoordinatorSettings;
use crate::silence::SilenceJudge;
use crate::view_feed::ViewFeed;
use crate::writer::{WriteEvent, Writer};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_clock::Clock;
use wingshore_coordination::{CoordinationLeader, GatewayId, Request, SiteClock};
use wingshore_diagnostics::{LogBudget, LogCounts, RequestSampler};
use wingshore_group::{Host, HostInput};
use wingshore_net::{ConnectionId, ListenerId, NetEvent, Reactor, SeedSource, Signals};
use wingshore_storage::DataFolder;
use wingshore_types::machine::RequestTag;
use wingshore_types::{Instant, ReplicaId};

/// Sent bytes may stay unacknowledged this long on links of the site.
const LINK_LIMIT: Duration = Duration::from_millis(1500);
/// Sent bytes may stay unacknowledged this long on connections of callers.
const CALLER_LIMIT: Duration = Duration::from_secs(5);
/// Most connections of others at a time.
const MOST_CONNECTIONS: usize = 6000;
/// Between introductions on a link, and signs of life to gateways.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Between looks at what has become due.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// A gateway that is silent for this long is disconnected, and what it ran is begun elsewhere: two
/// and a half of the intervals in which it tells its state. While a gateway is cut off its items
/// stand still for this time; a step that waits for one of them is over as much later.
const GATEWAY_SILENCE: Duration = Duration::from_millis(1000);
/// A gateway is shown to clients only if it was heard of within this time.
const GATEWAY_FRESH: Duration = Duration::from_millis(1300);
/// Idle connections of callers are closed after this time.
const CALLER_IDLE: Duration = Duration::from_secs(30);
/// Longest wait for sockets.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Who waits for the group's answer.
enum Waiting {
    Caller(ConnectionId),
    Gateway(ConnectionId, u64),
    /// A coordinator that passed a heartbeat on.
    Coordinator(ConnectionId, u64),
    Planner,
    /// Something that is asked again if it does not come about.
    Nobody,
}

/// A call that waits for the group's answer.
struct PendingCall {
    waiting: Waiting,
    call: &'static str,
    /// What it is about, where each answer is logged.
    subject: Option<String>,
    since: Instant,
}

/// What a connection is.
enum Role {
    Control(ControlConnection),
    /// Of monitoring.
    Metrics(ControlConnection),
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

/// A running coordinator.
pub struct Coordinator {
    settings: CoordinatorSettings,
    logger: Logger,
    clock: Clock,
    folder: DataFolder,
    reactor: Reactor,
    internal_listener: ListenerId,
    metrics_listener: Option<ListenerId>,
    metrics: CoordinatorMetrics,
    log_counts: LogCounts,
    sampler: RequestSampler,
    protocol: Box<dyn ControlProtocol>,
    host: Host<CoordinationLeader>,
    writer: Writer,
    signals: Signals,
    seed_source: SeedSource,
    stopping_since: Option<Instant>,
    stopped: bool,
    roles: HashMap<ConnectionId, Role>,
    dials: Dials,
    peers: Peers,
    directory: Directory,
    calls: OutgoingCalls,
    site_clock: SiteClock<ReplicaId>,
    waiting: HashMap<RequestTag, PendingCall>,
    /// Gateways that wait for a result in this member's copy of the state.
    copy_readers: Vec<copies::CopyReader>,
    view_feed: ViewFeed<ConnectionId>,
    /// The coordinators that gateways were told of last.
    told_coordinators: Vec<SocketAddr>,
    heartbeats: HeartbeatRelay,
    /// Heartbeats that were passed on to the leader.
    passed_on: HashMap<u64, heartbeats::PassedOn>,
    next_tag: u64,
    planner: MembershipPlanner,
    change_under_way: bool,
    /// The shortage of coordinators that was logged last.
    reported_shortage: Option<Shortage>,
    silence_judge: SilenceJudge,
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
        call_protocols: CallProtocols,
        signals: Signals,
        seed_source: SeedSource,
        logger: Logger,
        log_counts: LogCounts,
    ) -> Result<Self, CoordinatorError> {
        let clock = Clock::start();
        let disk::Opened {
            folder,
            store,
            recovered,
            texts,
            spool,
        } = disk::open(&settings, &logger)?;
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
        let internal = settings
            .internal_bind
            .unwrap_or_else(|| settings.internal_address());
        let internal_listener = listen(&mut reactor, internal, LINK_LIMIT)?;
        let metrics_listener = settings
            .metrics
            .map(|address| listen(&mut reactor, address, CALLER_LIMIT))
            .transpose()?;
        let writer = Writer::start(store, reactor.waker(), logger.clone()).context(ThreadSnafu)?;
        let host = host::open(
            &settings,
            &folder,
            clock.now(),
            recovered,
            Arc::clone(&texts),
            spool,
        )?;
        texts.remove_unreferenced();
        info!(logger, "started"; "node" => &settings.node, "member" => folder.identity().replica.0,
            "memory" => %settings.memory, "founder" => folder.identity().founding.is_some(), "applied" => host.applied_index().0);
        Ok(Self {
            logger,
            clock,
            folder,
            reactor,
            internal_listener,
            metrics_listener,
            metrics: CoordinatorMetrics::new(),
            log_counts,
            sampler: RequestSampler::new(LogBudget::default()),
            protocol,
            host,
            writer,
            signals,
            seed_source,
            stopping_since: None,
            stopped: false,
            roles: HashMap::new(),
            dials: Dials::default(),
            peers: Peers::default(),
            directory: Directory::default(),
            calls: OutgoingCalls::new(call_protocols, settings.provider.as_ref()),
            site_clock: SiteClock::default(),
            waiting: HashMap::new(),
            copy_readers: Vec::new(),
            view_feed: ViewFeed::default(),
            told_coordinators: Vec::new(),
            heartbeats: HeartbeatRelay::default(),
            passed_on: HashMap::new(),
            next_tag: 0,
            planner: MembershipPlanner::default(),
            change_under_way: false,
            reported_shortage: None,
            silence_judge: SilenceJudge::default(),
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
            self.tell_view();
            self.drop_orders_without_lease();
            self.answer_copy_readers(now);
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
                WriteEvent::Persisted { token, took } => {
                    self.metrics.written(took);
                    self.inputs.push(HostInput::Persisted { token });
                }
                WriteEvent::Failed(source) => return Err(source).context(StorageSnafu),
            }
        }
        Ok(())
    }

    fn on_net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => {
                let role = if listener == self.internal_listener {
                    Role::Link(Link::default())
                } else if Some(listener) == self.metrics_listener {
                    Role::Metrics(ControlConnection::new(now))
                } else {
                    Role::Control(ControlConnection::new(now))
                };
                self.roles.insert(connection, role);
            }
            NetEvent::Connected(connection) => self.on_connected(connection),
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
            NetEvent::Broken(connection) | NetEvent::Refused(connection) => {
                self.on_ended(now, connection);
            }
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_received(now, &mut self.reactor, connection);
            return self.take_call_events(event);
        }
        match self.roles.get(&connection) {
            Some(Role::Control(_)) => self.on_control_input(now, connection),
            Some(Role::Metrics(_)) => self.on_metrics_input(connection),
            Some(Role::Link(_) | Role::Dialed(_)) => self.on_link_input(now, connection),
            None => {}
        }
    }

    fn on_ended(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_ended(&mut self.reactor, connection);
            return self.take_call_events(event);
        }
        self.reactor.close(connection);
        self.view_feed.leave(connection);
        match self.roles.remove(&connection) {
            Some(Role::Link(Link {
                gateway: Some(gateway),
                ..
            })) => self.on_gateway_ended(now, gateway, connection),
            Some(Role::Dialed(address)) => self.dials.ended(now, address),
            _ => {}
        }
        self.on_coordinator_ended(now, connection);
    }

    fn ask_group(&mut self, request: Request, waiting: Waiting) {
        let subject = request.is_rare().then(|| request.subject());
        let tag = self.tag(waiting, request.kind(), subject);
        self.inputs.push(HostInput::Request { tag, request });
    }

    fn tag(&mut self, waiting: Waiting, call: &'static str, subject: Option<String>) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        let pending = PendingCall {
            waiting,
            call,
            subject,
            since: self.clock.now(),
        };
        self.waiting.insert(tag, pending);
        tag
    }

    /// What is due by time: connections, signs of life, members, the planned stop.
    fn keep_house(&mut self, now: Instant) {
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            self.greet();
            self.tell_view_revision();
            self.tell_heard(now);
        }
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.dial_members(now);
        let events = self.calls.expire(now, &mut self.reactor);
        self.take_call_events(events);
        self.agree_on_time(now);
        if self.silence_judge.look(now) {
            for connection in self.directory.silent(now, GATEWAY_SILENCE) {
                self.on_ended(now, connection);
            }
        }
        self.close_idle_callers(now);
        self.give_up_passed_on(now);
        self.plan_members(now);
        self.report_shortage(now);
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
