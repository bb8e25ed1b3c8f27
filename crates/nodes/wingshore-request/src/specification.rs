//! Specification of an execution: the parsed request, its claim and its limits. Also maps
//! idempotency keys to claims groups, identically on every node.

use fnv::FnvHasher;
use std::hash::Hasher;
use std::time::Duration;
use wingshore_routing::RouteRequest;
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::{ClaimKey, Claimant};

/// The claim that a request with an idempotency key makes before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The claims group that owns the key.
    pub group: GroupId,
    /// The idempotency key with its service.
    pub key: ClaimKey,
    /// Hash of method, path and body; detects reuse of the key for a different request.
    pub fingerprint: u64,
    /// Globally unique identity of this execution.
    pub claimant: Claimant,
}

/// A parsed and validated request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpecification {
    /// Service, class, deadline and whether the request may be repeated. A request with a claim is
    /// treated as non-repeatable regardless of `no_repeat`.
    pub route: RouteRequest,
    /// The claim, if the caller supplied an idempotency key.
    pub claim: Option<ClaimIntent>,
}

impl RequestSpecification {
    /// Returns whether the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.route.no_repeat || self.claim.is_some()
    }
}

/// Limits on the attempts and waits of one execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionLimits {
    /// Maximum number of attempts, including the first; 3 by default.
    pub attempts: u32,
    /// Maximum time to wait for a free slot before the request is refused; 100 ms by default.
    pub slot_wait: Duration,
    /// Interval between polls for a free slot; 5 ms by default.
    pub slot_poll: Duration,
    /// Backoff before the second attempt, doubled for each further one; 5 ms by default.
    pub backoff: Duration,
}

impl Default for ExecutionLimits {
    fn default() -> Self {
        Self {
            attempts: 3,
            slot_wait: Duration::from_millis(100),
            slot_poll: Duration::from_millis(5),
            backoff: Duration::from_millis(5),
        }
    }
}

/// Returns the claims group that owns `key` when keys are distributed over `shards` groups.
pub fn claims_group(key: &ClaimKey, shards: u16) -> GroupId {
    // FNV-1a is unseeded, so every node computes the same group.
    let mut hasher = FnvHasher::default();
    for part in [key.service.as_bytes(), &[0], key.key.as_bytes()] {
        hasher.write(part);
    }
    GroupId::claims_for(hasher.finish(), shards)
}
