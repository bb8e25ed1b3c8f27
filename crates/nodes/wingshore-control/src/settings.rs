//! Times and limits of the leader's part, with their defaults.
//!
//! Replicas set the lease, the clock drift and the times of orders and polls from their own
//! settings; all other values are the defaults in this file.

use std::time::Duration;
use wingshore_types::configuration::Permille;

/// Times and limits of [`crate::ControlLeader`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// How long a node may act on its configuration, counted from when it sends a watch.
    pub lease: Duration,
    /// Most that a node's clock may lag behind the leader's during a lease, as a share of the
    /// lease.
    pub clock_drift: Permille,
    /// Longest time a watch is held open; well below the lease, so that a node can lose one watch
    /// and still renew its lease in time.
    pub max_watch: Duration,
    /// Time after which an unanswered order is sent again, under the same fence.
    pub order_timeout: Duration,
    /// Longest time between two attempts to send an unanswered order.
    pub max_order_backoff: Duration,
    /// Time after which an accepted swap without a result counts as failed.
    pub swap_timeout: Duration,
    /// Backoff after the first failed swap of an engine; doubles with each further failure.
    pub swap_backoff: Duration,
    /// Longest backoff between two swaps of a failing engine.
    pub max_swap_backoff: Duration,
    /// Consecutive failed swaps after which a plan no longer waits for an engine: the plan skips
    /// the engine or, when many engines fail, stops.
    pub max_swap_failures: u32,
    /// Time without any answer after which an engine counts as unreachable.
    pub unreachable_after: Duration,
    /// Time between two polls of an engine's state.
    pub poll_interval: Duration,
    /// Time after which an unanswered poll may be repeated.
    pub poll_timeout: Duration,
    /// Most polls of state per second over all engines; bounds the CPU time that polls cost the
    /// leader.
    pub polls_per_second: u32,
    /// How long a server must report nothing in flight before it counts as idle: requests may
    /// still be on their way to it.
    pub idle_for: Duration,
    /// Largest share of a service's engines that swaps may make unavailable at once.
    pub max_away_share: Permille,
    /// Most engines that fetch from one weight store at once: a store can serve no more.
    pub fetches_per_store: u32,
    /// Most engines that fetch from one other engine at once.
    pub fetches_per_engine: u32,
    /// Fewest engines of a service at which its engines also fetch weights from engines that have
    /// them: the number of sources then triples with each round.
    pub fan_out_min_engines: u32,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            clock_drift: Permille(50),
            max_watch: Duration::from_millis(2_000),
            order_timeout: Duration::from_secs(2),
            max_order_backoff: Duration::from_secs(30),
            swap_timeout: Duration::from_secs(120),
            swap_backoff: Duration::from_secs(1),
            max_swap_backoff: Duration::from_secs(60),
            max_swap_failures: 5,
            unreachable_after: Duration::from_secs(10),
            poll_interval: Duration::from_millis(500),
            poll_timeout: Duration::from_secs(2),
            polls_per_second: 2_000,
            idle_for: Duration::from_secs(1),
            max_away_share: Permille(250),
            fetches_per_store: 4,
            fetches_per_engine: 2,
            fan_out_min_engines: 64,
        }
    }
}

impl LeaderSettings {
    /// Returns a node's lease as the leader counts it from the arrival of the watch, with a margin
    /// for clock drift: it never ends before the node's own count.
    pub fn lease_with_margin(&self) -> Duration {
        let margin = self.lease * u32::from(self.clock_drift.0) / u32::from(Permille::WHOLE.0);
        self.lease + margin
    }
}
