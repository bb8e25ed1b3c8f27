//! Starts and stops a node.

use crate::background::{
    ErrandRunner, Errands, NodeWatch, PoolAnnouncer, Prober, read_machine_list,
};
use crate::http::EdgeServer;
use crate::rollout::{RolloutDriver, start_rollouts};
use crate::serve::NodeEdge;
use crate::state::NodeState;
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use wingshore_client::{ConfigurationWatcher, GroupClient};
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_settings::NodeSettings;

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The address callers use cannot be listened on.
    #[snafu(display("cannot serve callers on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start the {name} thread: {source}"))]
    Thread {
        /// What it is for.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Runs a node until a planned stop.
///
/// # Errors
/// When it cannot start; the log ring is written out then.
pub fn run(
    settings: NodeSettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<(), NodeError> {
    let running = match start(settings, diagnostics.clone(), stop.clone()) {
        Ok(running) => running,
        Err(error) => {
            // The error itself goes to the caller; a failed dump has said so on standard error.
            let _ = diagnostics.dump(&error.to_string());
            return Err(error);
        }
    };
    stop.wait();
    running.finish();
    Ok(())
}

/// A node that serves. To be ended by giving its stop signal, then [`RunningNode::finish`].
pub struct RunningNode {
    node: Arc<NodeState>,
    edge: EdgeServer,
    watcher: ConfigurationWatcher,
    errands: ErrandRunner,
    prober: Prober,
    rollouts: Vec<RolloutDriver>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a node; answers once it listens.
///
/// # Errors
/// When it cannot listen or start its threads.
pub fn start(
    settings: NodeSettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<RunningNode, NodeError> {
    let boot_id = rand::random();
    let errands = Errands::default();
    let node = Arc::new(NodeState::new(
        settings,
        diagnostics,
        stop,
        boot_id,
        errands,
    ));
    let announcer = Arc::new(PoolAnnouncer::default());
    let watcher = start_watch(&node)?;
    let errands = ErrandRunner::start(&node).context(ThreadSnafu { name: "errand" })?;
    let prober = Prober::start(&node).context(ThreadSnafu { name: "probe" })?;
    let rollouts = start_rollouts(&node).context(ThreadSnafu { name: "rollout" })?;
    let threads = start_background(&node)?;
    let handler = Arc::new(NodeEdge::new(Arc::clone(&node), announcer));
    let address = node.settings.listen;
    let edge = EdgeServer::start(address, &node.settings.http, handler)
        .context(ListenSnafu { address })?;
    info!(node.diagnostics.logger(), "node serves";
        "address" => edge.address().to_string(), "boot" => node.boot_id);
    Ok(RunningNode {
        node,
        edge,
        watcher,
        errands,
        prober,
        rollouts,
        threads,
    })
}

impl RunningNode {
    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// After the stop signal: lets what runs finish, within the grace of the settings, and ends
    /// all threads. New requests are refused meanwhile.
    pub fn finish(self) {
        let logger = self.node.diagnostics.logger();
        let left = self.edge.drain(self.node.settings.stop_grace);
        if left > 0 {
            let what = format!("stopped with {left} requests in flight");
            warn!(logger, "{}", what);
            // A failed dump has said so on standard error.
            let _ = self.node.diagnostics.dump(&what);
        }
        for rollouts in self.rollouts {
            rollouts.join();
        }
        for thread in self.threads {
            // A panic was reported when it happened.
            let _ = thread.join();
        }
        self.prober.join();
        self.errands.finish(&self.node);
        drop(self.watcher);
        // Last: until then callers are told that their requests did not run.
        if let Err(error) = self.edge.close() {
            warn!(logger, "listening could not be ended in order"; "error" => %error);
        }
        info!(logger, "node stopped");
    }
}

/// The watcher has its own client: ending it closes that client.
fn start_watch(node: &Arc<NodeState>) -> Result<ConfigurationWatcher, NodeError> {
    let settings = &node.settings;
    let sources = if settings.relays.is_empty() {
        settings.replicas.clone()
    } else {
        settings.relays.clone()
    };
    let client = GroupClient::new(&settings.site, sources, node.boot_id);
    let handler = Box::new(NodeWatch::new(Arc::clone(node)));
    ConfigurationWatcher::start(client, handler).context(ThreadSnafu { name: "watch" })
}

fn start_background(node: &Arc<NodeState>) -> Result<Vec<JoinHandle<()>>, NodeError> {
    let reading = Arc::clone(node);
    let machines = spawn("machine-list", move || read_machine_list(&reading))?;
    Ok(vec![machines])
}

fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, NodeError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .context(ThreadSnafu { name })
}
