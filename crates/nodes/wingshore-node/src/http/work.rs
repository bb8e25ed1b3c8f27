//! Queues requests for bounded worker groups, one group per kind of work, so that slow work of one
//! kind never delays another.

use crate::http::body_memory::BodyMemory;
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

/// Number of threads of the status group and of the refusal group, each.
const SMALL_GROUP_THREADS: usize = 4;

/// Kind of work; each kind has its own workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkKind {
    /// Requests forwarded to live services.
    Forward,
    /// Completions.
    Completion,
    /// Requests of trainers, which may wait for a long time.
    Trainer,
    /// Status pages and requests without a route.
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

/// Answers the requests that the server accepts.
pub trait EdgeHandler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, caller: Caller);
    /// Refuses a request for which no worker is free.
    fn refuse_overload(&self, caller: Caller);
}

/// A request that is counted as in flight from its arrival until its answer is complete.
pub(super) struct InFlightRequest {
    pub(super) caller: Caller,
    in_flight: Arc<AtomicUsize>,
}

impl InFlightRequest {
    /// Counts `request` in `in_flight` and parses its head.
    pub(super) fn new(
        request: Request,
        connections: &Arc<Connections>,
        body_memory: &Arc<BodyMemory>,
        in_flight: &Arc<AtomicUsize>,
    ) -> Self {
        in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            caller: Caller::new(request, connections, body_memory),
            in_flight: Arc::clone(in_flight),
        }
    }

    /// Answers the request with `task`. The panic hook reports a panic; the thread continues.
    pub(super) fn answer_with(self, handler: &dyn EdgeHandler, task: Task) {
        let Self { caller, in_flight } = self;
        let _ = catch_unwind(AssertUnwindSafe(|| task(handler, caller)));
        in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(super) type Task = fn(&dyn EdgeHandler, Caller);

/// One queue per worker group; its capacity is the number of threads in the group.
pub(super) struct Queues {
    forward: Sender<InFlightRequest>,
    completion: Sender<InFlightRequest>,
    trainer: Sender<InFlightRequest>,
    status: Sender<InFlightRequest>,
    refusal: Sender<InFlightRequest>,
}

impl Queues {
    /// Starts `workers` threads for each kind of callers' work and a few for status pages and
    /// refusals, and appends them to `threads`.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
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
            status: group("status", SMALL_GROUP_THREADS, handle)?,
            refusal: group("refusal", SMALL_GROUP_THREADS, refuse)?,
        })
    }

    /// Queues a request for its worker group, or for refusal if that queue is full.
    pub(super) fn add(&self, in_flight_request: InFlightRequest) {
        let kind = WorkKind::of(&in_flight_request.caller);
        if let Err(TrySendError::Full(in_flight_request)) =
            self.sender_for(kind).try_send(in_flight_request)
        {
            // Blocks the calling thread while the refusal queue is full, which slows down an overload
            // at its source.
            let _ = self.refusal.send(in_flight_request);
        }
    }

    fn sender_for(&self, kind: WorkKind) -> &Sender<InFlightRequest> {
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
) -> io::Result<Sender<InFlightRequest>> {
    let (sender, receiver) = bounded(size);
    for number in 0..size {
        let receiver = receiver.clone();
        let handler = Arc::clone(handler);
        let thread = thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || run_worker(&receiver, handler.as_ref(), task))?;
        threads.push(thread);
    }
    Ok(sender)
}

fn run_worker(receiver: &Receiver<InFlightRequest>, handler: &dyn EdgeHandler, task: Task) {
    while let Ok(in_flight_request) = receiver.recv() {
        in_flight_request.answer_with(handler, task);
    }
}
