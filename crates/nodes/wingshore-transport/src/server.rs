//! Accepts connections up to a limit.
//!
//! Owns the listener, an accepting thread and one reader thread per connection. A connection beyond
//! the limit is refused with the reason. A failed accept, for example when file descriptors run
//! out, is retried after [`ACCEPT_RETRY_DELAY`].

use crate::connection::{
    ConnectionHandle, FrameHandler, configure_after_handshake, configure_for_handshake, shut_down,
};
use crate::error::{AcceptSnafu, BindError, ListenSnafu};
use crate::handshake;
use snafu::ResultExt;
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::wire::{ConnectionRefusal, Hello, WIRE_VERSION};

/// How long a stopping server waits for its connections to write their queued frames.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a stopping server checks whether its connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after a failed accept, for example while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for each read and write of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for reading the hello of a connection beyond the limit. Short, because the accepting
/// thread waits for it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Options of a [`Server`].
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Site that connecting processes must belong to.
    pub site: String,
    /// Replica id of this process, if it is a replica.
    pub replica: Option<ReplicaId>,
    /// Maximum number of open connections; further ones are refused.
    pub max_connections: u32,
}

/// Listens for connections and passes their frames to a handler. Dropping the server stops it.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    accept_thread: Option<JoinHandle<()>>,
}

struct Shared {
    listener: TcpListener,
    options: ServerOptions,
    handler: Arc<dyn FrameHandler>,
    connections: Mutex<Vec<AcceptedConnection>>,
    stopping: AtomicBool,
}

/// An accepted connection; `slot` holds its handle once the handshake is complete.
struct AcceptedConnection {
    slot: Arc<Mutex<Option<ConnectionHandle>>>,
    socket: TcpStream,
    thread: JoinHandle<()>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Shared")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// When the server cannot listen on the address, or the accepting thread cannot be started.
    pub fn bind(
        address: SocketAddr,
        options: ServerOptions,
        handler: Arc<dyn FrameHandler>,
    ) -> Result<Self, BindError> {
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let shared = Arc::new(Shared {
            listener,
            options,
            handler,
            connections: Mutex::new(Vec::new()),
            stopping: AtomicBool::new(false),
        });
        let accepting_shared = Arc::clone(&shared);
        let accept_thread = thread::Builder::new()
            .name("frame-accept".to_owned())
            .spawn(move || accepting_shared.accept_connections())
            .context(AcceptSnafu)?;
        Ok(Self {
            shared,
            address,
            accept_thread: Some(accept_thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        let mut connections = self.shared.lock();
        connections.retain(|accepted| !accepted.thread.is_finished());
        connections.len()
    }

    /// Stops accepting, writes the queued frames within a time limit, closes all connections and
    /// waits for their threads. Must not be called from a handler.
    pub fn stop(&mut self) {
        let Some(accept_thread) = self.accept_thread.take() else {
            return;
        };
        self.shared.stopping.store(true, Ordering::SeqCst);
        // Unblocks the accept; an error means that the listener is already closed.
        let _ = SockRef::from(&self.shared.listener).shutdown(Shutdown::Both);
        let _ = accept_thread.join();
        let connections = std::mem::take(&mut *self.shared.lock());
        drain_connections(&connections);
        for accepted in connections {
            shut_down(&accepted.socket, Shutdown::Both);
            let _ = accepted.thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<AcceptedConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn accept_connections(self: &Arc<Self>) {
        while !self.is_stopping() {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(_) if self.is_stopping() => return,
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream) {
        if configure_for_handshake(&stream, HANDSHAKE_TIMEOUT).is_err() {
            return;
        }
        let mut connections = self.lock();
        connections.retain(|accepted| !accepted.thread.is_finished());
        let limit = self.options.max_connections;
        if connections.len() >= limit as usize {
            drop(connections);
            refuse(stream, limit);
            return;
        }
        // If no thread or socket can be created, the connection is dropped; the peer retries.
        if let Ok(accepted) = self.spawn(stream) {
            connections.push(accepted);
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream) -> io::Result<AcceptedConnection> {
        let socket = stream.try_clone()?;
        let slot = Arc::new(Mutex::new(None));
        let shared = Arc::clone(self);
        let thread_slot = Arc::clone(&slot);
        let thread = thread::Builder::new()
            .name("frame-reader".to_owned())
            .spawn(move || shared.serve(stream, &thread_slot))?;
        Ok(AcceptedConnection {
            slot,
            socket,
            thread,
        })
    }

    fn serve(&self, mut stream: TcpStream, slot: &Mutex<Option<ConnectionHandle>>) {
        let hello = Hello {
            version: WIRE_VERSION,
            site: self.options.site.clone(),
            replica: self.options.replica,
        };
        let Ok(peer) = handshake::accept(&mut stream, &hello) else {
            shut_down(&stream, Shutdown::Both);
            return;
        };
        if configure_after_handshake(&stream).is_err() {
            return;
        }
        let handle = ConnectionHandle::new(stream, peer);
        *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle.clone());
        handle.run(self.handler.as_ref());
    }
}

fn refuse(mut stream: TcpStream, limit: u32) {
    if stream.set_read_timeout(Some(REFUSAL_TIMEOUT)).is_err() {
        return;
    }
    // Sending the reason is best effort; the connection is closed in any case.
    let _ = handshake::refuse(&mut stream, ConnectionRefusal::TooManyConnections { limit });
    shut_down(&stream, Shutdown::Both);
}

/// Lets all connections write their queued frames, for at most [`DRAIN_TIMEOUT`].
fn drain_connections(connections: &[AcceptedConnection]) {
    for accepted in connections {
        let slot = accepted.slot.lock();
        if let Some(handle) = slot.unwrap_or_else(PoisonError::into_inner).as_ref() {
            handle.finish();
        }
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    let all_ended = || {
        connections
            .iter()
            .all(|accepted| accepted.thread.is_finished())
    };
    while !all_ended() && Instant::now() < deadline {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
