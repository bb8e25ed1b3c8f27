//! The replicated record of requests that were running when servers crashed.
//!
//! The record stores which server incarnations crashed while running which request, removes
//! evidence that a successful attempt or time has cleared, and is bounded in size. The leader
//! decides what counts as evidence and when a request is rejected; the thresholds are defined here
//! because the gateways' view depends on them too.

use crate::evidence::{CrashEvidence, Suspect};
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of crashed servers from which a request may be rejected, if none of its attempts
/// succeeded in the meantime. Two crashes may be a coincidence: an attempt and its retry, while
/// servers crash for other reasons.
pub const REJECTION_THRESHOLD: usize = 3;
/// Number of crashed servers from which a request is part of the gateways' view: the next crash may
/// be the last before rejection, so each successful attempt matters. With a single crash most
/// requests are not the cause, since many requests run on each server that crashes.
pub const REPORTING_THRESHOLD: usize = REJECTION_THRESHOLD - 1;
/// Maximum number of crashed servers remembered per request; with this many, the request is
/// rejected in any case.
pub(crate) const MAX_CRASHES_PER_REQUEST: usize = 4;
/// Maximum number of requests in the record, at 200 bytes each. A caller that sends new crashing
/// requests crashes three servers with each, so the limit is reached late.
pub const MAX_SUSPECTS: usize = 1024;

/// Evidence against requests from failed attempts; it outlives requests, processes and leaderships.
///
/// Invariants: at most [`MAX_SUSPECTS`] requests, each with one to `MAX_CRASHES_PER_REQUEST`
/// distinct servers; `order` contains exactly these requests, in the order in which they were first
/// recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEvidence {
    key: Option<FingerprintKey>,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    order: VecDeque<RequestFingerprint>,
}

impl RequestEvidence {
    /// Returns the key of the site's fingerprints; `None` until the first leader has drawn it.
    pub fn key(&self) -> Option<FingerprintKey> {
        self.key
    }

    /// Returns the evidence against a request.
    pub fn suspect(&self, request: RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// Returns the number of servers that crashed while running a request.
    pub fn crash_count(&self, request: RequestFingerprint) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.ended.len())
    }

    /// Returns whether the evidence is new: not recorded yet, and not about a request that is
    /// already rejected.
    pub(crate) fn is_new(&self, evidence: &CrashEvidence) -> bool {
        let known = self.suspects.get(&evidence.fingerprint);
        known.is_none_or(|suspect| {
            !suspect.rejected
                && suspect.ended.len() < MAX_CRASHES_PER_REQUEST
                && !suspect.ended.contains(&evidence.instance)
        })
    }

    /// Returns all requests with evidence against them.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.suspects.values()
    }

    /// Returns the number of requests with evidence against them, and how many of them are
    /// rejected.
    pub fn counts(&self) -> (usize, usize) {
        let rejected = self.suspects.values().filter(|suspect| suspect.rejected);
        (self.suspects.len(), rejected.count())
    }

    /// Sets the key unless one is set: fingerprints under another key would match no recorded
    /// request.
    pub(super) fn set_key(&mut self, key: FingerprintKey) {
        self.key.get_or_insert(key);
    }

    /// Records that a server crashed while running a request.
    pub(super) fn record_crash(&mut self, evidence: CrashEvidence) {
        if !self.is_new(&evidence) {
            return;
        }
        let CrashEvidence {
            fingerprint,
            instance,
        } = evidence;
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_oldest();
            self.order.push_back(fingerprint);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            fingerprint,
            ended: Vec::new(),
            rejected: false,
        });
        suspect.ended.push(instance);
    }

    /// Rejects a request: no other server runs it.
    pub(super) fn reject(&mut self, request: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.rejected = true;
        }
    }

    /// Removes the oldest evidence against a request, which may run until there is more.
    pub(super) fn drop_oldest_crash(&mut self, request: RequestFingerprint) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        suspect.rejected = false;
        suspect.ended.remove(0);
        if suspect.ended.is_empty() {
            self.clear(request);
        }
    }

    /// Removes a request from the record, since an attempt of it succeeded: it was not the cause of
    /// the crashes.
    pub(super) fn clear(&mut self, request: RequestFingerprint) {
        if self.suspects.remove(&request).is_some() {
            self.order.retain(|known| *known != request);
        }
    }

    /// Evicts the oldest request that is not rejected, or the oldest one if all are rejected.
    fn evict_oldest(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let is_open = |request: &&RequestFingerprint| {
            let suspect = self.suspects.get(*request);
            suspect.is_none_or(|suspect| !suspect.rejected)
        };
        let oldest = self.order.iter().find(is_open).or(self.order.front());
        if let Some(oldest) = oldest.copied() {
            self.clear(oldest);
        }
    }
}
