//! A connection to a replica that is reopened whenever it is lost.

use crate::connection::{ConnectionHandle, FrameHandler};
use crate::error::{ConnectError, ThreadSnafu};
use crate::outgoing::{ConnectOptions, Connection};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_types::protocol::wire::Frame;
use wingshore_types::{GroupId, ReplicaId};

/// Timeout for connecting, and for each read and write of the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff after the first failed attempt; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Options of a [`Peer`].
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Replica expected at the address. A replica that returned with another id is another member.
    pub expected: Option<ReplicaId>,
    /// Site that both processes must belong to.
    pub site: String,
    /// Replica id of this process, if it is a replica.
    pub replica: Option<ReplicaId>,
    /// Seed of the jitter of backoffs.
    pub seed: u64,
}

/// An outgoing connection to a replica that reconnects automatically. Frames are dropped while it
/// is disconnected or its queue is full, since consensus retransmits its messages. Dropping the
/// peer stops it.
#[derive(Debug)]
pub struct Peer {
    shared: Arc<Shared>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    stopping: bool,
    current: Option<ConnectionHandle>,
    last_error: Option<String>,
}

impl Peer {
    /// Starts connecting in the background. Received frames are passed to `handler`: a replica that
    /// does not know the address of this process yet replies on the connection of the request.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(
        options: PeerOptions,
        handler: Arc<dyn FrameHandler>,
    ) -> Result<Self, ConnectError> {
        let shared = Arc::new(Shared::default());
        let address = options.address;
        let running = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("peer-connect".to_owned())
            .spawn(move || running.keep_connected(&options, &handler))
            .context(ThreadSnafu)?;
        Ok(Self {
            shared,
            address,
            thread: Some(thread),
        })
    }

    /// Returns the address of the replica.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is open.
    pub fn is_connected(&self) -> bool {
        self.shared.lock().current.is_some()
    }

    /// Returns why the last attempt to connect failed; `None` while connected.
    pub fn last_error(&self) -> Option<String> {
        self.shared.lock().last_error.clone()
    }

    /// Queues a consensus message; returns whether it was queued rather than dropped.
    pub fn send_consensus(&self, group: GroupId, message: Vec<u8>) -> bool {
        self.send(&Frame::Consensus { group, message })
    }

    /// Queues any frame; returns whether it was queued rather than dropped.
    pub fn send(&self, frame: &Frame) -> bool {
        let current = self.shared.lock().current.clone();
        current.is_some_and(|connection| connection.send(frame).is_ok())
    }

    /// Stops reconnecting, closes the connection and waits for its threads.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
        // If the thread panicked, its connection is already closed.
        let _ = thread.join();
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keep_connected(self: &Arc<Self>, options: &PeerOptions, frames: &Arc<dyn FrameHandler>) {
        let mut generator = StdRng::seed_from_u64(options.seed);
        let mut backoff = INITIAL_BACKOFF;
        let connect_options = ConnectOptions {
            site: options.site.clone(),
            replica: options.replica,
            expected: options.expected,
            timeout: CONNECT_TIMEOUT,
        };
        while !self.lock().stopping {
            let handler = Arc::new(PeerFrameHandler {
                peer: Arc::clone(self),
                frames: Arc::clone(frames),
            });
            match Connection::open(options.address, &connect_options, handler) {
                Ok(connection) => {
                    self.use_until_lost(&connection);
                    backoff = INITIAL_BACKOFF;
                }
                Err(error) => self.lock().last_error = Some(error.to_string()),
            }
            self.back_off(backoff.mul_f64(generator.random_range(0.5..1.0)));
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Makes the connection available to senders until it is lost or the peer is stopped.
    fn use_until_lost(&self, connection: &Connection) {
        let mut state = self.lock();
        state.current = Some(connection.handle().clone());
        state.last_error = None;
        let mut state = self
            .changed
            .wait_while(state, |state| !state.stopping && !connection.is_closed())
            .unwrap_or_else(PoisonError::into_inner);
        state.current = None;
    }

    fn back_off(&self, duration: Duration) {
        let state = self.lock();
        let waited = self
            .changed
            .wait_timeout_while(state, duration, |state| !state.stopping);
        drop(waited);
    }
}

/// Forwards frames, and wakes the connecting thread once its connection is lost.
struct PeerFrameHandler {
    peer: Arc<Shared>,
    frames: Arc<dyn FrameHandler>,
}

impl FrameHandler for PeerFrameHandler {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        self.frames.on_frame(connection, frame);
    }

    fn on_closed(&self, connection: &ConnectionHandle) {
        self.frames.on_closed(connection);
        // Taking the lock prevents a lost wakeup: a concurrent check of the closed flag completes
        // first.
        drop(self.peer.lock());
        self.peer.changed.notify_all();
    }
}
