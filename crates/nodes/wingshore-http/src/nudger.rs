//! Frees connections that the HTTP library has accepted and left without a thread.
//!
//! Its pool of threads counts a thread as waiting until that thread has woken up. Connections that
//! are accepted meanwhile are queued for it and then wait until some other connection ends, which
//! callers that keep theirs may never do. Each further connection makes one thread look at that
//! queue, so a server connects to itself: once for each new caller, because connections come in
//! bursts, and now and then besides.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use socket2::SockRef;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Nudges that wait; more would be of no use at the same moment.
const QUEUE: usize = 1024;
/// A nudge without cause comes after this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Between two nudges, so that a flood of connections is not doubled.
const SHORTEST_PAUSE: Duration = Duration::from_millis(2);
/// Longest time for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Most callers that are remembered; a forgotten one costs a nudge.
const MOST_CALLERS: usize = 8192;

/// Connects to the process's own server; see the module's page.
pub struct Nudger {
    nudges: Sender<()>,
    known: Mutex<BTreeSet<SocketAddr>>,
}

/// The thread that nudges; ends when its [`Nudger`] has gone.
pub struct NudgerThread(JoinHandle<()>);

impl Nudger {
    /// Starts nudging the server at `address`.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(address: SocketAddr) -> io::Result<(Self, NudgerThread)> {
        let (nudges, wanted) = bounded(QUEUE);
        let thread = thread::Builder::new()
            .name("nudge".to_owned())
            .spawn(move || run(address, &wanted))?;
        let nudger = Self {
            nudges,
            known: Mutex::default(),
        };
        Ok((nudger, NudgerThread(thread)))
    }

    /// A request came from `caller`.
    pub fn on_request(&self, caller: Option<&SocketAddr>) {
        let Some(caller) = caller else {
            return;
        };
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MOST_CALLERS {
            known.clear();
        }
        if known.insert(*caller) {
            match self.nudges.try_send(()) {
                Ok(()) | Err(TrySendError::Full(()) | TrySendError::Disconnected(())) => {}
            }
        }
    }
}

impl NudgerThread {
    /// Waits for its end.
    pub fn join(self) {
        // A panic was reported when it happened.
        let _ = self.0.join();
    }
}

fn run(address: SocketAddr, wanted: &Receiver<()>) {
    loop {
        match wanted.recv_timeout(LONGEST_PAUSE) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => nudge(address),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        thread::sleep(SHORTEST_PAUSE);
    }
}

/// Connects and lets go. Without lingering no closed connection is kept by the system.
fn nudge(address: SocketAddr) {
    // Where no connection can be made, callers cannot make one either.
    if let Ok(connection) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        let _ = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
    }
}
