//! The event loop of a coordinator process, which owns its sockets and the host of its consensus
//! group.
//!
//! Each iteration handles socket events and completed writes, runs the timers that are due, steps
//! the group once with all collected inputs, carries out the outputs of that step, and sends
//! changes of the view to gateways. The parts of [`Coordinator`] keep their own state; the modules
//! here connect them to sockets and to the group.

mod callers;
mod connections;
mod coordinators;
mod copies;
mod copy_readers;
mod disk;
mod duties;
mod formats;
mod gateway_lists;
mod gateways;
mod group;
mod heartbeats;
mod host;
mod housekeeping;
mod links;
mod listeners;
mod member_changes;
mod members;
mod pending;
mod roles;
mod schedule;
mod shedding;
mod start;
mod views;

use self::copy_readers::CopyReader;
use self::listeners::{LINK_UNACKNOWLEDGED_LIMIT, Listeners};
use self::member_changes::MemberChanges;
use self::pending::{PendingCalls, ReplyTarget};
use self::roles::{Link, Role};
use self::schedule::{PlannedStop, Schedule};
use crate::dials::Dials;
use crate::directory::Directory;
use crate::error::{CoordinatorError, NetSnafu, StorageSnafu};
use crate::forwarded_heartbeats::ForwardedHeartbeats;
use crate::gateway_feed::GatewayFeed;
use crate::heartbeats::HeartbeatRelay;
use crate::metrics::CoordinatorMetrics;
use crate::outgoing_calls::OutgoingCalls;
use crate::peers::Peers;
use crate::protocol::ControlProtocol;
use crate::sent_states::SentStates;
use crate::settings::CoordinatorSettings;
use crate::view_feed::ViewFeed;
use crate::writer::{WriteEvent, Writer};
use slog::{Logger, info};
use snafu::ResultExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_clock::Clock;
use wingshore_coordination::{CoordinationLeader, RefusedPeers, SiteClock};
use wingshore_diagnostics::{LogCounts, RequestSampler};
use wingshore_group::{Host, HostInput};
use wingshore_net::{ClosingConnections, ConnectionId, Reactor, SeedSource, Signals};
use wingshore_storage::DataFolder;
use wingshore_types::ReplicaId;

/// Longest wait for socket events in one iteration of the loop. A timer that is due ends it
/// earlier.
const MAX_POLL_WAIT: Duration = Duration::from_millis(250);

/// A running coordinator.
pub struct Coordinator {
    settings: CoordinatorSettings,
    logger: Logger,
    clock: Clock,
    folder: DataFolder,
    reactor: Reactor,
    listeners: Listeners,
    metrics: CoordinatorMetrics,
    log_counts: LogCounts,
    sampler: RequestSampler,
    protocol: Box<dyn ControlProtocol>,
    /// This process's replica of the group: the log, the state and, on the leader, its decisions.
    host: Host<CoordinationLeader>,
    /// Writes the host's log to disk on a separate thread.
    writer: Writer,
    signals: Signals,
    /// Reloads the seed addresses from the settings.
    seed_source: SeedSource,
    stop: PlannedStop,
    /// Role of each connection, except those of calls to engines and to the provider (see `calls`).
    roles: HashMap<ConnectionId, Role>,
    /// Connections of callers that close once their last answer was sent.
    closing: ClosingConnections,
    /// Outgoing connections to other coordinators.
    dials: Dials<ConnectionId>,
    peers: Peers,
    /// Peers that were logged as refused, since they share no message format with this build.
    refused_peers: RefusedPeers,
    /// Gateways that are connected to this coordinator.
    directory: Directory,
    /// Outgoing calls to engines and to the provider.
    calls: OutgoingCalls,
    /// The wall-clock time that the coordinators agree on.
    site_clock: SiteClock<ReplicaId>,
    /// Requests to the group that are not answered yet, with the recipients of their answers.
    pending: PendingCalls,
    /// Gateways that wait for further results in this member's copy of the state.
    copy_readers: Vec<CopyReader>,
    /// How much of the view each subscribed gateway has received.
    view_feed: ViewFeed<ConnectionId>,
    /// Gateways that follow the list of ready gateways, and the list that they were sent.
    gateway_feed: GatewayFeed<ConnectionId>,
    /// The coordinator addresses that were last sent to gateways.
    announced_coordinators: Vec<SocketAddr>,
    /// Servers whose heartbeats this coordinator acknowledges without asking the leader.
    heartbeats: HeartbeatRelay,
    /// Heartbeats that were forwarded to the leader and are not answered yet.
    forwarded: ForwardedHeartbeats<ConnectionId>,
    members: MemberChanges,
    sent_states: SentStates,
    schedule: Schedule,
    /// Inputs for the host's next step.
    inputs: Vec<HostInput<CoordinationLeader>>,
}

impl Coordinator {
    /// Runs the event loop until a planned stop is complete.
    ///
    /// # Errors
    /// When the group cannot continue: a write failed, or storage is damaged.
    pub fn run(mut self) -> Result<(), CoordinatorError> {
        let mut events = Vec::new();
        let mut outputs = Vec::new();
        while !self.stop.is_done {
            let timeout = self.poll_timeout();
            self.reactor.poll(timeout, &mut events).context(NetSnafu)?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_net_event(now, event);
            }
            self.shed_callers(now);
            self.take_write_events()?;
            self.run_housekeeping(now);
            if now >= self.host.next_tick() {
                self.inputs.push(HostInput::Tick);
            }
            self.step_host(now, &mut outputs)?;
            self.send_view();
            self.drop_orders_without_lease();
            self.answer_copy_readers(now);
        }
        info!(self.logger, "stopped"; "node" => &self.settings.node);
        Ok(())
    }

    /// Returns the time until the next timer is due, at most [`MAX_POLL_WAIT`]; zero when inputs
    /// wait for the host.
    fn poll_timeout(&self) -> Duration {
        if !self.inputs.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let due = self.host.next_tick().min(self.schedule.next_due());
        due.since(now).min(MAX_POLL_WAIT)
    }

    /// Reports completed writes to the host.
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
}
