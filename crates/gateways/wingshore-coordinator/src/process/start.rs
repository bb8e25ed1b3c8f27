//! Start of a coordinator: opens its storage and listeners, and starts its threads.

use super::listeners::Listeners;
use super::member_changes::MemberChanges;
use super::pending::PendingCalls;
use super::schedule::{PlannedStop, Schedule};
use super::{Coordinator, disk, host};
use crate::dials::Dials;
use crate::directory::Directory;
use crate::error::{CoordinatorError, NetSnafu, ThreadSnafu};
use crate::forwarded_heartbeats::ForwardedHeartbeats;
use crate::gateway_feed::GatewayFeed;
use crate::heartbeats::HeartbeatRelay;
use crate::metrics::CoordinatorMetrics;
use crate::outgoing_calls::{CallProtocols, OutgoingCalls};
use crate::peers::Peers;
use crate::protocol::ControlProtocol;
use crate::sent_states::SentStates;
use crate::settings::CoordinatorSettings;
use crate::view_feed::ViewFeed;
use crate::writer::Writer;
use slog::{Logger, info};
use snafu::ResultExt;
use std::collections::HashMap;
use std::sync::Arc;
use wingshore_clock::Clock;
use wingshore_coordination::{CoordinationLeader, RefusedPeers, SiteClock};
use wingshore_diagnostics::{LogBudget, LogCounts, RequestSampler};
use wingshore_group::Host;
use wingshore_net::{ClosingConnections, Reactor, SeedSource, Signals};
use wingshore_storage::DataFolder;

/// Storage, sockets and threads that the start opens.
struct Resources {
    clock: Clock,
    folder: DataFolder,
    reactor: Reactor,
    listeners: Listeners,
    writer: Writer,
    host: Host<CoordinationLeader>,
}

impl Resources {
    fn open(settings: &CoordinatorSettings, logger: &Logger) -> Result<Self, CoordinatorError> {
        let clock = Clock::start();
        let disk::OpenedDisk {
            folder,
            store,
            recovered,
            texts,
            spool,
        } = disk::open(settings, logger)?;
        let mut reactor = Reactor::new().context(NetSnafu)?;
        let listeners = Listeners::open(settings, &mut reactor)?;
        let writer = Writer::start(store, reactor.waker(), logger.clone()).context(ThreadSnafu)?;
        let now = clock.now();
        let host = host::open(settings, &folder, now, recovered, Arc::clone(&texts), spool)?;
        texts.remove_unreferenced();
        let identity = folder.identity();
        info!(logger, "started"; "node" => &settings.node, "member" => identity.replica.0,
            "memory" => %settings.memory, "founder" => identity.founding.is_some(),
            "applied" => host.applied_index().0);
        Ok(Self {
            clock,
            folder,
            reactor,
            listeners,
            writer,
            host,
        })
    }
}

impl Coordinator {
    /// Opens the data folder and the listeners, and creates the coordinator.
    ///
    /// # Errors
    /// When the folder or an address cannot be used, or the writer's thread cannot be started.
    pub fn start(
        settings: CoordinatorSettings,
        protocol: Box<dyn ControlProtocol>,
        call_protocols: CallProtocols,
        signals: Signals,
        seed_source: SeedSource,
        logger: Logger,
        log_counts: LogCounts,
    ) -> Result<Self, CoordinatorError> {
        let opened = Resources::open(&settings, &logger)?;
        Ok(Self {
            logger,
            clock: opened.clock,
            folder: opened.folder,
            reactor: opened.reactor,
            listeners: opened.listeners,
            metrics: CoordinatorMetrics::new(),
            log_counts,
            sampler: RequestSampler::new(LogBudget::default()),
            protocol,
            host: opened.host,
            writer: opened.writer,
            signals,
            seed_source,
            stop: PlannedStop::default(),
            roles: HashMap::new(),
            closing: ClosingConnections::default(),
            dials: Dials::default(),
            peers: Peers::default(),
            refused_peers: RefusedPeers::default(),
            directory: Directory::default(),
            calls: OutgoingCalls::new(call_protocols, settings.provider.as_ref()),
            site_clock: SiteClock::default(),
            pending: PendingCalls::default(),
            copy_readers: Vec::new(),
            view_feed: ViewFeed::default(),
            gateway_feed: GatewayFeed::default(),
            announced_coordinators: Vec::new(),
            heartbeats: HeartbeatRelay::default(),
            forwarded: ForwardedHeartbeats::new(settings.server_expiry()),
            members: MemberChanges::default(),
            sent_states: SentStates::default(),
            schedule: Schedule::default(),
            inputs: Vec::new(),
            settings,
        })
    }
}
