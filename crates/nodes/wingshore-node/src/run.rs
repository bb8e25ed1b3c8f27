//! Starts and stops a node.

use crate::background::{
    BackgroundCallRunner, NodeWatch, PoolAnnouncer, Prober, read_machine_list,
};
use crate::http::{BodyMemory, EdgeServer};
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

/// Errors of starting a node.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The node cannot listen on the address for callers.
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
        /// Purpose of the thread.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Runs a node until a planned stop.
///
/// # Errors
/// Fails when the node cannot start; the log ring is dumped in that case.
pub fn run(
    settings: NodeSettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<(), NodeError> {
    let running = match start(settings, diagnostics.clone(), stop.clone()) {
        Ok(running) => running,
        Err(error) => {
            // The error itself is returned; a failed dump was reported on standard error.
            let _ = diagnostics.dump(&error.to_string());
            return Err(error);
        }
    };
    stop.wait();
    running.finish();
    Ok(())
}

/// A running node. To stop it, trigger its stop signal, then call [`RunningNode::finish`].
pub struct RunningNode {
    node: Arc<NodeState>,
    edge: EdgeServer,
    watcher: ConfigurationWatcher,
    background_calls: BackgroundCallRunner,
    prober: Prober,
    rollouts: Vec<RolloutDriver>,
    machine_list_reader: JoinHandle<()>,
}

/// Starts a node; returns once the node listens.
///
/// # Errors
/// Fails when the node cannot listen or start its threads.
pub fn start(
    settings: NodeSettings,
    diagnostics: Diagnostics,
    stop: StopSignal,
) -> Result<RunningNode, NodeError> {
    let boot_id = rand::random();
    let node = Arc::new(NodeState::new(settings, diagnostics, stop, boot_id));
    let announcer = Arc::new(PoolAnnouncer::default());
    let watcher = start_watch(&node)?;
    let background_calls = BackgroundCallRunner::start(&node).context(ThreadSnafu {
        name: "background call",
    })?;
    let prober = Prober::start(&node).context(ThreadSnafu { name: "probe" })?;
    let rollouts = start_rollouts(&node).context(ThreadSnafu { name: "rollout" })?;
    let reading = Arc::clone(&node);
    let machine_list_reader = spawn("machine-list", move || read_machine_list(&reading))?;
    let http = &node.settings.http;
    let body_memory = BodyMemory::new(http.body_memory);
    let handler = NodeEdge::new(Arc::clone(&node), announcer, Arc::clone(&body_memory));
    let handler = Arc::new(handler);
    let address = node.settings.listen;
    let edge =
        EdgeServer::start(address, http, body_memory, handler).context(ListenSnafu { address })?;
    info!(node.diagnostics.logger(), "node serves";
        "address" => edge.address().to_string(), "boot" => node.boot_id);
    Ok(RunningNode {
        node,
        edge,
        watcher,
        background_calls,
        prober,
        rollouts,
        machine_list_reader,
    })
}

impl RunningNode {
    /// Returns the address on which the node listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Completes a stop after the stop signal: waits for requests in flight for at most the grace
    /// period of the settings, then ends all threads. New requests are refused in the meantime.
    pub fn finish(self) {
        let logger = self.node.diagnostics.logger();
        let left = self.edge.drain(self.node.settings.stop_grace);
        if left > 0 {
            let what = format!("stopped with {left} requests in flight");
            warn!(logger, "{}", what);
            // A failed dump was reported on standard error.
            let _ = self.node.diagnostics.dump(&what);
        }
        for rollouts in self.rollouts {
            rollouts.join();
        }
        // The panic hook has already reported a panic of the thread.
        let _ = self.machine_list_reader.join();
        self.prober.join();
        self.background_calls.finish(&self.node);
        drop(self.watcher);
        // The listener closes last: until then callers get the answer that their requests did not
        // run.
        if let Err(error) = self.edge.close() {
            warn!(logger, "cannot close the listener cleanly"; "error" => %error);
        }
        info!(logger, "node stopped");
    }
}

/// Starts the configuration watcher with a client of its own, which closes with the watcher.
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

fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, NodeError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .context(ThreadSnafu { name })
}
