//! The relay's main loop.

use super::admin::AdminServer;
use super::frames::{PendingWatches, RelayFrames};
use super::metrics::Metrics;
use super::upstream;
use crate::state::{RelayInput, RelayOutput, RelayState, RelayTiming};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_client::GroupClient;
use wingshore_clock::Clock;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_settings::RelaySettings;
use wingshore_transport::{BindError, ConnectionHandle, ConnectionId, Server, ServerOptions};
use wingshore_types::RequestId;
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};

/// Most connections of nodes and relays further down.
const MAX_CONNECTIONS: u32 = 4096;

/// Most events that wait for the main loop; connections wait beyond that.
const MAX_QUEUED_EVENTS: usize = 16_384;

/// Longest time between two looks at the stop signal.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a relay could not start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum RelayError {
    /// The address for frames cannot be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: BindError,
    },
    /// The address for operators cannot be listened on.
    #[snafu(display("cannot serve operators on {address}: {source}"))]
    Admin {
        /// Where.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread of the relay: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
}

/// What the main loop reacts to.
#[derive(Debug)]
pub(super) enum Event {
    /// A watch came.
    Watch {
        connection: ConnectionHandle,
        id: RequestId,
        request: WatchRequest,
    },
    /// A connection is closed.
    ConnectionClosed(ConnectionId),
    /// Upstream answered.
    UpstreamAnswered {
        update: ConfigurationUpdate,
        lease: Duration,
    },
    /// Upstream did not answer.
    UpstreamFailed,
}

/// Runs a relay until `stop` is given; then watchers are sent elsewhere and all threads joined.
///
/// # Errors
/// When it cannot start.
pub fn run(
    settings: RelaySettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<(), RelayError> {
    let mut relay = RunningRelay::start(settings, diagnostics)?;
    stop.wait();
    relay.stop();
    Ok(())
}

/// A relay that runs on threads of its own. Dropping it stops it.
pub struct RunningRelay {
    address: SocketAddr,
    stop: StopSignal,
    thread: Option<JoinHandle<()>>,
}

impl RunningRelay {
    /// Starts a relay.
    ///
    /// # Errors
    /// When an address cannot be listened on, or a thread not be started.
    pub fn start(settings: RelaySettings, diagnostics: Diagnostics) -> Result<Self, RelayError> {
        let metrics = Arc::new(Metrics::new());
        let (events, incoming) = bounded(MAX_QUEUED_EVENTS);
        let admin = start_admin(settings.admin, &metrics)?;
        let server = listen(&settings, &diagnostics, &events)?;
        let address = server.local_address();
        let client = GroupClient::new(&settings.site, settings.upstream, rand::random());
        let (watches, sent) = unbounded();
        let logger = diagnostics.logger().clone();
        let upstream =
            upstream::spawn(client.clone(), sent, events, logger).context(ThreadSnafu)?;
        let parts = RelayResources {
            server,
            admin,
            client,
            upstream,
            diagnostics,
        };
        let relay = Relay::new(watches, metrics);
        let stop = StopSignal::new();
        let stopping = stop.clone();
        let thread = thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || serve(relay, incoming, parts, &stopping))
            .context(ThreadSnafu)?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Where it listens for frames.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sends all watchers elsewhere and waits for all threads.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.stop.stop();
        // A panic was written out by the panic hook; nothing is left to stop.
        let _ = thread.join();
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What has to be stopped with a relay.
struct RelayResources {
    server: Server,
    admin: Option<AdminServer>,
    client: GroupClient,
    upstream: JoinHandle<()>,
    diagnostics: Diagnostics,
}

fn serve(
    mut relay: Relay,
    incoming: Receiver<Event>,
    mut parts: RelayResources,
    stop: &StopSignal,
) {
    let logger = parts.diagnostics.logger();
    info!(logger, "relay started"; "address" => %parts.server.local_address());
    relay.serve(&incoming, stop);
    info!(logger, "relay stopping");
    relay.redirect_all();
    // Threads that wait to hand an event over must not wait for a loop that has ended.
    drop(incoming);
    parts.server.stop();
    drop(relay);
    parts.client.close();
    if parts.upstream.join().is_err() {
        warn!(logger, "the upstream thread panicked");
    }
    drop(parts.admin);
}

fn start_admin(
    address: Option<SocketAddr>,
    metrics: &Arc<Metrics>,
) -> Result<Option<AdminServer>, RelayError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let server = AdminServer::start(address, Arc::clone(metrics));
    server.context(AdminSnafu { address }).map(Some)
}

fn listen(
    settings: &RelaySettings,
    diagnostics: &Diagnostics,
    events: &Sender<Event>,
) -> Result<Server, RelayError> {
    let options = ServerOptions {
        site: settings.site.clone(),
        replica: None,
        max_connections: MAX_CONNECTIONS,
    };
    let handler = RelayFrames {
        events: events.clone(),
        diagnostics: diagnostics.clone(),
    };
    Server::bind(settings.listen, options, Arc::new(handler)).context(ListenSnafu)
}

/// The state, and where its outputs go.
struct Relay {
    clock: Clock,
    state: RelayState,
    pending_watches: PendingWatches,
    watches: Sender<WatchRequest>,
    metrics: Arc<Metrics>,
}

impl Relay {
    fn new(watches: Sender<WatchRequest>, metrics: Arc<Metrics>) -> Self {
        let clock = Clock::start();
        Self {
            clock,
            state: RelayState::new(clock.now(), RelayTiming::default()),
            pending_watches: PendingWatches::default(),
            watches,
            metrics,
        }
    }

    fn serve(&mut self, incoming: &Receiver<Event>, stop: &StopSignal) {
        while !stop.is_stopping() {
            let wait_time = self.wait_time();
            match incoming.recv_timeout(wait_time) {
                Ok(event) => self.on_event(event),
                Err(RecvTimeoutError::Timeout) => self.step(RelayInput::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.metrics
                .set_summary(self.state.summary(self.clock.now()));
        }
    }

    fn wait_time(&self) -> Duration {
        let next = self.state.next_tick();
        next.map_or(STOP_POLL_INTERVAL, |next| {
            next.since(self.clock.now()).min(STOP_POLL_INTERVAL)
        })
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Watch {
                connection,
                id,
                request,
            } => {
                let tag = self.pending_watches.add(connection, id);
                self.step(RelayInput::Watch { tag, request });
            }
            Event::ConnectionClosed(connection) => {
                for tag in self.pending_watches.remove_connection(connection) {
                    self.step(RelayInput::WatchClosed(tag));
                }
            }
            Event::UpstreamAnswered { update, lease } => {
                self.step(RelayInput::UpstreamAnswered { update, lease });
            }
            Event::UpstreamFailed => {
                self.metrics.upstream_failures.inc();
                self.step(RelayInput::UpstreamFailed);
            }
        }
    }

    fn step(&mut self, input: RelayInput) {
        let mut outputs = Vec::new();
        self.state.step(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.apply_output(output);
        }
    }

    fn apply_output(&mut self, output: RelayOutput) {
        match output {
            RelayOutput::Answer { tag, update, lease } => {
                self.metrics.answers.inc();
                self.pending_watches.answer(tag, update, lease);
            }
            RelayOutput::Unavailable(tag) => {
                self.metrics.redirects.inc();
                self.pending_watches.redirect(tag);
            }
            RelayOutput::SendUpstream(request) => {
                self.metrics.upstream_watches.inc();
                // The upstream thread ends only after this loop.
                let _ = self.watches.send(request);
            }
        }
    }

    fn redirect_all(&mut self) {
        for tag in self.pending_watches.tags() {
            self.apply_output(RelayOutput::Unavailable(tag));
        }
    }
}
