//! State of a node's connections: whether they are closing, and which of them carry bytes that
//! cannot be split into requests reliably.
//!
//! After a request whose body has no reliable length, the rest of that body would be parsed as the
//! next request of the same connection. The HTTP library cannot be made to close the connection, so
//! all later requests on it are refused.

use crate::lock::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// After this time, a connection from the same address and port is taken to be a new one.
const DISTRUST_TIME: Duration = Duration::from_secs(60);
/// Maximum number of distrusted connections that are tracked. Further ones are not distrusted.
const MAX_DISTRUSTED: usize = 4096;

/// Connection state shared by all requests of a node.
#[derive(Debug, Default)]
pub struct Connections {
    are_closing: AtomicBool,
    distrusted_since: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Connections {
    /// Makes every further answer announce that its connection closes.
    pub fn close_after_answers(&self) {
        self.are_closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether answers close their connections.
    pub fn are_closing(&self) -> bool {
        self.are_closing.load(Ordering::SeqCst)
    }

    /// Marks a connection as distrusted: later requests on it are refused.
    pub fn distrust(&self, peer: SocketAddr) {
        let mut since = lock(&self.distrusted_since);
        since.retain(|_, begun| begun.elapsed() < DISTRUST_TIME);
        if since.len() < MAX_DISTRUSTED {
            since.insert(peer, Instant::now());
        }
    }

    /// Returns whether requests on this connection may be accepted.
    pub fn is_trusted(&self, peer: SocketAddr) -> bool {
        lock(&self.distrusted_since)
            .get(&peer)
            .is_none_or(|begun| begun.elapsed() >= DISTRUST_TIME)
    }
}
