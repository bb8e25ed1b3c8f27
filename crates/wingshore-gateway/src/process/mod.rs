//! One gateway process from start to end: the loop that owns all sockets.

mod group;
mod requests;

use crate::calls::Calls;
use crate::clients::{Client, Purpose};
use crate::coordinators::Coordinators;
use crate::crash_reports;
use crate::environment::Environment;
use crate::error::{GatewayError, NetSnafu};
use crate::exchange::Exchanges;
use crate::items::Items;
use crate::metrics::{GatewayMetrics, Readings};
use crate::protocol::IngressProtocol;
use crate::runtime::Runtime;
use crate::scoring::Scorings;
use crate::servers::Servers;
use crate::settings::GatewaySettings;
use crate::site::Site;
use crate::timers::{TimerKey, Timers};
use crate::upstream::{ConnectionEnd, LostSend, Task};
use crate::usage::UsageCounter;
use crate::view::View;
use crate::view_following::ViewFollowing;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_clock::Clock;
use wingshore_coordination::{GatewayId, GatewayStatus};
use wingshore_diagnostics::{LogBudget, LogCounts, RequestSampler};
use wingshore_net::http::{BodyStatus, HttpAnswer};
use wingshore_net::{ConnectionId, ListenerId, NetEvent, Reactor, SeedSource, Signals};
use wingshore_types::Instant;

/// Sent bytes may stay unacknowledged this long on connections of clients.
const CLIENT_LIMIT: Duration = Duration::from_secs(8);
/// Between signs of life to coordinators.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Between looks at what has become due.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for sockets.
const LONGEST_WAIT: Duration = Duration::from_millis(250);
/// After this many times the directory's time to live no client uses this gateway any more.
const TTL_FACTOR: u32 = 3;
/// Left before the end of a planned stop for the last answers to arrive.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Type of the text that monitoring reads.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A running gateway.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) id: GatewayId,
    pub(crate) environment: Environment,
    pub(crate) clients: HashMap<ConnectionId, Client>,
    pub(crate) calls: Calls,
    pub(crate) items: Items,
    pub(crate) exchanges: Exchanges,
    pub(crate) scorings: Scorings,
    pub(crate) usage: UsageCounter,
    following: ViewFollowing,
    pub(crate) split_counter: u64,
    pub(crate) stopping_since: Option<Instant>,
    pub(crate) clock: Clock,
    ready_listener: Option<ListenerId>,
    metrics_listener: Option<ListenerId>,
    log_counts: LogCounts,
    signals: Signals,
    seed_source: SeedSource,
    next_status: Instant,
    next_housekeeping: Instant,
}

impl Gateway {
    /// Listens.
    ///
    /// # Errors
    /// When an address cannot be used.
    pub fn start(
        settings: GatewaySettings,
        protocol: Box<dyn IngressProtocol>,
        signals: Signals,
        seed_source: SeedSource,
        logger: Logger,
        log_counts: LogCounts,
    ) -> Result<Self, GatewayError> {
        let mut reactor = Reactor::new().context(NetSnafu)?;
        let most = settings.most_connections;
        reactor
            .listen(settings.front, CLIENT_LIMIT, most)
            .context(NetSnafu)?;
        let ready_listener = settings
            .ready
            .map(|address| reactor.listen(address, CLIENT_LIMIT, most))
            .transpose()
            .context(NetSnafu)?;
        let metrics_listener = settings
            .metrics
            .map(|address| reactor.listen(address, CLIENT_LIMIT, most))
            .transpose()
            .context(NetSnafu)?;
        info!(logger, "started"; "node" => &settings.node, "front" => %settings.front);
        let runtime = Runtime {
            reactor,
            timers: Timers::default(),
            logger,
            metrics: GatewayMetrics::new(),
            sampler: RequestSampler::new(LogBudget::default()),
        };
        let site = Site {
            protocol,
            zone: settings.zone.clone(),
            view: View::default(),
            coordinators: Coordinators::default(),
        };
        let id = GatewayId(rand::random());
        let usage = UsageCounter::new(settings.usage_window);
        let calls = Calls::new(settings.policy.near_copies);
        Ok(Self {
            settings,
            id,
            environment: Environment {
                runtime,
                site,
                servers: Servers::default(),
            },
            clients: HashMap::new(),
            calls,
            items: Items::default(),
            exchanges: Exchanges::default(),
            scorings: Scorings::default(),
            usage,
            following: ViewFollowing::new(id.0),
            split_counter: rand::random(),
            stopping_since: None,
            clock: Clock::start(),
            ready_listener,
            metrics_listener,
            log_counts,
            signals,
            seed_source,
            next_status: Instant::ZERO,
            next_housekeeping: Instant::ZERO,
        })
    }

    /// Serves until a planned stop.
    ///
    /// # Errors
    /// When sockets cannot be waited for.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Vec::new();
        loop {
            let wait = self.time_to_wait();
            self.environment
                .runtime
                .reactor
                .poll(wait, &mut events)
                .context(NetSnafu)?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_net_event(now, event);
            }
            self.fire_timers(now);
            self.keep_house(now);
            if self.has_stopped(now) {
                info!(self.environment.runtime.logger, "stopped"; "node" => &self.settings.node);
                // What is queued leaves with the last turn.
                self.environment
                    .runtime
                    .reactor
                    .poll(Duration::ZERO, &mut events)
                    .context(NetSnafu)?;
                return Ok(());
            }
        }
    }

    fn time_to_wait(&self) -> Duration {
        let now = self.clock.now();
        let mut due = self.next_status.min(self.next_housekeeping);
        if let Some(timer) = self.environment.runtime.timers.next() {
            due = due.min(timer);
        }
        due.since(now).min(LONGEST_WAIT)
    }

    /// How this gateway stands.
    pub(crate) fn status(&self) -> GatewayStatus {
        let stopping = self.stopping_since.is_some();
        GatewayStatus {
            ready: self.environment.site.view.is_configured() && !stopping,
            takes_items: self.environment.site.view.is_configured() && !stopping,
            configuration: self.environment.site.view.version(),
        }
    }

    /// All metrics, for monitoring.
    pub(crate) fn metrics_answer(&self) -> HttpAnswer {
        let status = self.status();
        let readings = Readings {
            clients: self.clients.len(),
            connections: self.environment.runtime.reactor.connection_count(),
            items: self.items.count(),
            scorings: self.scorings.count(),
            scorings_queued: self.scorings.queued(),
            suspects: self.environment.site.view.suspect_count(),
            evidence: self.environment.servers.crashes.unreported().count(),
            coordinators: self.environment.site.coordinators.connected().len(),
            leader_known: self.environment.site.coordinators.leader().is_some(),
            ready: status.ready,
            configuration: status.configuration,
            log_lines_left_out: self.log_counts.left_out(),
        };
        HttpAnswer {
            status: 200,
            headers: vec![("Content-Type".to_owned(), METRICS_TYPE.to_owned())],
            body: self.environment.runtime.metrics.text(readings).into_bytes(),
        }
    }

    fn on_net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => {
                let purpose = if Some(listener) == self.ready_listener {
                    Purpose::Ready
                } else if Some(listener) == self.metrics_listener {
                    Purpose::Metrics
                } else {
                    Purpose::Front
                };
                self.clients.insert(connection, Client::new(now, purpose));
                let idle = self.environment.site.view.limits().idle_timeout;
                self.environment
                    .runtime
                    .timers
                    .arm(now + idle, TimerKey::Client(connection));
            }
            NetEvent::Connected(connection) => self.on_connected(now, connection),
            NetEvent::Received(connection) => self.on_received(now, connection),
            NetEvent::EndOfInput(connection) => self.on_end_of_input(now, connection),
            NetEvent::Broken(connection) => self.on_broken(now, connection),
            NetEvent::Refused(connection) => self.on_refused(now, connection),
        }
    }

    fn on_connected(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(address) = self.environment.site.coordinators.address(connection) {
            return self.on_link_up(now, connection, address);
        }
        let Some(upstream) = self.environment.servers.upstreams.get_mut(connection) else {
            return;
        };
        upstream.up = true;
        match upstream.task {
            Some(Task::Exchange(id)) => self.exchange_sent(now, id),
            Some(Task::Item(_)) => {}
            None => self
                .environment
                .servers
                .upstreams
                .keep_opened(now, connection),
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(address) = self.environment.site.coordinators.address(connection) {
            return self.on_link_input(now, connection, address);
        }
        if self.environment.servers.upstreams.owns(connection) {
            return self.on_upstream_input(now, connection);
        }
        self.on_client_input(now, connection);
    }

    fn on_upstream_input(&mut self, now: Instant, connection: ConnectionId) {
        let Some(upstream) = self.environment.servers.upstreams.get_mut(connection) else {
            return;
        };
        let Some(task) = upstream.task else {
            // Bytes that nobody asked for: whatever comes next cannot be trusted.
            self.environment
                .servers
                .upstreams
                .close(&mut self.environment.runtime.reactor, connection);
            return;
        };
        let Some(input) = self.environment.runtime.reactor.input(connection) else {
            return;
        };
        let status = upstream.reader.read(input);
        let clean = input.is_empty();
        match task {
            Task::Item(id) => {
                let environment = &mut self.environment;
                self.items.on_input(now, environment, id, connection);
            }
            Task::Exchange(id) => self.on_exchange_input(now, id, connection),
        }
        match status {
            Ok(BodyStatus::Partial) => {}
            Ok(BodyStatus::Whole) => self.upstream_answered(now, connection, task, clean),
            Err(_) => self.upstream_ended(now, connection, ConnectionEnd::BrokeOff),
        }
    }

    /// The answer on a connection is whole; `clean` when nothing came behind it.
    fn upstream_answered(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        task: Task,
        clean: bool,
    ) {
        let Some(upstream) = self.environment.servers.upstreams.get_mut(connection) else {
            return;
        };
        let instance = upstream.instance.clone();
        let reader = std::mem::replace(
            &mut upstream.reader,
            wingshore_net::http::AnswerReader::new(false),
        );
        let within_event = upstream
            .events
            .as_ref()
            .is_some_and(crate::event_stream::EventReader::is_within_event);
        let Some(answer) = reader.into_answer(clean) else {
            return;
        };
        if answer.reusable {
            self.environment
                .servers
                .upstreams
                .release(now, connection, &answer.head);
        } else {
            self.environment
                .servers
                .upstreams
                .close(&mut self.environment.runtime.reactor, connection);
        }
        match task {
            Task::Exchange(id) => self.exchange_answered(now, id, &instance, answer),
            Task::Item(id) => {
                let environment = &mut self.environment;
                let items = &mut self.items;
                let scoring = items.on_answer(now, environment, id, &answer.head, !within_event);
                if let Some(scoring) = scoring {
                    self.begin_scoring(now, scoring);
                }
            }
        }
    }

    fn on_end_of_input(&mut self, now: Instant, connection: ConnectionId) {
        if self
            .environment
            .site
            .coordinators
            .address(connection)
            .is_some()
        {
            return self.on_broken(now, connection);
        }
        if let Some(upstream) = self.environment.servers.upstreams.get_mut(connection) {
            let whole = upstream.task.is_some() && upstream.reader.is_whole_at_close();
            match upstream.task {
                Some(task) if whole => {
                    self.upstream_answered(now, connection, task, false);
                }
                _ => self.upstream_ended(now, connection, ConnectionEnd::BrokeOff),
            }
            return;
        }
        self.close_client(connection);
    }

    fn on_broken(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(address) = self.environment.site.coordinators.address(connection) {
            return self.on_link_ended(now, connection, address);
        }
        if let Some(upstream) = self.environment.servers.upstreams.get(connection) {
            let end = if upstream.up {
                ConnectionEnd::BrokeOff
            } else {
                ConnectionEnd::NeverUp
            };
            return self.upstream_ended(now, connection, end);
        }
        self.close_client(connection);
    }

    /// Nobody listens where a connection was to lead.
    fn on_refused(&mut self, now: Instant, connection: ConnectionId) {
        if self.environment.servers.upstreams.owns(connection) {
            return self.upstream_ended(now, connection, ConnectionEnd::Refused);
        }
        self.on_broken(now, connection);
    }

    /// A connection to a server ended without a whole answer.
    fn upstream_ended(&mut self, now: Instant, connection: ConnectionId, end: ConnectionEnd) {
        let Some(closed) = self
            .environment
            .servers
            .upstreams
            .close(&mut self.environment.runtime.reactor, connection)
        else {
            return;
        };
        if end == ConnectionEnd::Refused {
            crash_reports::server_ended(now, &mut self.environment, &closed.instance);
        }
        let lost = LostSend {
            instance: closed.instance,
            sent_at: closed.since,
            end,
        };
        match closed.task {
            Some(Task::Exchange(id)) => self.exchange_broken(now, id, &lost),
            Some(Task::Item(id)) => {
                let environment = &mut self.environment;
                self.items.on_connection_ended(now, environment, id, &lost);
            }
            None => crash_reports::probe(now, &mut self.environment, &lost.instance),
        }
    }

    fn fire_timers(&mut self, now: Instant) {
        while let Some(key) = self.environment.runtime.timers.take_due(now) {
            match key {
                TimerKey::Client(connection) => self.on_client_timer(now, connection),
                TimerKey::Exchange(id) => self.on_exchange_timer(now, id),
                TimerKey::Item(id) => self.items.on_timer(now, &mut self.environment, id),
                TimerKey::Call(id) => self.on_call_timer(now, id),
            }
        }
    }

    fn keep_house(&mut self, now: Instant) {
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.report_status();
            self.report_progress();
            self.items.upload_texts(&mut self.environment);
            self.report_usage();
        }
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.dial_coordinators(now);
        self.follow_view(now);
        let view = &self.environment.site.view;
        self.environment.servers.upstreams.close_idle(
            now,
            &mut self.environment.runtime.reactor,
            |instance| view.knows(instance),
        );
        self.environment
            .servers
            .balancer
            .retain(|instance| view.knows(instance));
        self.environment.servers.crashes.expire(now);
        self.start_scorings(now);
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
                info!(self.environment.runtime.logger, "reloaded"; "seeds" => ?seeds);
                self.settings.seeds = seeds;
            }
            Err(reason) => {
                warn!(self.environment.runtime.logger, "not reloaded"; "reason" => reason)
            }
        }
    }

    fn begin_stop(&mut self, now: Instant) {
        if self.stopping_since.is_some() || !self.signals.is_stopping() {
            return;
        }
        info!(self.environment.runtime.logger, "planned stop"; "node" => &self.settings.node);
        self.stopping_since = Some(now);
        self.report_status();
        self.items.return_all(now, &mut self.environment);
        self.hand_scorings_back(now);
    }

    /// Whether a planned stop is over: nobody waits for an answer, and no client can have an
    /// address of this gateway that it was given before.
    fn has_stopped(&mut self, now: Instant) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let stopped_for = now.since(since);
        if stopped_for >= self.settings.stop_limit {
            return true;
        }
        let unused_after = self.settings.directory_ttl * TTL_FACTOR;
        let is_late = stopped_for + STOP_MARGIN >= self.settings.stop_limit;
        if stopped_for < unused_after && !is_late {
            return false;
        }
        let idle: Vec<ConnectionId> = self
            .clients
            .iter()
            .filter(|(_, client)| client.is_idle())
            .map(|(connection, _)| *connection)
            .collect();
        for connection in idle {
            self.close_client(connection);
        }
        self.clients.is_empty() && self.items.count() == 0 && self.scorings.count() == 0
    }
}
