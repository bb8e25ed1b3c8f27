//! Connection pool: one connection per replica, opened on first use and shared by all calls.

use crate::lock::lock;
use crate::multiplexed::MultiplexedConnection;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_transport::ConnectOptions;

/// Timeout for connecting, and for each read and write of the handshake. Shorter than the longest
/// attempt, so that time remains to try another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// How long a failure to connect is returned to further calls without a new attempt.
const FAILURE_CACHE_TIME: Duration = Duration::from_millis(20);

/// Connections by address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    options: ConnectOptions,
    slots: Mutex<BTreeMap<SocketAddr, Arc<Slot>>>,
}

/// The connection to one address.
#[derive(Debug)]
struct Slot {
    address: SocketAddr,
    state: Mutex<SlotState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct SlotState {
    closed: bool,
    connection: Option<Arc<MultiplexedConnection>>,
    connect_thread: Option<JoinHandle<()>>,
    connecting: bool,
    failure: Option<Failure>,
}

#[derive(Clone, Debug)]
struct Failure {
    at: Instant,
    reason: String,
}

impl ConnectionPool {
    /// Creates an empty pool for connections to processes of `site`.
    pub(crate) fn new(site: &str) -> Self {
        Self {
            options: ConnectOptions::new(site, CONNECT_TIMEOUT),
            slots: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the connection to `address`; opens it if needed and waits for it until `deadline`.
    ///
    /// # Errors
    /// The reason, if no connection is open by `deadline`.
    pub(crate) fn get(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<MultiplexedConnection>, String> {
        let slot = self.slot(address);
        slot.get(&self.options, deadline)
    }

    /// Closes all connections, including those still being opened, and waits for their threads.
    pub(crate) fn close(&self) {
        let slots: Vec<_> = lock(&self.slots).values().cloned().collect();
        for slot in slots {
            slot.close();
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        let mut slots = lock(&self.slots);
        let slot = slots.entry(address).or_insert_with(|| {
            Arc::new(Slot {
                address,
                state: Mutex::default(),
                changed: Condvar::new(),
            })
        });
        Arc::clone(slot)
    }
}

impl Drop for ConnectionPool {
    fn drop(&mut self) {
        self.close();
    }
}

impl Slot {
    fn get(
        self: &Arc<Self>,
        options: &ConnectOptions,
        deadline: Instant,
    ) -> Result<Arc<MultiplexedConnection>, String> {
        let mut state = lock(&self.state);
        if let Some(connection) = state.live_connection() {
            return Ok(connection);
        }
        if !state.connecting {
            if let Some(reason) = state.recent_failure() {
                return Err(reason);
            }
            self.start_connecting(&mut state, options)?;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, remaining, |state| state.connecting)
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = state.live_connection() {
            return Ok(connection);
        }
        let failure = state.failure.as_ref().map(|failure| failure.reason.clone());
        Err(failure.unwrap_or_else(|| "not connected in time".to_owned()))
    }

    /// Connects on a separate thread, so that each call waits only until its own deadline.
    fn start_connecting(
        self: &Arc<Self>,
        state: &mut SlotState,
        options: &ConnectOptions,
    ) -> Result<(), String> {
        if state.closed {
            return Err("the client is closed".to_owned());
        }
        let slot = Arc::clone(self);
        let options = options.clone();
        let connect_thread = thread::Builder::new()
            .name("client-connect".to_owned())
            .spawn(move || slot.connect(&options))
            .map_err(|error| error.to_string())?;
        // An earlier connecting thread has finished, since `connecting` was false.
        state.connect_thread = Some(connect_thread);
        state.connecting = true;
        state.connection = None;
        Ok(())
    }

    fn connect(&self, options: &ConnectOptions) {
        let outcome = MultiplexedConnection::open(self.address, options);
        let mut state = lock(&self.state);
        state.connecting = false;
        match outcome {
            Ok(connection) if state.closed => connection.close(),
            Ok(connection) => {
                state.connection = Some(Arc::new(connection));
                state.failure = None;
            }
            Err(error) => {
                let at = Instant::now();
                let reason = error.to_string();
                state.failure = Some(Failure { at, reason });
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        let connection = state.connection.take();
        let connect_thread = state.connect_thread.take();
        drop(state);
        if let Some(connection) = connection {
            connection.close();
        }
        if let Some(connect_thread) = connect_thread {
            // A connecting thread that panicked left no connection to close.
            let _ = connect_thread.join();
        }
    }
}

impl SlotState {
    fn live_connection(&mut self) -> Option<Arc<MultiplexedConnection>> {
        let live = self.connection.as_ref().filter(|open| !open.is_closed());
        live.cloned()
    }

    fn recent_failure(&self) -> Option<String> {
        let failure = self.failure.as_ref()?;
        let recent = failure.at.elapsed() < FAILURE_CACHE_TIME;
        recent.then(|| failure.reason.clone())
    }
}
