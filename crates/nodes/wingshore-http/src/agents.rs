//! Agents by server.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use ureq::Agent;

/// Agents of one pool.
const SHARDS: u64 = 128;

/// Several agents, each for a part of all servers. The work that the library's pool does for each
/// request grows with the square of its idle connections; so each pool stays small.
#[derive(Clone, Debug)]
pub struct AgentPool {
    shards: Arc<[Agent]>,
}

impl AgentPool {
    /// A pool of agents that `make` makes; the limits of each hold for its part of the servers.
    pub fn new(make: impl Fn() -> Agent) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| make()).collect(),
        }
    }

    /// The agent for a server; always the same.
    pub fn agent(&self, server: SocketAddr) -> &Agent {
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        &self.shards[(hasher.finish() % SHARDS) as usize]
    }
}
