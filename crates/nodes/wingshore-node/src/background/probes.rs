//! Probes back ends. The router decides which servers to probe and when, and receives the answers.

use crate::state::NodeState;
use crate::upstream::JsonError;
use crossbeam_channel::{Receiver, Sender, bounded};
use slog::debug;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_routing::{ProbeKind, ProbeTarget};
use wingshore_types::platform::{CacheEvents, EngineState, LoadReport};

/// Time between two checks for due probes.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of threads that probe.
const THREADS: usize = 4;
/// Maximum number of probes queued for a thread; further ones are skipped.
const MAX_QUEUED_PROBES: usize = 1024;

/// Handle of the threads that probe back ends.
pub struct Prober {
    threads: Vec<JoinHandle<()>>,
}

impl Prober {
    /// Starts the threads; they end when the node stops.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
    pub fn start(node: &Arc<NodeState>) -> std::io::Result<Self> {
        let (sender, receiver) = bounded(MAX_QUEUED_PROBES);
        let mut threads = Vec::new();
        let scheduling = Arc::clone(node);
        let scheduler = thread::Builder::new()
            .name("probe-schedule".to_owned())
            .spawn(move || schedule(&scheduling, &sender))?;
        threads.push(scheduler);
        for number in 0..THREADS {
            let node = Arc::clone(node);
            let receiver = receiver.clone();
            let thread = thread::Builder::new()
                .name(format!("probe-{number}"))
                .spawn(move || probe_all(&node, &receiver))?;
            threads.push(thread);
        }
        Ok(Self { threads })
    }

    /// Waits for the threads after a stop.
    pub fn join(self) {
        for thread in self.threads {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn schedule(node: &NodeState, probes: &Sender<ProbeTarget>) {
    while !node.stop.wait_timeout(SCHEDULE_INTERVAL) {
        let due = node.router().probe_targets(node.clock.now());
        for target in due {
            // A full queue means that probes fall due faster than they complete: skip them, so that
            // they do not accumulate.
            let _ = probes.try_send(target);
        }
    }
}

fn probe_all(node: &NodeState, probes: &Receiver<ProbeTarget>) {
    while let Ok(target) = probes.recv() {
        if let Err(error) = probe(node, &target) {
            debug!(node.diagnostics.logger(), "probe failed";
                "server" => target.server.to_string(), "error" => error.to_string());
            node.router()
                .on_probe_failed(node.clock.now(), &target.server);
        }
    }
}

fn probe(node: &NodeState, target: &ProbeTarget) -> Result<(), JsonError> {
    let timeout = node.settings.routing.probe_timeout;
    let (address, server) = (target.address, &target.server);
    match target.kind {
        ProbeKind::EngineState => {
            let state: EngineState = node.upstream.get_json(address, "/state", timeout)?;
            node.router()
                .on_engine_state(node.clock.now(), server, &state);
        }
        ProbeKind::Load => {
            let report: LoadReport = node.upstream.get_json(address, "/load", timeout)?;
            node.router().on_load(node.clock.now(), server, &report);
        }
        ProbeKind::CacheEvents { after } => {
            let path = format!("/cache_events?after={after}");
            let events: CacheEvents = node.upstream.get_json(address, &path, timeout)?;
            node.router()
                .on_cache_events(node.clock.now(), server, &events);
        }
    }
    Ok(())
}
