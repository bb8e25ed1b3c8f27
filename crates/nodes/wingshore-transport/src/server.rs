//! Accepts connections and keeps them within a limit.
//!
//! Owns the listener, one thread that accepts and one a connection. A connection beyond the limit
//! is refused with the reason. A failed accept, for instance without file descriptors, is repeated
//! after [`ACCEPT_RETRY`].

use crate::connection::{
    ConnectionHandle, FrameHandler, prepare_frames, prepare_handshake, shut_down,
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

/// How long a stopping server waits for its peers to take the last frames.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// Time between checks whether a stopping server's connections have ended.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Backoff after a failed accept, for instance while the process is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Longest silence of a connecting process during the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection beyond the limit may take to say hello before it is dropped. Short, since the
/// accepting thread waits for it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// How a server presents itself and what it allows.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The site that connecting processes must belong to.
    pub site: String,
    /// This process's identity, when it is a replica.
    pub replica: Option<ReplicaId>,
    /// Most connections at a time; further ones are refused.
    pub max_connections: u32,
}

/// Listens for connections and hands their frames to a handler. Dropping it stops it.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    accepting: Option<JoinHandle<()>>,
}

struct Shared {
    listener: TcpListener,
    options: ServerOptions,
    handler: Arc<dyn FrameHandler>,
    connections: Mutex<Vec<Accepted>>,
    stopping: AtomicBool,
}

/// An accepted connection; `handle` is there once its handshake is done.
struct Accepted {
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
    /// Listens on `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the address cannot be listened on.
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
        let accepting = thread::Builder::new()
            .name("frame-accept".to_owned())
            .spawn(move || accepting_shared.accept_connections())
            .context(AcceptSnafu)?;
        Ok(Self {
            shared,
            address,
            accepting: Some(accepting),
        })
    }

    /// Where it listens.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now.
    pub fn connection_count(&self) -> usize {
        let mut connections = self.shared.lock();
        connections.retain(|accepted| !accepted.thread.is_finished());
        connections.len()
    }

    /// Accepts nothing more, writes the frames that are queued, closes all connections and waits
    /// for their threads. Must not be called from a handler.
    pub fn stop(&mut self) {
        let Some(accepting) = self.accepting.take() else {
            return;
        };
        self.shared.stopping.store(true, Ordering::SeqCst);
        // Wakes the blocked accept; a listener that is gone already needs no waking.
        let _ = SockRef::from(&self.shared.listener).shutdown(Shutdown::Both);
        let _ = accepting.join();
        let connections = std::mem::take(&mut *self.shared.lock());
        finish_all(&connections);
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
    fn lock(&self) -> MutexGuard<'_, Vec<Accepted>> {
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
                Ok((stream, _)) => self.take_in(stream),
                Err(_) if self.is_stopping() => return,
                Err(_) => thread::sleep(ACCEPT_RETRY),
            }
        }
    }

    fn take_in(self: &Arc<Self>, stream: TcpStream) {
        if prepare_handshake(&stream, HANDSHAKE_TIMEOUT).is_err() {
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
        // Without memory or threads the connection is dropped; the peer retries.
        if let Ok(accepted) = self.spawn(stream) {
            connections.push(accepted);
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream) -> io::Result<Accepted> {
        let socket = stream.try_clone()?;
        let slot = Arc::new(Mutex::new(None));
        let shared = Arc::clone(self);
        let filled = Arc::clone(&slot);
        let thread = thread::Builder::new()
            .name("frame-reader".to_owned())
            .spawn(move || shared.serve(stream, &filled))?;
        Ok(Accepted {
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
        if prepare_frames(&stream).is_err() {
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
    // The peer learns the reason where it can; it is refused in any case.
    let _ = handshake::refuse(&mut stream, ConnectionRefusal::TooManyConnections { limit });
    shut_down(&stream, Shutdown::Both);
}

/// Lets all connections write what is queued, for at most [`DRAIN_LIMIT`].
fn finish_all(connections: &[Accepted]) {
    for accepted in connections {
        let slot = accepted.slot.lock();
        if let Some(handle) = slot.unwrap_or_else(PoisonError::into_inner).as_ref() {
            handle.finish();
        }
    }
    let deadline = Instant::now() + DRAIN_LIMIT;
    let all_ended = || {
        connections
            .iter()
            .all(|accepted| accepted.thread.is_finished())
    };
    while !all_ended() && Instant::now() < deadline {
        thread::sleep(DRAIN_POLL);
    }
}
