//! Counts of concurrent fetches from weight stores. A store may serve the pools of several
//! services, and its limit applies to all of them together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of engines, over all services, that fetch from each store now.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreFetches {
    by_store: BTreeMap<SocketAddr, usize>,
}

impl StoreFetches {
    /// Counts a fetch from a store.
    pub(super) fn add(&mut self, store: SocketAddr) {
        *self.by_store.entry(store).or_default() += 1;
    }

    /// Returns the number of fetches from `store` in progress.
    pub(super) fn count(&self, store: SocketAddr) -> usize {
        self.by_store.get(&store).copied().unwrap_or(0)
    }
}
