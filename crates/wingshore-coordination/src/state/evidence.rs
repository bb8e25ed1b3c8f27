//! What the site has learned of requests from failed attempts: under which of them servers ended.

use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A request is rejected once so many servers have ended under it without one run of it that went
/// well. Two may be chance: an attempt and its repeat, while servers end for other reasons.
pub const REJECTED_FROM: usize = 3;
/// Requests under which servers have ended that are remembered: 200 bytes each. A caller that sends
/// a new such request each time ends three servers with each, so that the bound is met late.
pub const MOST_SUSPECTS: usize = 1024;

/// A server has ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The run of the server.
    pub instance: InstanceId,
}

/// A request under which servers have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The runs of servers that ended under it, the oldest first.
    pub ended: Vec<InstanceId>,
}

/// What the site has learned of requests from failed attempts; it outlasts requests, processes
/// and leaderships.
///
/// Invariants: at most [`MOST_SUSPECTS`] requests, each with one to [`REJECTED_FROM`] distinct
/// servers; `order` names exactly these, in the order in which they were first noted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEvidence {
    key: Option<FingerprintKey>,
    suspects: BTreeMap<RequestFingerprint, Vec<InstanceId>>,
    order: VecDeque<RequestFingerprint>,
}

impl RequestEvidence {
    /// The key of the site's fingerprints; `None` until the first leader has drawn it.
    pub fn key(&self) -> Option<FingerprintKey> {
        self.key
    }

    /// The runs of servers that ended under a request, the oldest first.
    pub fn ended_under(&self, request: RequestFingerprint) -> &[InstanceId] {
        self.suspects.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Whether this is news: neither known nor about a request that is rejected already.
    pub fn is_news(&self, evidence: &CrashEvidence) -> bool {
        let ended = self.ended_under(evidence.fingerprint);
        ended.len() < REJECTED_FROM && !ended.contains(&evidence.instance)
    }

    /// All requests under which servers have ended.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.suspects.iter().map(|(fingerprint, ended)| Suspect {
            fingerprint: *fingerprint,
            ended: ended.clone(),
        })
    }

    /// How many there are, and how many of them are rejected.
    pub fn counts(&self) -> (usize, usize) {
        let ended = self.suspects.values();
        let rejected = ended.filter(|ended| ended.len() >= REJECTED_FROM);
        (self.suspects.len(), rejected.count())
    }

    /// Sets the key, unless there is one: fingerprints under another key would name nothing known.
    pub(super) fn set_key(&mut self, key: FingerprintKey) {
        self.key.get_or_insert(key);
    }

    /// A server has ended under a request.
    pub(super) fn note(&mut self, evidence: CrashEvidence) {
        if !self.is_news(&evidence) {
            return;
        }
        if !self.suspects.contains_key(&evidence.fingerprint) {
            self.make_room();
            self.order.push_back(evidence.fingerprint);
        }
        let ended = self.suspects.entry(evidence.fingerprint).or_default();
        ended.push(evidence.instance);
    }

    /// The oldest evidence against a request counts no longer.
    pub(super) fn relieve(&mut self, request: RequestFingerprint) {
        let Some(ended) = self.suspects.get_mut(&request) else {
            return;
        };
        ended.remove(0);
        if ended.is_empty() {
            self.clear(request);
        }
    }

    /// A run of the request went well: it was not what ended servers.
    pub(super) fn clear(&mut self, request: RequestFingerprint) {
        if self.suspects.remove(&request).is_some() {
            self.order.retain(|known| *known != request);
        }
    }

    /// Forgets the oldest request that is not rejected, or else the oldest one.
    fn make_room(&mut self) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let is_open =
            |request: &&RequestFingerprint| self.ended_under(**request).len() < REJECTED_FROM;
        let oldest = self.order.iter().find(is_open).or(self.order.front());
        if let Some(oldest) = oldest.copied() {
            self.clear(oldest);
        }
    }
}
