//! What the site has learned of requests from failed attempts.

use crate::fingerprint::FingerprintKey;
use serde::{Deserialize, Serialize};

/// What the site has learned of requests from failed attempts; it outlasts requests, processes
/// and leaderships.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEvidence {
    key: Option<FingerprintKey>,
}

impl RequestEvidence {
    /// The key of the site's fingerprints; `None` until the first leader has drawn it.
    pub fn key(&self) -> Option<FingerprintKey> {
        self.key
    }

    /// Sets the key, unless there is one: fingerprints under another key would name nothing known.
    pub(super) fn set_key(&mut self, key: FingerprintKey) {
        self.key.get_or_insert(key);
    }
}
