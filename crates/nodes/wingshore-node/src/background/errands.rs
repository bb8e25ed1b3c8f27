//! Work that nobody waits for: settling claims, cancelling attempts at engines.

use crate::state::NodeState;
use crate::upstream::EngineAttempt;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use slog::{debug, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::ClaimsRequest;
use wingshore_types::protocol::wire::GroupRequest;

/// Most errands that wait.
const QUEUE: usize = 16 * 1024;
/// Threads that run errands.
const THREADS: usize = 4;
/// A settlement is tried for this long. A claim left unsettled stays taken, which is safe.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a planned stop waits for errands.
const FINISH_LIMIT: Duration = Duration::from_secs(5);
/// Between two looks at whether they are done.
const FINISH_POLL: Duration = Duration::from_millis(5);

/// One errand.
#[derive(Debug)]
pub enum Errand {
    /// Tell a claims group how a claim ended.
    Settle {
        /// The group.
        group: GroupId,
        /// The settlement.
        request: Box<ClaimsRequest>,
    },
    /// Tell an engine that nobody wants an attempt any more.
    CancelAtEngine {
        /// The engine.
        address: SocketAddr,
        /// The attempt.
        request_id: String,
    },
}

/// The queue of errands; bounded.
#[derive(Clone, Debug)]
pub struct Errands {
    sender: Sender<Errand>,
    receiver: Receiver<Errand>,
}

impl Default for Errands {
    fn default() -> Self {
        let (sender, receiver) = bounded(QUEUE);
        Self { sender, receiver }
    }
}

impl Errands {
    /// Leaves an errand.
    ///
    /// # Errors
    /// Gives it back when too many wait.
    pub fn leave(&self, errand: Errand) -> Result<(), Errand> {
        self.sender
            .try_send(errand)
            .map_err(|refused| match refused {
                TrySendError::Full(errand) | TrySendError::Disconnected(errand) => errand,
            })
    }
}

/// The threads that run errands.
pub struct ErrandRunner {
    threads: Vec<JoinHandle<()>>,
    end: Sender<()>,
}

impl ErrandRunner {
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
                .name(format!("errand-{number}"))
                .spawn(move || run_errands(&node, &ended))?;
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

fn run_errands(node: &NodeState, ended: &Receiver<()>) {
    let waiting = &node.errands.receiver;
    loop {
        crossbeam_channel::select! {
            recv(waiting) -> errand => match errand {
                Ok(errand) => run_errand(node, errand),
                Err(_) => return,
            },
            recv(ended) -> _ => break,
        }
    }
    while let Ok(errand) = waiting.try_recv() {
        run_errand(node, errand);
    }
}

fn run_errand(node: &NodeState, errand: Errand) {
    match errand {
        Errand::Settle { group, request } => {
            let request = GroupRequest::Claims(*request);
            if let Err(error) = node.groups.call(group, request, SETTLE_TIMEOUT) {
                warn!(node.diagnostics.logger(), "claim not settled, its key stays taken";
                    "group" => group.to_string(), "error" => error.to_string());
            }
        }
        Errand::CancelAtEngine {
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
