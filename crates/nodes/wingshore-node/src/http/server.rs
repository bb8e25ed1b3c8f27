//! The listening side: one thread takes requests and hands them to the groups of workers.

use crate::http::body_readers::BodyReaders;
use crate::http::connections::Connections;
use crate::http::listener::{ListenerHandle, reachable};
use crate::http::open_connections::open_connections;
use crate::http::work::{Counted, EdgeHandler, Queues};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tiny_http::{Request, Server};
use wingshore_http::{Nudger, NudgerThread};
use wingshore_settings::HttpSettings;

/// A connection without traffic is probed after this time for whether its caller still exists.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);
/// Time between two such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks of what is in flight, during a stop.
const STOP_POLL: Duration = Duration::from_millis(10);
/// The server ends once there was neither a connection nor a request for this time.
const CLOSE_QUIET: Duration = Duration::from_millis(50);
/// How long callers have to use each connection that they keep once more, and so learn that it ends.
/// A request on one that stayed unused that long may be cut.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

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
        let queues = Queues::start(settings.workers, &handler, &mut threads)?;
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
        let is_idle = wait_until_quiet(self.address.port(), &self.in_flight);
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
fn wait_until_quiet(port: u16, in_flight: &AtomicUsize) -> bool {
    let give_up = Instant::now() + CLOSE_LIMIT;
    let mut quiet_since = Instant::now();
    loop {
        let is_idle = in_flight.load(Ordering::SeqCst) == 0;
        if !is_idle || open_connections(port) > 0 {
            quiet_since = Instant::now();
        }
        if quiet_since.elapsed() >= CLOSE_QUIET || Instant::now() >= give_up {
            return is_idle;
        }
        thread::sleep(STOP_POLL);
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
        let counted = Counted::new(request, &self.connections, &self.in_flight);
        if counted.caller.may_keep_waiting() {
            self.body_readers.read(counted, &self.queues);
        } else {
            self.queues.add(counted);
        }
    }
}
