//! Connections whose further bytes cannot be told apart into requests.
//!
//! After a request whose body has no reliable length, the rest of that body would be taken for
//! the next request of the same connection. The HTTP library cannot be told to close it, so what
//! comes on it is refused.

use crate::state::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A connection from the same address and port this much later is another one.
const MEMORY: Duration = Duration::from_secs(60);
/// Most connections that are remembered.
const MOST: usize = 4096;

/// Connections that are not to be trusted any more.
#[derive(Debug, Default)]
pub struct DistrustedConnections {
    since: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl DistrustedConnections {
    /// From now on nothing on this connection is taken for a request.
    pub fn distrust(&self, peer: SocketAddr) {
        let mut since = lock(&self.since);
        since.retain(|_, begun| begun.elapsed() < MEMORY);
        if since.len() < MOST {
            since.insert(peer, Instant::now());
        }
    }

    /// Whether what comes on this connection may be taken for a request.
    pub fn is_trusted(&self, peer: SocketAddr) -> bool {
        lock(&self.since)
            .get(&peer)
            .is_none_or(|begun| begun.elapsed() >= MEMORY)
    }
}
