//! Requests to a claims group. A node claims an idempotency key before it sends the first byte to a
//! back end, so that requests with the same key never run twice, through any node.

use crate::ids::NodeId;
use serde::{Deserialize, Serialize};

/// An idempotency key of a caller, scoped to a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service or model the request is for.
    pub service: String,
    /// The caller's key.
    pub key: String,
}

/// The holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// The node.
    pub node: NodeId,
    /// The boot id of the node.
    pub boot_id: u64,
    /// The number of the attempt, unique within the boot.
    pub attempt: u64,
}

/// An answer that is stored for repeated requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: String,
    /// The complete body.
    #[serde(with = "crate::protocol::byte_vector")]
    pub body: Vec<u8>,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request certainly did not run: the key is released.
    NotRun,
    /// The request was answered. The answer is stored for repeated requests; `None` if it was too
    /// large to store.
    Answered(Option<StoredAnswer>),
    /// The outcome is unknown; the key stays claimed.
    Unknown,
}

/// A request to a claims group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsRequest {
    /// Claims a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Hash of method, path and body, to reject a key that is reused for another request.
        fingerprint: u64,
        /// The claimant.
        claimant: Claimant,
    },
    /// Ends a claim.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The claimant; only the holder may end the claim.
        claimant: Claimant,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
}

/// A reply of a claims group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsReply {
    /// The key is granted to the claimant, which may send the request.
    Granted,
    /// Another attempt is in flight or ended with an unknown outcome: the request may have run.
    Taken {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request ran; contains its answer if it was stored.
    Answered(Option<StoredAnswer>),
    /// The key was used for another request.
    Mismatch,
    /// The group stores too many keys; the request did not run.
    Full {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The claim is settled.
    Settled,
}
