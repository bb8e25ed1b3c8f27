//! State of a claimed key.

use serde::{Deserialize, Serialize};
use wingshore_types::protocol::claims::{ClaimKey, Claimant, StoredAnswer};

/// Status of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Status {
    /// Granted and not settled: the claimant may have sent the request.
    InFlight,
    /// The request ran. Holds the answer if one was stored.
    Answered(Option<StoredAnswer>),
    /// The claimant does not know whether the request ran.
    Unknown,
    /// The request did not run: any other attempt may claim the key. The entry is kept for a short
    /// time, so that a delayed copy of the ended attempt's claim is not granted as a new claim.
    Freed,
}

/// State of one claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) fingerprint: u64,
    pub(super) claimant: Claimant,
    pub(super) status: Status,
    /// Committed time at which the entry expires, in milliseconds.
    pub(super) expires_ms: u64,
}

impl Entry {
    /// Returns the estimated size of the entry in memory, with its key, in bytes.
    pub(super) fn bytes(&self, key: &ClaimKey) -> u64 {
        /// Bytes of map nodes, counters and string headers. The key is stored in two maps.
        const FIXED: usize = 320;
        let answer = match &self.status {
            Status::Answered(Some(answer)) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        };
        let key = 2 * (key.service.len() + key.key.len());
        (FIXED + key + self.claimant.node.as_str().len() + answer) as u64
    }
}
