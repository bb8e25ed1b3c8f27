//! The listening side: one thread takes requests and hands them to bounded groups of workers, one
//! group for each kind of work, so that long work of one kind never holds up another.

use crate::http::body_readers::BodyReaders;
use crate::http::caller::Caller;
use crate::http::connections::Connections;
use crate::http::listener::{ListenerHandle, reachable};
use crate::http::open_connections::open_connections;
use crate::http::route::Route;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tiny_http::{Request, Server};
use wingshore_http::{Nudger, NudgerThread};
use wingshore_settings::HttpSettings;

/// Threads for status pages and for refusals, each.
const SMALL_GROUP: usize = 4;
/// A connection without traffic is asked after this time whether its caller still exists.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);
/// Between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Between two looks at what is in flight, during a stop.
const STOP_POLL: Duration = Duration::from_millis(10);
/// How long there may be neither a connection nor a request before the server ends.
const CLOSE_QUIET: Duration = Duration::from_millis(50);
/// How long callers have to use each connection that they keep once more, and so learn that it
/// ends. A request on one that stayed unused that long may be cut.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Kinds of work, each with its own workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
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
    /// Has `task` answer it. A panic is reported by the process's hook; the thread goes on.
    pub(super) fn answer_by(self, handler: &dyn EdgeHandler, task: Task) {
        let Self { caller, in_flight } = self;
        let _ = catch_unwind(AssertUnwindSafe(|| task(handler, caller)));
        in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A listening server. Ended by [`EdgeServer::drain`], then [`EdgeServer::close`].
pub struct EdgeServer {
    server: Arc<Server>,
    listener: ListenerHandle,
    connections: Arc<Connections>,
    address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
    acceptor: Option<JoinHandle<()>>,
    nudger: Option<NudgerThread>,
    workers: Vec<JoinHandle<()>>,
}

impl EdgeServer {
    /// Binds `address` and serves with a group of threads for each kind of work.
    ///
    /// # Errors
    /// When the address cannot be bound or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: &HttpSettings,
        handler: Arc<dyn EdgeHandler>,
    ) -> io::Result<Self> {
        let workers = settings.workers;
        let listener = TcpListener::bind(address)?;
        set_connection_options(&listener, settings.slow_caller_limit)?;
        let address = listener.local_addr()?;
        let handle_on_listener = ListenerHandle::of(&listener)?;
        let connections = Arc::new(Connections::default());
        let server = Server::from_listener(listener, None)
            .map(Arc::new)
            .map_err(io::Error::other)?;
        let in_flight = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        let handle: Task = |handler, caller| handler.handle(caller);
        let refuse: Task = |handler, caller| handler.refuse_overload(caller);
        let mut group = |name, size, task| start_group(name, size, task, &handler, &mut threads);
        let queues = Queues {
            forward: group("forward", workers, handle)?,
            completion: group("completion", workers, handle)?,
            trainer: group("trainer", workers, handle)?,
            status: group("status", SMALL_GROUP, handle)?,
            refusal: group("refusal", SMALL_GROUP, refuse)?,
        };
        let (nudger, nudger_thread) = Nudger::start(reachable(address))?;
        let acceptor = Acceptor {
            server: Arc::clone(&server),
            connections: Arc::clone(&connections),
            queues: Arc::new(queues),
            body_readers: BodyReaders::new(settings.max_request_body, &handler),
            nudger,
            in_flight: Arc::clone(&in_flight),
        };
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || acceptor.run())?;
        Ok(Self {
            server,
            listener: handle_on_listener,
            connections,
            address,
            in_flight,
            acceptor: Some(acceptor),
            nudger: Some(nudger_thread),
            workers: threads,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until nothing is in flight, `grace` at most; answers how many requests still are. The
    /// handler must refuse new requests meanwhile, and go on doing so until [`EdgeServer::close`].
    pub fn drain(&self, grace: Duration) -> usize {
        self.connections.close_after_answers();
        let give_up = Instant::now() + grace;
        loop {
            let left = self.in_flight.load(Ordering::SeqCst);
            if left == 0 || Instant::now() >= give_up {
                return left;
            }
            thread::sleep(STOP_POLL);
        }
    }

    /// Ends listening, answers what still comes on connections that were made before, and ends.
    ///
    /// # Errors
    /// When listening could not be ended in order; it has ended all the same.
    pub fn close(mut self) -> io::Result<()> {
        self.connections.close_after_answers();
        let closed = self.listener.close();
        let is_idle = wait_until_left_alone(self.address.port(), &self.in_flight);
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            // The acceptor has no result, and a panic of it was reported when it happened.
            let _ = acceptor.join();
        }
        if let Some(nudger) = self.nudger.take() {
            nudger.join();
        }
        if is_idle {
            for worker in self.workers.drain(..) {
                let _ = worker.join();
            }
        }
        closed
    }
}

/// Sets what connections take over from the socket that accepts them.
fn set_connection_options(listener: &TcpListener, slow_caller_limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(listener);
    // Without it the first event of a stream waits for the caller to acknowledge the head, which
    // it delays by up to 40 ms.
    socket.set_tcp_nodelay(true)?;
    // The system closes the connection of a caller that takes nothing of its answer for so long.
    // A limit on writing would leave it open with a part of an answer sent, and the rest would be
    // taken from the next one.
    socket.set_tcp_user_timeout(Some(slow_caller_limit))?;
    // Callers that vanished without closing are noticed.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Waits until callers have let go of their connections and nothing was in flight for a while,
/// [`CLOSE_LIMIT`] at most; says whether nothing is in flight.
fn wait_until_left_alone(port: u16, in_flight: &AtomicUsize) -> bool {
    let give_up = Instant::now() + CLOSE_LIMIT;
    let mut alone_since = Instant::now();
    loop {
        let is_idle = in_flight.load(Ordering::SeqCst) == 0;
        if !is_idle || open_connections(port) > 0 {
            alone_since = Instant::now();
        }
        if alone_since.elapsed() >= CLOSE_QUIET || Instant::now() >= give_up {
            return is_idle;
        }
        thread::sleep(STOP_POLL);
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

/// Takes requests and hands them to the workers.
struct Acceptor {
    server: Arc<Server>,
    connections: Arc<Connections>,
    queues: Arc<Queues>,
    body_readers: BodyReaders,
    nudger: Nudger,
    in_flight: Arc<AtomicUsize>,
}

impl Acceptor {
    fn run(self) {
        loop {
            match self.server.recv() {
                Ok(request) => self.take(request),
                // Listening has ended; connections that were made before go on.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // `unblock` makes `recv` fail.
                Err(_) => return,
            }
        }
    }

    fn take(&self, request: Request) {
        self.nudger.on_request(request.remote_addr());
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let counted = Counted {
            caller: Caller::new(request, &self.connections),
            in_flight: Arc::clone(&self.in_flight),
        };
        if counted.caller.may_keep_waiting() {
            self.body_readers.read(counted, &self.queues);
        } else {
            self.queues.add(counted);
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
