//! Unblocks connections that the HTTP server library has accepted but not assigned to a thread.
//!
//! The thread pool of the library counts a thread as idle until that thread has woken up.
//! Connections accepted in the meantime are queued for it and then wait until another connection
//! ends, which may never happen with keep-alive connections. Each new connection makes one thread
//! check the queue, so the server connects to itself (a nudge): once for each new caller, because
//! connections arrive in bursts, and also periodically.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use socket2::SockRef;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Maximum number of queued nudges; more at the same time would have no effect.
const MAX_QUEUED_NUDGES: usize = 1024;
/// Interval of periodic nudges while there are no new callers.
const NUDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum delay between two nudges, so that they do not double a burst of connections.
const MIN_NUDGE_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of remembered callers; a forgotten caller only costs another nudge.
const MAX_REMEMBERED_CALLERS: usize = 8192;

/// Requests connections to the process's own server, which unblock queued connections.
pub struct Nudger {
    nudges: Sender<()>,
    known_callers: Mutex<BTreeSet<SocketAddr>>,
}

/// The thread that connects to the server; ends when its [`Nudger`] is dropped.
pub struct NudgerThread(JoinHandle<()>);

impl Nudger {
    /// Starts the thread that connects to the server at `address`.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(address: SocketAddr) -> io::Result<(Self, NudgerThread)> {
        let (nudges, requests) = bounded(MAX_QUEUED_NUDGES);
        let thread = thread::Builder::new()
            .name("nudge".to_owned())
            .spawn(move || run(address, &requests))?;
        let nudger = Self {
            nudges,
            known_callers: Mutex::default(),
        };
        Ok((nudger, NudgerThread(thread)))
    }

    /// Records a request from `caller`; requests a nudge if the caller is new.
    pub fn on_request(&self, caller: Option<&SocketAddr>) {
        let Some(caller) = caller else {
            return;
        };
        let mut known_callers = self
            .known_callers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if known_callers.len() >= MAX_REMEMBERED_CALLERS {
            known_callers.clear();
        }
        if known_callers.insert(*caller) {
            match self.nudges.try_send(()) {
                Ok(()) | Err(TrySendError::Full(()) | TrySendError::Disconnected(())) => {}
            }
        }
    }
}

impl NudgerThread {
    /// Waits for the thread to end.
    pub fn join(self) {
        // A panic has already been reported by the panic hook.
        let _ = self.0.join();
    }
}

fn run(address: SocketAddr, requests: &Receiver<()>) {
    loop {
        match requests.recv_timeout(NUDGE_INTERVAL) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => nudge(address),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        thread::sleep(MIN_NUDGE_INTERVAL);
    }
}

/// Connects and closes the connection at once. A linger time of zero avoids the TIME_WAIT state.
fn nudge(address: SocketAddr) {
    // If this connection fails, callers cannot connect either.
    if let Ok(connection) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        let _ = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
    }
}
