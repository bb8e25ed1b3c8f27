//! Threads that run the fire-and-forget calls of a node.

use crate::background_calls::BackgroundCall;
use crate::state::NodeState;
use crate::upstream::EngineAttempt;
use crossbeam_channel::{Receiver, Sender, bounded};
use slog::{debug, warn};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_types::protocol::wire::GroupRequest;

/// Number of threads that run background calls.
const THREADS: usize = 4;
/// Timeout of a settlement. A claim that is not settled stays taken, which is safe.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time that a planned stop waits for background calls.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks whether the background calls are done.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of the threads that run background calls.
pub struct BackgroundCallRunner {
    threads: Vec<JoinHandle<()>>,
    stop_sender: Sender<()>,
}

impl BackgroundCallRunner {
    /// Starts the threads.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
    pub fn start(node: &Arc<NodeState>) -> std::io::Result<Self> {
        let (stop_sender, stop_receiver) = bounded::<()>(0);
        let mut threads = Vec::new();
        for number in 0..THREADS {
            let node = Arc::clone(node);
            let stop_receiver = stop_receiver.clone();
            let thread = thread::Builder::new()
                .name(format!("call-{number}"))
                .spawn(move || run_calls(&node, &stop_receiver))?;
            threads.push(thread);
        }
        Ok(Self {
            threads,
            stop_sender,
        })
    }

    /// Runs the queued calls for a limited time, then ends the threads and closes the node's client
    /// of groups.
    pub fn finish(self, node: &NodeState) {
        drop(self.stop_sender);
        let give_up = Instant::now() + FINISH_TIMEOUT;
        while !self.threads.iter().all(JoinHandle::is_finished) && Instant::now() < give_up {
            thread::sleep(FINISH_POLL_INTERVAL);
        }
        // Closing the client ends pending calls at once.
        node.groups.close();
        for thread in self.threads {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn run_calls(node: &NodeState, stop_receiver: &Receiver<()>) {
    let waiting = &node.background_calls.receiver;
    loop {
        crossbeam_channel::select! {
            recv(waiting) -> call => match call {
                Ok(call) => run_call(node, call),
                Err(_) => return,
            },
            recv(stop_receiver) -> _ => break,
        }
    }
    while let Ok(call) = waiting.try_recv() {
        run_call(node, call);
    }
}

fn run_call(node: &NodeState, call: BackgroundCall) {
    match call {
        BackgroundCall::Settle { group, request } => {
            let request = GroupRequest::Claims(*request);
            if let Err(error) = node.groups.call(group, request, SETTLE_TIMEOUT) {
                warn!(node.diagnostics.logger(), "claim not settled, its key stays taken";
                    "group" => group.to_string(), "error" => error.to_string());
            }
        }
        BackgroundCall::CancelAtEngine {
            address,
            request_id,
        } => {
            if !EngineAttempt::cancel(&node.upstream, address, &request_id) {
                debug!(node.diagnostics.logger(), "engine did not accept a cancellation";
                    "engine" => address.to_string(), "request" => request_id);
            }
        }
    }
}
