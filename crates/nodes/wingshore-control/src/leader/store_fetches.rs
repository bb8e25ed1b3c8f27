//! Fetches from weight stores. A store may serve the pools of several services, and its limit
//! holds for all of them together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How many engines, of all services, fetch from each store now.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreFetches {
    by_store: BTreeMap<SocketAddr, usize>,
}

impl StoreFetches {
    /// Counts a fetch from a store.
    pub(super) fn add(&mut self, store: SocketAddr) {
        *self.by_store.entry(store).or_default() += 1;
    }

    /// How many fetches from `store` go on.
    pub(super) fn count(&self, store: SocketAddr) -> usize {
        self.by_store.get(&store).copied().unwrap_or(0)
    }
}
