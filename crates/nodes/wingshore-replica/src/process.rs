//! Lifecycle of a replica process.
//!
//! Owns the data folder, the threads of its groups, the frame server and the admin listener. Relies
//! on [`crate::start`] to open the groups before the server listens, so that every frame finds its
//! group.

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

/// Most simultaneous incoming connections. Each uses threads and several hundred kB of memory.
const MAX_CONNECTIONS: u32 = 4096;
/// Time limit for groups to hand over their leaderships in a planned stop.
const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for groups to finish the write in progress when the replica is aborted.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the process checks whether a group has failed.
const FAILURE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stop checks whether all groups have ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a replica until a planned stop, in which it hands over its leaderships.
///
/// # Errors
/// When the replica cannot start, or a group cannot continue because of a failed write or damaged
/// storage.
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
    /// Starts all groups and the listeners.
    ///
    /// # Errors
    /// When the data folder, a group's storage or an address cannot be used.
    pub fn start(
        settings: ReplicaSettings,
        diagnostics: Diagnostics,
    ) -> Result<Self, ReplicaError> {
        Self::start_on(Arc::new(RealFileSystem), settings, diagnostics)
    }

    /// Starts a replica as [`Replica::start`] does, on the given file system.
    ///
    /// # Errors
    /// As for [`Replica::start`].
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

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.folder.identity().replica
    }

    /// Returns the address that the frame server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns the address of the admin listener, if there is one.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().and_then(Admin::address)
    }

    /// Returns whether a group has ended; while the replica runs, a group ends only if it fails.
    pub fn has_ended(&self) -> bool {
        self.groups.iter().any(|group| group.thread.is_finished())
    }

    /// Performs a planned stop: accepts no more requests, hands over leaderships and ends.
    ///
    /// # Errors
    /// When a group failed before or during the stop.
    pub fn stop(self) -> Result<(), ReplicaError> {
        info!(self.diagnostics.logger(), "planned stop");
        self.dispatcher.stop_groups();
        self.await_groups(PLANNED_STOP_TIMEOUT);
        self.finish()
    }

    /// Ends immediately, without a handover: after a failure, or to simulate a crash.
    ///
    /// # Errors
    /// When a group has failed.
    pub fn abort(self) -> Result<(), ReplicaError> {
        self.dispatcher.abort_groups();
        self.await_groups(ABORT_TIMEOUT);
        self.finish()
    }

    /// Prints to standard error how a replica that was not formatted can join the groups.
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

    /// Closes all connections and returns the first error of a group. Does not wait for threads of
    /// groups that have not ended; they end with the process.
    fn finish(mut self) -> Result<(), ReplicaError> {
        self.server.stop();
        self.peers.close();
        let mut result = Ok(());
        for RunningGroup { group, thread } in self.groups {
            if !thread.is_finished() {
                error!(self.diagnostics.logger(), "group did not end within the time limit"; "group" => %group);
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
