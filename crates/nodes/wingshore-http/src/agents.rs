//! A pool of HTTP agents, partitioned by server address.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use ureq::Agent;

/// Number of agents in a pool.
const SHARD_COUNT: u64 = 128;

/// HTTP agents, each of which handles a share of the servers. The cost of a request in the
/// connection pool of the HTTP library grows with the square of the pool's idle connections, so
/// each agent's pool is kept small.
#[derive(Clone, Debug)]
pub struct AgentPool {
    shards: Arc<[Agent]>,
}

impl AgentPool {
    /// Creates a pool of agents built by `make_agent`; the limits of an agent apply to its share of
    /// the servers.
    pub fn new(make_agent: impl Fn() -> Agent) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| make_agent()).collect(),
        }
    }

    /// Returns the agent of a server, always the same one.
    pub fn agent(&self, server: SocketAddr) -> &Agent {
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        &self.shards[(hasher.finish() % SHARD_COUNT) as usize]
    }
}
