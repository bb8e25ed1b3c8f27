//! What is known of the connections of a node: whether they are to end, and which of them carry
//! bytes that cannot be told apart into requests.
//!
//! After a request whose body has no reliable length, the rest of that body would be taken for
//! the next request of the same connection. The HTTP library cannot be told to close it, so what
//! comes on it is refused.

use crate::lock::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A connection from the same address and port this much later is another one.
const DISTRUST_TIME: Duration = Duration::from_secs(60);
/// Most connections that are remembered; further ones are not distrusted.
const MAX_DISTRUSTED: usize = 4096;

/// The connections of a node.
#[derive(Debug, Default)]
pub struct Connections {
    are_closing: AtomicBool,
    distrusted_since: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Connections {
    /// From now on each answer tells its caller that the connection ends with it.
    pub fn close_after_answers(&self) {
        self.are_closing.store(true, Ordering::SeqCst);
    }

    /// Whether an answer ends its connection.
    pub fn are_closing(&self) -> bool {
        self.are_closing.load(Ordering::SeqCst)
    }

    /// From now on nothing on this connection is taken for a request.
    pub fn distrust(&self, peer: SocketAddr) {
        let mut since = lock(&self.distrusted_since);
        since.retain(|_, begun| begun.elapsed() < DISTRUST_TIME);
        if since.len() < MAX_DISTRUSTED {
            since.insert(peer, Instant::now());
        }
    }

    /// Whether what comes on this connection may be taken for a request.
    pub fn is_trusted(&self, peer: SocketAddr) -> bool {
        lock(&self.distrusted_since)
            .get(&peer)
            .is_none_or(|begun| begun.elapsed() >= DISTRUST_TIME)
    }
}
