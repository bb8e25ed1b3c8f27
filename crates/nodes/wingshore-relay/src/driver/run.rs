//! The relay's main loop.

use super::admin::AdminServer;
use super::frames::{PendingWatches, RelayFrameHandler};
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

/// Most simultaneous connections of nodes and downstream relays.
const MAX_CONNECTIONS: u32 = 4096;

/// Capacity of the main loop's event queue; when it is full, connections wait.
const MAX_QUEUED_EVENTS: usize = 16_384;

/// Longest interval between two checks of the stop signal.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A reason why a relay cannot start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum RelayError {
    /// The listen address for frames cannot be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: BindError,
    },
    /// The admin address cannot be bound.
    #[snafu(display("cannot listen on the admin address {address}: {source}"))]
    Admin {
        /// Admin address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread of the relay: {source}"))]
    Thread {
        /// Cause.
        source: io::Error,
    },
}

/// An input of the main loop.
#[derive(Debug)]
pub(super) enum Event {
    /// A watch was received.
    Watch {
        connection: ConnectionHandle,
        id: RequestId,
        request: WatchRequest,
    },
    /// A connection was closed.
    ConnectionClosed(ConnectionId),
    /// Upstream answered the watch.
    UpstreamAnswered {
        update: ConfigurationUpdate,
        lease: Duration,
    },
    /// Upstream did not answer the watch.
    UpstreamFailed,
}

/// Runs a relay until `stop` is signalled, then redirects all watchers and joins all threads.
///
/// # Errors
/// When the relay cannot start.
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

/// A relay running on its own threads. Dropping it stops it.
pub struct RunningRelay {
    address: SocketAddr,
    stop: StopSignal,
    thread: Option<JoinHandle<()>>,
}

impl RunningRelay {
    /// Starts a relay.
    ///
    /// # Errors
    /// When an address cannot be bound or a thread cannot be started.
    pub fn start(settings: RelaySettings, diagnostics: Diagnostics) -> Result<Self, RelayError> {
        let metrics = Arc::new(Metrics::new());
        let (events, incoming) = bounded(MAX_QUEUED_EVENTS);
        let admin = start_admin(settings.admin, &metrics)?;
        let server = listen(&settings, &diagnostics, &events)?;
        let address = server.local_address();
        let client = GroupClient::new(&settings.site, settings.upstream, rand::random());
        let (watches, watch_requests) = unbounded();
        let logger = diagnostics.logger().clone();
        let upstream =
            upstream::spawn(client.clone(), watch_requests, events, logger).context(ThreadSnafu)?;
        let resources = RelayResources {
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
            .spawn(move || serve(relay, incoming, resources, &stopping))
            .context(ThreadSnafu)?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the frame server is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Redirects all watchers to other relays and joins all threads.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.stop.stop();
        // The panic hook has already logged a panic; nothing is left to stop.
        let _ = thread.join();
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Components that are stopped together with the relay.
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
    mut resources: RelayResources,
    stop: &StopSignal,
) {
    let logger = resources.diagnostics.logger();
    info!(logger, "relay started"; "address" => %resources.server.local_address());
    relay.serve(&incoming, stop);
    info!(logger, "relay stopping");
    relay.redirect_all();
    // Unblocks threads that wait to queue an event, as the main loop has ended.
    drop(incoming);
    resources.server.stop();
    drop(relay);
    resources.client.close();
    if resources.upstream.join().is_err() {
        warn!(logger, "the upstream thread panicked");
    }
    drop(resources.admin);
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
    let handler = RelayFrameHandler {
        events: events.clone(),
        diagnostics: diagnostics.clone(),
    };
    Server::bind(settings.listen, options, Arc::new(handler)).context(ListenSnafu)
}

/// The relay's state and the destinations of its outputs.
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
