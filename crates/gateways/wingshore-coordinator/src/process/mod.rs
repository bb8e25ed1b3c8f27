//! One coordinator process from start to end: the loop that owns sockets and the group's host.
//!
//! Each turn takes what sockets and the disk bring, does what is due by time, steps the group once with
//! all inputs, carries out what it wants, then sends what has changed. The parts of [`Coordinator`] keep
//! their own state; the modules here wire them to sockets and to the group.

mod callers;
mod connections;
mod coordinators;
mod copies;
mod copy_readers;
mod disk;
mod duties;
mod formats;
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
mod start;
mod views;

use self::copy_readers::CopyReader;
use self::listeners::{LINK_LIMIT, Listeners};
use self::member_changes::MemberChanges;
use self::pending::{PendingCalls, Waiting};
use self::roles::{Link, Role};
use self::schedule::{PlannedStop, Schedule};
use crate::dials::Dials;
use crate::directory::Directory;
use crate::error::{CoordinatorError, NetSnafu, StorageSnafu};
use crate::forwarded_heartbeats::ForwardedHeartbeats;
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
use wingshore_net::{ConnectionId, Reactor, SeedSource, Signals};
use wingshore_storage::DataFolder;
use wingshore_types::ReplicaId;

/// Longest wait for sockets in one turn. What is due ends it earlier.
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
    /// The member of the group that runs here: the log, the state and, on the leader, its decisions.
    host: Host<CoordinationLeader>,
    /// Makes what the host writes durable, on a thread of its own.
    writer: Writer,
    signals: Signals,
    /// Reads the seeds from the settings again.
    seed_source: SeedSource,
    stop: PlannedStop,
    /// What each connection is for; calls to engines and to the provider are in `calls`.
    roles: HashMap<ConnectionId, Role>,
    /// Connections made to other coordinators.
    dials: Dials<ConnectionId>,
    peers: Peers,
    /// Peers that speak no format that is spoken here, as far as they were logged.
    refused_peers: RefusedPeers,
    /// Gateways that are connected here.
    directory: Directory,
    /// Calls to engines and to the provider.
    calls: OutgoingCalls,
    /// The time of day that the site agrees on.
    site_clock: SiteClock<ReplicaId>,
    /// Who waits for which answer of the group.
    pending: PendingCalls,
    /// Gateways that wait for a result in this member's copy of the state.
    copy_readers: Vec<CopyReader>,
    /// What each gateway that follows the view here has of it.
    view_feed: ViewFeed<ConnectionId>,
    /// The coordinators that gateways were sent last.
    announced_coordinators: Vec<SocketAddr>,
    /// Servers whose heartbeats are acknowledged here, without the leader.
    heartbeats: HeartbeatRelay,
    /// Heartbeats that the leader is to acknowledge and has not answered yet.
    forwarded: ForwardedHeartbeats<ConnectionId>,
    members: MemberChanges,
    sent_states: SentStates,
    schedule: Schedule,
    /// Inputs of the host, for its next step.
    inputs: Vec<HostInput<CoordinationLeader>>,
}

impl Coordinator {
    /// Serves until a planned stop.
    ///
    /// # Errors
    /// When the group cannot go on: a failed write, damaged storage.
    pub fn run(mut self) -> Result<(), CoordinatorError> {
        let mut events = Vec::new();
        let mut outputs = Vec::new();
        while !self.stop.is_over {
            let wait = self.time_to_wait();
            self.reactor.poll(wait, &mut events).context(NetSnafu)?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_net_event(now, event);
            }
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

    /// Until something is due, if no socket has anything before.
    fn time_to_wait(&self) -> Duration {
        if !self.inputs.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let due = self.host.next_tick().min(self.schedule.next());
        due.since(now).min(MAX_POLL_WAIT)
    }

    /// Tells the host what has become durable.
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
