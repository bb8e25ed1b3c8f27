//! One replica process from start to end.
//!
//! Owns the data folder, the threads of its groups, the frame server and the admin listener. Relies
//! on [`crate::start`] to open the groups before the server listens, so that no frame comes for a
//! group that is not there.

use crate::admin::{Admin, AdminState};
use crate::error::{FolderSnafu, ListenSnafu, ReplicaError};
use crate::frames::FrameDispatcher;
use crate::peers::Peers;
use crate::start::{GroupContext, PreparedGroups, RunningGroup};
use slog::{error, info};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_clock::Clock;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_settings::ReplicaSettings;
use wingshore_storage::{DataFolder, FileSystem, RealFileSystem};
use wingshore_transport::{FrameHandler, Server, ServerOptions};
use wingshore_types::ReplicaId;

/// Most connections of other processes at a time. Each takes threads and some hundred kB of memory.
const MAX_CONNECTIONS: u32 = 4096;
/// Most time that groups have to hand their leaderships over in a planned stop.
const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Most time that groups have to finish the write that is under way when all is to end at once.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between checks whether a group has failed.
const FAILURE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between checks whether all groups have ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a replica until a planned stop, in which it hands its leaderships over.
///
/// # Errors
/// When it cannot start, or a group cannot go on: a failed write, damaged storage.
pub fn run(
    settings: ReplicaSettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<(), ReplicaError> {
    let replica = Replica::start(settings, diagnostics)?;
    replica.print_join_instructions();
    loop {
        if stop.wait_timeout(FAILURE_POLL_INTERVAL) {
            return replica.stop();
        }
        if replica.has_ended() {
            return replica.abort();
        }
    }
}

/// A running replica.
pub struct Replica {
    folder: DataFolder,
    site: String,
    diagnostics: Diagnostics,
    peers: Arc<Peers>,
    dispatcher: Arc<FrameDispatcher>,
    groups: Vec<RunningGroup>,
    server: Server,
    admin: Option<Admin>,
}

impl Replica {
    /// Starts all groups and listens.
    ///
    /// # Errors
    /// When the folder, a group's storage or an address cannot be used.
    pub fn start(
        settings: ReplicaSettings,
        diagnostics: Diagnostics,
    ) -> Result<Self, ReplicaError> {
        Self::start_on(Arc::new(RealFileSystem), settings, diagnostics)
    }

    /// As [`Replica::start`], on a file system of the caller's choice.
    ///
    /// # Errors
    /// As [`Replica::start`].
    pub fn start_on(
        fs: Arc<dyn FileSystem>,
        settings: ReplicaSettings,
        diagnostics: Diagnostics,
    ) -> Result<Self, ReplicaError> {
        let folder = DataFolder::open_or_join(&fs, &settings.data, &settings.site, rand::random())
            .context(FolderSnafu)?;
        let replica = folder.identity().replica;
        let logger = diagnostics.logger().clone();
        let peers = Peers::new(&settings.site, replica, &settings.founding, logger);
        let peers = Arc::new(peers);
        let prepared = PreparedGroups::open(&GroupContext {
            fs,
            folder: &folder,
            settings: &settings,
            diagnostics: &diagnostics,
            clock: Clock::start(),
            peers: Arc::clone(&peers),
        })?;
        let dispatcher = Arc::new(FrameDispatcher::new(
            prepared.ports,
            Arc::clone(&peers),
            diagnostics.clone(),
        ));
        let handler = Arc::clone(&dispatcher) as Arc<dyn FrameHandler>;
        peers.set_handler(&handler);
        let server = listen(&settings, replica, handler)?;
        let admin_state = AdminState {
            metrics: prepared.metrics,
            groups: prepared.group_metrics,
        };
        let admin = settings
            .admin
            .map(|address| Admin::start(address, admin_state))
            .transpose()?;
        let groups = prepared
            .groups
            .into_iter()
            .map(|start| start())
            .collect::<Result<Vec<_>, _>>()?;
        info!(diagnostics.logger(), "started"; "replica" => replica.0, "groups" => groups.len());
        Ok(Self {
            site: settings.site,
            folder,
            diagnostics,
            peers,
            dispatcher,
            groups,
            server,
            admin,
        })
    }

    /// Who it is.
    pub fn id(&self) -> ReplicaId {
        self.folder.identity().replica
    }

    /// Where it listens for frames.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Where it serves health and metrics.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().and_then(Admin::address)
    }

    /// Whether a group has ended, which none does by itself unless it failed.
    pub fn has_ended(&self) -> bool {
        self.groups.iter().any(|group| group.thread.is_finished())
    }

    /// Planned stop: takes no more requests, hands leaderships over, ends.
    ///
    /// # Errors
    /// When a group has failed meanwhile.
    pub fn stop(self) -> Result<(), ReplicaError> {
        info!(self.diagnostics.logger(), "planned stop");
        self.dispatcher.stop_groups();
        self.await_groups(PLANNED_STOP_TIMEOUT);
        self.finish()
    }

    /// Ends at once and hands nothing over: after a failure, or to simulate a crash.
    ///
    /// # Errors
    /// When a group had failed.
    pub fn abort(self) -> Result<(), ReplicaError> {
        self.dispatcher.abort_groups();
        self.await_groups(ABORT_TIMEOUT);
        self.finish()
    }

    /// Says on standard error how a replica that was not formatted gets into the groups.
    fn print_join_instructions(&self) {
        if self.folder.identity().founding.is_some() {
            return;
        }
        eprintln!(
            "replica {} of site `{}` at {} was not founded with the site: it waits until it is a \
             member. To have it take the place of lost member OLD:\n  \
             wingshore ctl --replicas … members replace OLD {} {}",
            self.id(),
            self.site,
            self.address(),
            self.id(),
            self.address()
        );
    }

    fn await_groups(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let all_ended = || self.groups.iter().all(|group| group.thread.is_finished());
        while !all_ended() && Instant::now() < deadline {
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Closes all connections; gives the first error of a group. Threads of groups that have
    /// not ended are left to the end of the process.
    fn finish(mut self) -> Result<(), ReplicaError> {
        self.server.stop();
        self.peers.close();
        let mut result = Ok(());
        for RunningGroup { group, thread } in self.groups {
            if !thread.is_finished() {
                error!(self.diagnostics.logger(), "group has not ended"; "group" => %group);
                continue;
            }
            let ended = thread
                .join()
                .unwrap_or(Err(ReplicaError::Panicked { group }));
            result = result.and(ended);
        }
        result
    }
}

fn listen(
    settings: &ReplicaSettings,
    replica: ReplicaId,
    handler: Arc<dyn FrameHandler>,
) -> Result<Server, ReplicaError> {
    let options = ServerOptions {
        site: settings.site.clone(),
        replica: Some(replica),
        max_connections: MAX_CONNECTIONS,
    };
    Server::bind(settings.listen, options, handler).context(ListenSnafu)
}
