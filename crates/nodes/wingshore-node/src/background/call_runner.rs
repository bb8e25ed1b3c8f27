//! The threads that run the work that nobody waits for.

use crate::background_calls::BackgroundCall;
use crate::state::NodeState;
use crate::upstream::EngineAttempt;
use crossbeam_channel::{Receiver, Sender, bounded};
use slog::{debug, warn};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_types::protocol::wire::GroupRequest;

/// Threads that run background calls.
const THREADS: usize = 4;
/// A settlement is attempted for this long. A claim left unsettled stays taken, which is safe.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time that a planned stop waits for background calls.
const FINISH_LIMIT: Duration = Duration::from_secs(5);
/// Time between two checks whether they are done.
const FINISH_POLL: Duration = Duration::from_millis(5);

/// The threads that run background calls.
pub struct BackgroundCallRunner {
    threads: Vec<JoinHandle<()>>,
    end: Sender<()>,
}

impl BackgroundCallRunner {
    /// Starts the threads.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(node: &Arc<NodeState>) -> std::io::Result<Self> {
        let (end, ended) = bounded::<()>(0);
        let mut threads = Vec::new();
        for number in 0..THREADS {
            let node = Arc::clone(node);
            let ended = ended.clone();
            let thread = thread::Builder::new()
                .name(format!("call-{number}"))
                .spawn(move || run_calls(&node, &ended))?;
            threads.push(thread);
        }
        Ok(Self { threads, end })
    }

    /// Runs what waits, for a while at most, then ends the threads and closes the node's client of
    /// groups.
    pub fn finish(self, node: &NodeState) {
        drop(self.end);
        let give_up = Instant::now() + FINISH_LIMIT;
        while !self.threads.iter().all(JoinHandle::is_finished) && Instant::now() < give_up {
            thread::sleep(FINISH_POLL);
        }
        // Calls that still wait end at once.
        node.groups.close();
        for thread in self.threads {
            // A panic was reported when it happened.
            let _ = thread.join();
        }
    }
}

fn run_calls(node: &NodeState, ended: &Receiver<()>) {
    let waiting = &node.background_calls.receiver;
    loop {
        crossbeam_channel::select! {
            recv(waiting) -> call => match call {
                Ok(call) => run_call(node, call),
                Err(_) => return,
            },
            recv(ended) -> _ => break,
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
                debug!(node.diagnostics.logger(), "engine did not take a cancel";
                    "engine" => address.to_string(), "request" => request_id);
            }
        }
    }
}
