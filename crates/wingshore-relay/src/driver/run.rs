//! The relay's main loop.

use super::admin::AdminServer;
use super::clock::Clock;
use super::frames::{RelayFrames, Watchers};
use super::metrics::Metrics;
use super::upstream;
use crate::state::{RelayInput, RelayOutput, RelayState, RelayTiming};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_client::GroupClient;
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
const STOP_POLL: Duration = Duration::from_millis(50);

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
    #[snafu(display("cannot start the upstream thread: {source}"))]
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
    let metrics = Arc::new(Metrics::new());
    let (events, incoming) = bounded(MAX_QUEUED_EVENTS);
    let admin = match settings.admin {
        Some(address) => {
            let server = AdminServer::start(address, Arc::clone(&metrics));
            Some(server.context(AdminSnafu { address })?)
        }
        None => None,
    };
    let mut server = listen(&settings, &diagnostics, &events)?;
    let client = GroupClient::new(&settings.site, settings.upstream.clone(), rand::random());
    let (watches, sent) = unbounded();
    let logger = diagnostics.logger().clone();
    let upstream = upstream::spawn(client.clone(), sent, events, logger).context(ThreadSnafu)?;
    info!(diagnostics.logger(), "relay started"; "address" => %server.local_address());

    let clock = Clock::start();
    let mut relay = Relay {
        clock,
        state: RelayState::new(clock.now(), RelayTiming::default()),
        watchers: Watchers::default(),
        watches,
        metrics,
    };
    relay.serve(&incoming, &stop);

    info!(diagnostics.logger(), "relay stopping");
    relay.send_all_elsewhere();
    // Threads that wait to hand an event over must not wait for a loop that has ended.
    drop(incoming);
    server.stop();
    drop(relay);
    client.close();
    if upstream.join().is_err() {
        warn!(diagnostics.logger(), "the upstream thread panicked");
    }
    drop(admin);
    Ok(())
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
    watchers: Watchers,
    watches: Sender<WatchRequest>,
    metrics: Arc<Metrics>,
}

impl Relay {
    fn serve(&mut self, incoming: &Receiver<Event>, stop: &StopSignal) {
        while !stop.is_stopping() {
            let patience = self.patience();
            match incoming.recv_timeout(patience) {
                Ok(event) => self.on_event(event),
                Err(RecvTimeoutError::Timeout) => self.step(RelayInput::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.metrics.show(self.state.summary(self.clock.now()));
        }
    }

    fn patience(&self) -> Duration {
        let next = self.state.next_tick();
        next.map_or(STOP_POLL, |next| {
            next.since(self.clock.now()).min(STOP_POLL)
        })
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Watch {
                connection,
                id,
                request,
            } => {
                let tag = self.watchers.add(connection, id);
                self.step(RelayInput::Watch { tag, request });
            }
            Event::ConnectionClosed(connection) => {
                for tag in self.watchers.remove_connection(connection) {
                    self.step(RelayInput::WatchGone(tag));
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
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: RelayOutput) {
        match output {
            RelayOutput::Answer { tag, update, lease } => {
                self.metrics.answers.inc();
                self.watchers.answer(tag, update, lease);
            }
            RelayOutput::Unavailable(tag) => {
                self.metrics.sent_elsewhere.inc();
                self.watchers.send_elsewhere(tag);
            }
            RelayOutput::SendUpstream(request) => {
                self.metrics.upstream_watches.inc();
                // The upstream thread ends only after this loop.
                let _ = self.watches.send(request);
            }
        }
    }

    fn send_all_elsewhere(&mut self) {
        for tag in self.watchers.tags() {
            self.carry_out(RelayOutput::Unavailable(tag));
        }
    }
}
