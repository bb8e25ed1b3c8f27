//! Requests on their way to bounded groups of workers, one group for each kind of work, so that
//! long work of one kind never holds up another.

use crate::http::caller::Caller;
use crate::http::connections::Connections;
use crate::http::route::Route;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use tiny_http::Request;

/// Threads for status pages and for refusals, each.
const SMALL_GROUP: usize = 4;

/// Kinds of work, each with its own workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkKind {
    /// Forwarded requests.
    Forward,
    /// Completions.
    Completion,
    /// A trainer's requests, which may wait long.
    Trainer,
    /// Status pages and requests for nothing that exists.
    Status,
}

impl WorkKind {
    fn of(caller: &Caller) -> Self {
        match caller.route() {
            Ok(Route::Forward { .. }) => Self::Forward,
            Ok(Route::Completions) => Self::Completion,
            Ok(Route::Submit(_) | Route::Pull(..) | Route::Acknowledge(..) | Route::Publish(_)) => {
                Self::Trainer
            }
            Ok(Route::Health | Route::Ready | Route::Metrics) | Err(_) => Self::Status,
        }
    }
}

/// What is done with requests.
pub trait EdgeHandler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, caller: Caller);
    /// Refuses a request for which no worker is free.
    fn refuse_overload(&self, caller: Caller);
}

/// Counts a request from its arrival to the end of its answer.
pub(super) struct Counted {
    pub(super) caller: Caller,
    in_flight: Arc<AtomicUsize>,
}

impl Counted {
    /// Counts `request` in `in_flight` and parses its head.
    pub(super) fn new(
        request: Request,
        connections: &Arc<Connections>,
        in_flight: &Arc<AtomicUsize>,
    ) -> Self {
        in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            caller: Caller::new(request, connections),
            in_flight: Arc::clone(in_flight),
        }
    }

    /// Has `task` answer it. A panic is reported by the process's hook; the thread goes on.
    pub(super) fn answer_by(self, handler: &dyn EdgeHandler, task: Task) {
        let Self { caller, in_flight } = self;
        let _ = catch_unwind(AssertUnwindSafe(|| task(handler, caller)));
        in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(super) type Task = fn(&dyn EdgeHandler, Caller);

/// One queue for each group of workers; a queue holds no more than its group has threads.
pub(super) struct Queues {
    forward: Sender<Counted>,
    completion: Sender<Counted>,
    trainer: Sender<Counted>,
    status: Sender<Counted>,
    refusal: Sender<Counted>,
}

impl Queues {
    /// Starts `workers` threads for each kind of callers' work, and a few for all else; appends
    /// them to `threads`.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub(super) fn start(
        workers: usize,
        handler: &Arc<dyn EdgeHandler>,
        threads: &mut Vec<JoinHandle<()>>,
    ) -> io::Result<Self> {
        let handle: Task = |handler, caller| handler.handle(caller);
        let refuse: Task = |handler, caller| handler.refuse_overload(caller);
        let mut group = |name, size, task| start_group(name, size, task, handler, threads);
        Ok(Self {
            forward: group("forward", workers, handle)?,
            completion: group("completion", workers, handle)?,
            trainer: group("trainer", workers, handle)?,
            status: group("status", SMALL_GROUP, handle)?,
            refusal: group("refusal", SMALL_GROUP, refuse)?,
        })
    }

    /// Hands a request to its workers.
    pub(super) fn add(&self, counted: Counted) {
        let kind = WorkKind::of(&counted.caller);
        if let Err(TrySendError::Full(counted)) = self.of(kind).try_send(counted) {
            // Waits: a flood is slowed down where it comes in.
            let _ = self.refusal.send(counted);
        }
    }

    fn of(&self, kind: WorkKind) -> &Sender<Counted> {
        match kind {
            WorkKind::Forward => &self.forward,
            WorkKind::Completion => &self.completion,
            WorkKind::Trainer => &self.trainer,
            WorkKind::Status => &self.status,
        }
    }
}

fn start_group(
    name: &str,
    size: usize,
    task: Task,
    handler: &Arc<dyn EdgeHandler>,
    threads: &mut Vec<JoinHandle<()>>,
) -> io::Result<Sender<Counted>> {
    let (sender, receiver) = bounded(size);
    for number in 0..size {
        let receiver = receiver.clone();
        let handler = Arc::clone(handler);
        let thread = thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || work(&receiver, handler.as_ref(), task))?;
        threads.push(thread);
    }
    Ok(sender)
}

fn work(receiver: &Receiver<Counted>, handler: &dyn EdgeHandler, task: Task) {
    while let Ok(counted) = receiver.recv() {
        counted.answer_by(handler, task);
    }
}
