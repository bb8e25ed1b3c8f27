//! Settings of a runner.

use crate::cache_moves::CacheMoveCosts;
use std::time::Duration;
use wingshore_types::NodeId;

/// Policy for second attempts of stragglers on another engine. The first attempt to finish wins;
/// the other one is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondAttemptPolicy {
    /// Minimum running time of an attempt before its sample gets a second one. Second attempts
    /// start only while no sample waits for a slot.
    pub min_running_time: Duration,
    /// Maximum number of samples with two attempts at the same time.
    pub max_samples: u32,
}

/// Settings of a [`crate::RolloutRunner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// The node on which the runner runs.
    pub node: NodeId,
    /// Random ID of this start of the node; part of request IDs and leases.
    pub boot_id: u64,
    /// Maximum number of leased samples, running or waiting for a slot.
    pub max_leased_samples: u32,
    /// Timeout for the first event of a stream, after which it is cancelled; covers queueing on the
    /// engine.
    pub first_event_timeout: Duration,
    /// Timeout for each further event of a stream, after which it is cancelled and its sample
    /// resumed on another engine.
    pub stall_timeout: Duration,
    /// Time that attempts on a leaving engine may run before they are moved.
    pub leaving_grace: Duration,
    /// Cost estimates that decide whether attempts on a leaving engine move with their KV cache.
    pub cache_moves: CacheMoveCosts,
    /// Policy for second attempts of stragglers; `None` disables them.
    pub second_attempts: Option<SecondAttemptPolicy>,
    /// Maximum number of samples that are scored concurrently.
    pub score_concurrency: u32,
    /// Time that attempts may continue after a planned stop begins.
    pub stop_limit: Duration,
}

impl RolloutSettings {
    /// Creates the default settings.
    pub fn new(node: NodeId, boot_id: u64) -> Self {
        Self {
            node,
            boot_id,
            max_leased_samples: 512,
            first_event_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(5),
            leaving_grace: Duration::from_secs(2),
            cache_moves: CacheMoveCosts::default(),
            second_attempts: None,
            score_concurrency: 32,
            stop_limit: Duration::from_secs(5),
        }
    }
}
