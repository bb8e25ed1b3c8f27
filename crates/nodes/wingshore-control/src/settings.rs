//! Times and limits of the leader's part, with their defaults.
//!
//! Replicas set the lease, the drift, the times of orders and polls from their settings; the rest
//! are the defaults below.

use std::time::Duration;
use wingshore_types::configuration::Permille;

/// Times and limits of [`crate::ControlLeader`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// How long a node may act on its configuration, counted from its sending of a watch.
    pub lease: Duration,
    /// By how much a node's clock may run slower than the leader's, as a share of the lease.
    pub clock_drift: Permille,
    /// Longest time a watch is held open; well below the lease, so that a lost watch costs no lease.
    pub max_watch: Duration,
    /// Time after which an unanswered order is sent again, under the same fence.
    pub order_timeout: Duration,
    /// Longest time between two sendings of an unanswered order.
    pub max_order_backoff: Duration,
    /// Time after which an accepted swap without result counts as failed.
    pub swap_timeout: Duration,
    /// Wait after the first failed swap of an engine; doubles with each further one.
    pub swap_backoff: Duration,
    /// Longest wait between two swaps of a failing engine.
    pub max_swap_backoff: Duration,
    /// Failed swaps in a row after which a plan waits for an engine no longer: it passes it over
    /// or, when many engines fail, stops.
    pub swap_failures_that_stop_a_plan: u32,
    /// Time without any answer after which an engine counts as unreachable.
    pub unreachable_after: Duration,
    /// Time between two polls of an engine's state.
    pub poll_interval: Duration,
    /// Time after which an unanswered poll may be repeated.
    pub poll_timeout: Duration,
    /// Most polls of state in a second, over all engines. They cost the leader processor time.
    pub polls_per_second: u32,
    /// How long a server must report nothing in flight before it counts as idle: requests may
    /// still be on their way to it.
    pub idle_for: Duration,
    /// Largest share of a service's engines that swaps may take away at once.
    pub away_share: Permille,
    /// Most engines that fetch from one weight store at once: what a store bears.
    pub fetches_per_store: u32,
    /// Most engines that fetch from one other engine at once.
    pub fetches_per_engine: u32,
    /// Services with at least this many engines also fetch weights from engines that have them:
    /// sources then grow threefold a round.
    pub fan_out_from_engines: u32,
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
            swap_failures_that_stop_a_plan: 5,
            unreachable_after: Duration::from_secs(10),
            poll_interval: Duration::from_millis(500),
            poll_timeout: Duration::from_secs(2),
            polls_per_second: 2_000,
            idle_for: Duration::from_secs(1),
            away_share: Permille(250),
            fetches_per_store: 4,
            fetches_per_engine: 2,
            fan_out_from_engines: 64,
        }
    }
}

impl LeaderSettings {
    /// A node's lease as the leader counts it, from the arrival of the watch: never ends before
    /// the node's own count.
    pub fn counted_lease(&self) -> Duration {
        let margin = self.lease * u32::from(self.clock_drift.0) / u32::from(Permille::WHOLE.0);
        self.lease + margin
    }
}
