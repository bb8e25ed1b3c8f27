//! Settings of a runner.

use crate::cache_moves::CacheMoveCosts;
use std::time::Duration;
use wingshore_types::NodeId;

/// When a straggler gets a second attempt on another engine. The first to finish wins and the
/// other one is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverIssue {
    /// Only attempts that have run for so long, and only while no sample waits for a slot.
    pub after: Duration,
    /// Most samples with two attempts at once.
    pub most: u32,
}

/// Settings of a [`crate::RolloutRunner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// The node it runs on.
    pub node: NodeId,
    /// Drawn at each start of the node; its request ids and leases carry it.
    pub boot_id: u64,
    /// Most samples running or waiting for a slot at once.
    pub window_most: u32,
    /// Most samples asked for by one lease request.
    pub lease_batch: u32,
    /// Pause before asking again when the ledger had nothing.
    pub poll_interval: Duration,
    /// Pause before a failed request to the ledger or the scorer is sent again.
    pub retry_pause: Duration,
    /// The engine's limit for one attempt.
    pub stream_deadline: Duration,
    /// A stream without its first event for so long is given up: the engine may queue it.
    pub first_event_timeout: Duration,
    /// A stream without a further event for so long is given up and resumed elsewhere.
    pub stall_timeout: Duration,
    /// Priority of rollouts on engines; higher goes first.
    pub priority: i32,
    /// How long attempts on a leaving engine may go on before they are moved.
    pub leaving_grace: Duration,
    /// When attempts on a leaving engine move with their KV cache; `None` for never.
    pub cache_moves: Option<CacheMoveCosts>,
    /// Second attempts of stragglers; `None` for none.
    pub over_issue: Option<OverIssue>,
    /// Most samples at the scorer at once.
    pub score_concurrency: u32,
    /// The scorer's limit for one answer.
    pub score_timeout: Duration,
    /// Requests to the scorer for one sample, before it is left to another node.
    pub score_attempts: u32,
    /// How long a planned stop lets attempts go on.
    pub stop_limit: Duration,
}

impl RolloutSettings {
    /// The usual settings.
    pub fn new(node: NodeId, boot_id: u64) -> Self {
        Self {
            node,
            boot_id,
            window_most: 512,
            lease_batch: 64,
            poll_interval: Duration::from_millis(100),
            retry_pause: Duration::from_millis(200),
            stream_deadline: Duration::from_secs(600),
            first_event_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(5),
            priority: 0,
            leaving_grace: Duration::from_secs(2),
            cache_moves: Some(CacheMoveCosts::default()),
            over_issue: None,
            score_concurrency: 32,
            score_timeout: Duration::from_secs(5),
            score_attempts: 4,
            stop_limit: Duration::from_secs(5),
        }
    }
}
