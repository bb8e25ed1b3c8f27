//! The HTTP server: one thread accepts requests and hands them to the worker groups.

use crate::http::body_memory::BodyMemory;
use crate::http::body_readers::BodyReaders;
use crate::http::connections::Connections;
use crate::http::listener::{ListenerHandle, reachable_address};
use crate::http::open_connections::open_connections;
use crate::http::work::{EdgeHandler, InFlightRequest, Queues};
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

/// Idle time of a connection before the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks of the requests in flight during shutdown.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The server closes once it had neither a connection nor a request for this time.
const CLOSE_IDLE_TIME: Duration = Duration::from_millis(50);
/// Time limit for callers to use each kept-alive connection once more, which tells them that it
/// closes. A request on a connection that stayed unused for longer may be cut off.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running HTTP server. Stopped by [`EdgeServer::drain`], then [`EdgeServer::close`].
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
    /// Binds `address` and starts a worker group for each kind of work.
    ///
    /// # Errors
    /// Fails when the address cannot be bound or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: &HttpSettings,
        body_memory: Arc<BodyMemory>,
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
        let (nudger, nudger_thread) = Nudger::start(reachable_address(address))?;
        let acceptor = Acceptor {
            server: Arc::clone(&server),
            connections: Arc::clone(&connections),
            queues: Arc::new(queues),
            body_readers: BodyReaders::new(settings.max_request_body, &handler),
            body_memory,
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

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no request is in flight, at most for `grace`, and returns how many still are.
    /// The handler must refuse new requests during this call and until [`EdgeServer::close`].
    pub fn drain(&self, grace: Duration) -> usize {
        self.connections.close_after_answers();
        let deadline = Instant::now() + grace;
        loop {
            let left = self.in_flight.load(Ordering::SeqCst);
            if left == 0 || Instant::now() >= deadline {
                return left;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Stops listening, answers requests that still arrive on open connections, and shuts down.
    ///
    /// # Errors
    /// Fails when listening could not be stopped gracefully; the server has shut down nevertheless.
    pub fn close(mut self) -> io::Result<()> {
        self.connections.close_after_answers();
        let closed = self.listener.close();
        let is_idle = wait_until_idle(self.address.port(), &self.in_flight);
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            // The acceptor returns nothing, and the panic hook has already reported a panic.
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

/// Sets the options that accepted connections inherit from the listening socket.
fn set_connection_options(listener: &TcpListener, slow_caller_limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(listener);
    // With Nagle's algorithm the first event of a stream would wait for the caller's
    // acknowledgement of the head, which callers delay by up to 40 ms.
    socket.set_tcp_nodelay(true)?;
    // The kernel closes the connection of a caller that accepts no part of its answer for this
    // time. A write timeout would leave the connection open with a partial answer, and the
    // remainder would be taken from the next answer.
    socket.set_tcp_user_timeout(Some(slow_caller_limit))?;
    // Detects callers that vanished without closing their connection.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Waits until callers have closed their connections and no request was in flight for
/// [`CLOSE_IDLE_TIME`], at most for [`CLOSE_TIMEOUT`]. Returns whether no request is in flight.
fn wait_until_idle(port: u16, in_flight: &AtomicUsize) -> bool {
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    let mut idle_since = Instant::now();
    loop {
        let is_idle = in_flight.load(Ordering::SeqCst) == 0;
        if !is_idle || open_connections(port) > 0 {
            idle_since = Instant::now();
        }
        if idle_since.elapsed() >= CLOSE_IDLE_TIME || Instant::now() >= deadline {
            return is_idle;
        }
        thread::sleep(STOP_POLL_INTERVAL);
    }
}

/// Accepts requests and hands them to the workers.
struct Acceptor {
    server: Arc<Server>,
    connections: Arc<Connections>,
    queues: Arc<Queues>,
    body_readers: BodyReaders,
    body_memory: Arc<BodyMemory>,
    nudger: Nudger,
    in_flight: Arc<AtomicUsize>,
}

impl Acceptor {
    fn run(self) {
        loop {
            match self.server.recv() {
                Ok(request) => self.dispatch(request),
                // Listening has stopped; open connections are still served.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // `unblock` makes `recv` fail.
                Err(_) => return,
            }
        }
    }

    fn dispatch(&self, request: Request) {
        self.nudger.on_request(request.remote_addr());
        let in_flight_request = InFlightRequest::new(
            request,
            &self.connections,
            &self.body_memory,
            &self.in_flight,
        );
        if in_flight_request.caller.may_block() {
            self.body_readers.read(in_flight_request, &self.queues);
        } else {
            self.queues.add(in_flight_request);
        }
    }
}
