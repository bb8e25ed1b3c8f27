//! One gateway process: the loop that owns all sockets, and the interaction of the parts.
//!
//! Each part owns its state and returns the consequences of an event; the modules in here pass them
//! on to other parts: [`network`] for connections, [`group`] for messages of coordinators,
//! [`directory`] for the list of ready gateways, [`requests`] for clients' requests, [`shedding`] for
//! clients that use too much, [`work`] for results from servers.

mod directory;
mod group;
mod listeners;
mod network;
mod refusals;
mod requests;
mod shedding;
mod work;

use crate::attempt_timeouts::StopProgress;
use crate::calls::Calls;
use crate::clients::Clients;
use crate::coordinators::Coordinators;
use crate::environment::Environment;
use crate::error::{GatewayError, HistogramSnafu, NetSnafu};
use crate::forward::Exchanges;
use crate::gateway_directory::GatewayDirectory;
use crate::items::Items;
use crate::metrics::{GatewayMetrics, Readings};
use crate::protocol::IngressProtocol;
use crate::runtime::Runtime;
use crate::scoring::Scorings;
use crate::second_attempt_services::SecondAttempts;
use crate::servers::Servers;
use crate::service_latency::ServiceLatencies;
use crate::settings::GatewaySettings;
use crate::site::Site;
use crate::start_estimate::StartEstimate;
use crate::timers::Timers;
use crate::usage::UsageCounter;
use crate::view::View;
use crate::view_following::ViewFollower;
use listeners::Listeners;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::time::Duration;
use wingshore_clock::Clock;
use wingshore_coordination::{GatewayId, GatewayStatus, ListedGateway};
use wingshore_diagnostics::{LogBudget, LogCounts, RequestSampler};
use wingshore_net::{NetEvent, Reactor, SeedSource, Signals};
use wingshore_types::Instant;

/// Interval between status reports to coordinators; a leader keeps the items of a silent gateway
/// for at least 0.9 s.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for socket events; longer than the housekeeping interval.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Number of directory TTLs after which no client uses this gateway any more.
const DIRECTORY_TTLS_UNTIL_UNUSED: u32 = 3;
/// Time reserved at the end of a planned stop for the last answers to be delivered.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time reserved at the end of a planned stop to deliver the gateway's own answers to calls that
/// the group has not answered.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(200);

/// A running gateway.
pub struct Gateway {
    settings: GatewaySettings,
    id: GatewayId,
    environment: Environment,
    view_follower: ViewFollower,
    start_estimate: StartEstimate,
    directory: GatewayDirectory,
    /// Whether the list of the directory was in use at the last check.
    is_directory_fresh: bool,
    clients: Clients,
    calls: Calls,
    exchanges: Exchanges,
    items: Items,
    scorings: Scorings,
    listeners: Listeners,
    clock: Clock,
    log_counts: LogCounts,
    signals: Signals,
    seed_source: SeedSource,
    stopping_since: Option<Instant>,
    /// Since when no leader is known, as of the last housekeeping.
    leader_lost_at: Option<Instant>,
    next_status: Instant,
    next_housekeeping: Instant,
}

impl Gateway {
    /// Creates a gateway and opens its listening sockets.
    ///
    /// # Errors
    /// Fails if an address cannot be used.
    pub fn start(
        settings: GatewaySettings,
        protocol: Box<dyn IngressProtocol>,
        signals: Signals,
        seed_source: SeedSource,
        logger: Logger,
        log_counts: LogCounts,
    ) -> Result<Self, GatewayError> {
        let mut reactor = Reactor::new().context(NetSnafu)?;
        let listeners = Listeners::open(&mut reactor, &settings)?;
        info!(logger, "started"; "node" => &settings.node, "front" => %settings.front);
        let id = GatewayId(rand::random());
        let latencies = ServiceLatencies::new().context(HistogramSnafu)?;
        let servers = Servers::new(SecondAttempts::new(
            settings.policy.second_attempts,
            latencies,
        ));
        Ok(Self {
            environment: new_environment(&settings, servers, reactor, protocol, logger),
            view_follower: ViewFollower::new(id.0),
            start_estimate: StartEstimate::new(id.0),
            directory: GatewayDirectory::new(own_entry(&settings, id)),
            is_directory_fresh: false,
            clients: Clients::default(),
            calls: Calls::new(settings.policy.near_copies),
            exchanges: Exchanges::new(rand::random()),
            items: Items::default(),
            scorings: Scorings::new(settings.policy.scoring_limit),
            id,
            settings,
            listeners,
            clock: Clock::start(),
            log_counts,
            signals,
            seed_source,
            stopping_since: None,
            leader_lost_at: None,
            next_status: Instant::ZERO,
            next_housekeeping: Instant::ZERO,
        })
    }

    /// Serves until a planned stop is complete.
    ///
    /// # Errors
    /// Fails if waiting for socket events fails.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Vec::new();
        loop {
            let wait = self.poll_timeout();
            self.run_turn(wait, &mut events)?;
            if self.is_unused() && !self.is_stop_time_up() {
                // The wait may have ended long before the turn: requests may have arrived since.
                self.run_turn(Duration::ZERO, &mut events)?;
            }
            if self.has_stopped() {
                let runtime = &mut self.environment.runtime;
                info!(runtime.logger, "stopped"; "node" => &self.settings.node);
                // Sends the queued output in a last iteration.
                let reactor = &mut runtime.reactor;
                reactor
                    .poll(Duration::ZERO, &mut events)
                    .context(NetSnafu)?;
                return Ok(());
            }
        }
    }

    /// Waits for events for at most `wait`, and handles them and all that is due.
    fn run_turn(&mut self, wait: Duration, events: &mut Vec<NetEvent>) -> Result<(), GatewayError> {
        let reactor = &mut self.environment.runtime.reactor;
        reactor.poll(wait, events).context(NetSnafu)?;
        self.environment.runtime.now = self.clock.now();
        for event in events.drain(..) {
            self.on_net_event(event);
        }
        self.fire_timers();
        self.shed_callers();
        self.run_housekeeping();
        Ok(())
    }

    fn poll_timeout(&self) -> Duration {
        let now = self.clock.now();
        let mut due = self.next_status.min(self.next_housekeeping);
        if let Some(timer) = self.environment.runtime.timers.next() {
            due = due.min(timer);
        }
        due.since(now).min(MAX_WAIT)
    }

    /// Returns the status of this gateway.
    fn status(&self) -> GatewayStatus {
        let view = &self.environment.site.view;
        let is_serving = view.is_configured() && !self.is_stopping();
        GatewayStatus {
            ready: is_serving,
            takes_items: is_serving,
            configuration: view.version(),
        }
    }

    /// Returns the values of the gauges.
    fn readings(&self) -> Readings {
        let status = self.status();
        let Environment {
            runtime,
            site,
            servers,
            ..
        } = &self.environment;
        Readings {
            clients: self.clients.count(),
            connections: runtime.reactor.connection_count(),
            items: self.items.count(),
            scorings: self.scorings.count(),
            scorings_queued: self.scorings.queued(),
            suspects: site.view.suspect_count(),
            trials: servers.trials.running_count(),
            evidence: servers.crashes.unannounced().count(),
            coordinators: site.coordinators.connected().len(),
            leader_known: site.coordinators.leader().is_some(),
            ready: status.ready,
            directory_age: self.directory.age(runtime.now),
            directory_listed: self.directory.listed(),
            configuration: status.configuration,
            log_lines_left_out: self.log_counts.left_out(),
        }
    }

    fn run_housekeeping(&mut self) {
        let now = self.environment.runtime.now;
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
        self.dial_coordinators();
        self.follow_view();
        self.log_directory_freshness();
        self.environment.forget_old_servers();
        self.close_stalled_clients();
        self.record_leader();
        self.queue_leaderless_scorings();
        self.start_scorings();
        self.reload_seeds();
        self.begin_stop();
    }

    /// Reads the seeds again after a reload signal. If they cannot be read, the previous seeds stay
    /// in force.
    fn reload_seeds(&mut self) {
        if !self.signals.take_reload() {
            return;
        }
        let logger = &self.environment.runtime.logger;
        match (self.seed_source)() {
            Ok(seeds) => {
                info!(logger, "reloaded"; "seeds" => ?seeds);
                self.settings.seeds = seeds;
            }
            Err(reason) => warn!(logger, "settings not reloaded"; "reason" => reason),
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    fn begin_stop(&mut self) {
        let now = self.environment.runtime.now;
        if self.is_stopping() || !self.signals.is_stopping() {
            return;
        }
        let logger = &self.environment.runtime.logger;
        info!(logger, "planned stop"; "node" => &self.settings.node);
        self.stopping_since = Some(now);
        let runtime = &mut self.environment.runtime;
        let stop_at = now + self.settings.stop_limit;
        self.calls.stop_by(runtime, stop_at - LAST_ANSWERS_MARGIN);
        // A server with a running request may answer until the end of the stop.
        self.exchanges.stop_by(runtime, stop_at);
        self.report_status();
        self.items.interrupt_all(&mut self.environment);
        self.scorings.end_queued(&mut self.environment);
    }

    /// Returns the progress of the planned stop, if it has begun.
    fn stop_progress(&self) -> Option<StopProgress> {
        let elapsed = self.environment.runtime.now.since(self.stopping_since?);
        let left = self.settings.stop_limit.saturating_sub(elapsed);
        Some(StopProgress { elapsed, left })
    }

    /// Returns how long an answer may be held without being cut off by the planned stop.
    fn max_answer_hold(&self) -> Duration {
        let left = self.stop_progress().map(|stop| stop.left);
        left.map_or(Duration::MAX, |left| left.saturating_sub(STOP_MARGIN))
    }

    /// Returns whether a planned stop has come so far that no client can still have this gateway's
    /// address from the directory, or nearly at its end.
    fn is_unused(&self) -> bool {
        let unused_after = self.settings.directory_ttl * DIRECTORY_TTLS_UNTIL_UNUSED;
        self.stop_progress()
            .is_some_and(|stop| stop.elapsed >= unused_after || stop.left <= STOP_MARGIN)
    }

    /// Returns whether the time of a planned stop is up.
    fn is_stop_time_up(&self) -> bool {
        self.stop_progress().is_some_and(|stop| stop.left.is_zero())
    }

    /// Returns whether a planned stop is complete: its time is up, or this gateway is not used any
    /// more and no client waits for an answer or the rest of one.
    fn has_stopped(&mut self) -> bool {
        if self.is_stop_time_up() {
            return true;
        }
        if !self.is_unused() {
            return false;
        }
        let runtime = &self.environment.runtime;
        for connection in self.clients.idle(runtime.now, &runtime.reactor) {
            self.close_client(connection);
        }
        let has_clients =
            self.clients.count() > 0 || self.clients.has_unsent(&self.environment.runtime.reactor);
        !has_clients && self.items.count() == 0 && self.scorings.count() == 0
    }
}

/// Returns this gateway as other gateways list it.
fn own_entry(settings: &GatewaySettings, id: GatewayId) -> ListedGateway {
    ListedGateway {
        gateway: id,
        front: settings.front,
        zone: settings.zone.clone(),
    }
}

/// Creates the state that the parts of a gateway share.
fn new_environment(
    settings: &GatewaySettings,
    servers: Servers,
    reactor: Reactor,
    protocol: Box<dyn IngressProtocol>,
    logger: Logger,
) -> Environment {
    Environment {
        runtime: Runtime {
            now: Instant::ZERO,
            reactor,
            timers: Timers::default(),
            logger,
            metrics: GatewayMetrics::new(),
            sampler: RequestSampler::new(LogBudget::default()),
        },
        site: Site {
            protocol,
            zone: settings.zone.clone(),
            view: View::default(),
            coordinators: Coordinators::default(),
        },
        servers,
        usage: UsageCounter::new(settings.usage_window),
    }
}
