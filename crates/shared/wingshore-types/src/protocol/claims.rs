//! Requests to a claims group: idempotency keys, claimed before the first byte leaves for a back
//! end, so that a key never runs twice through any node.

use crate::ids::NodeId;
use serde::{Deserialize, Serialize};

/// A caller's idempotency key, with the service it is meant for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service or model the request is for.
    pub service: String,
    /// The caller's key.
    pub key: String,
}

/// Who holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// The node.
    pub node: NodeId,
    /// Its boot.
    pub boot_id: u64,
    /// The attempt, unique within the boot.
    pub attempt: u64,
}

/// An answer kept for repeats of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`.
    pub content_type: String,
    /// Body, whole.
    #[serde(with = "crate::protocol::byte_vector")]
    pub body: Vec<u8>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// Truly not run: the key is free again.
    NotRun,
    /// Answered; kept for repeats. `None` when the answer was too large to keep.
    Answered(Option<StoredAnswer>),
    /// Nobody knows; the key stays taken.
    Unknown,
}

/// A request to a claims group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsRequest {
    /// Claims a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Hash of method, path and body: a key reused for another request is refused.
        fingerprint: u64,
        /// Who.
        claimant: Claimant,
    },
    /// Ends a claim.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Who; only the claimant itself may.
        claimant: Claimant,
        /// How it ended.
        outcome: ClaimOutcome,
    },
}

/// A claims group's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsReply {
    /// The key is the claimant's: it may send.
    Granted,
    /// Another attempt is in flight, or ended without anyone knowing how: may have run.
    Taken {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It ran; here is its answer, where kept.
    Answered(Option<StoredAnswer>),
    /// The key was used for another request.
    Mismatch,
    /// Too many keys are kept; not run.
    Full {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Settled.
    Settled,
}
