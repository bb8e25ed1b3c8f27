//! What is to be executed: a parsed request, its claim and its limits. Which group holds a key is
//! computed here, alike on every node.

use fnv::FnvHasher;
use std::hash::Hasher;
use std::time::Duration;
use wingshore_routing::RouteRequest;
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::{ClaimKey, Claimant};

/// The claim that a request with an idempotency key makes before its first byte leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The group that holds the key.
    pub group: GroupId,
    /// The key.
    pub key: ClaimKey,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// This execution, unique for all time.
    pub claimant: Claimant,
}

/// One caller's request, parsed and valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpecification {
    /// Service, class, deadline and whether it may be repeated. A request with a claim is never
    /// repeated, whatever this says.
    pub route: RouteRequest,
    /// The claim, when the caller gave an idempotency key.
    pub claim: Option<ClaimIntent>,
}

impl RequestSpecification {
    /// Whether it must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.route.no_repeat || self.claim.is_some()
    }
}

/// Limits of one execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionLimits {
    /// Most attempts, the first one included; 3 unless set.
    pub attempts: u32,
    /// Longest time to wait for a free slot before the request is refused; 100 ms unless set.
    pub slot_wait: Duration,
    /// Time between two polls for a free slot; 5 ms unless set.
    pub slot_poll: Duration,
    /// Backoff before the second attempt, doubled for each further one; 5 ms unless set.
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

/// The claims group that holds `key` when keys are spread over `shards` groups.
pub fn claims_group(key: &ClaimKey, shards: u16) -> GroupId {
    // FNV-1a, which every node computes alike.
    let mut hasher = FnvHasher::default();
    for part in [key.service.as_bytes(), &[0], key.key.as_bytes()] {
        hasher.write(part);
    }
    GroupId::claims_for(hasher.finish(), shards)
}
