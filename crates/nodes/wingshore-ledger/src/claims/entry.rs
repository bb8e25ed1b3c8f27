//! One claimed key.

use serde::{Deserialize, Serialize};
use wingshore_types::protocol::claims::{ClaimKey, Claimant, StoredAnswer};

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Status {
    /// The claimant may have sent it.
    InFlight,
    /// It ran.
    Answered(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
    /// It did not run: any other attempt may claim the key. Kept for a short time, so that a
    /// late copy of the ended attempt's claim is not taken for a new one.
    Freed,
}

/// A key that is remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) fingerprint: u64,
    pub(super) claimant: Claimant,
    pub(super) status: Status,
    /// When it may be forgotten, in committed milliseconds.
    pub(super) expires_ms: u64,
}

impl Entry {
    /// About how many bytes it takes in memory, the key included.
    pub(super) fn bytes(&self, key: &ClaimKey) -> u64 {
        /// Map nodes, counters and string headers; the key stands in two maps.
        const FIXED: usize = 320;
        let answer = match &self.status {
            Status::Answered(Some(answer)) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        };
        let key = 2 * (key.service.len() + key.key.len());
        (FIXED + key + self.claimant.node.as_str().len() + answer) as u64
    }
}
