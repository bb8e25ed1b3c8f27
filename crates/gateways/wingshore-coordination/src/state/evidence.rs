//! The record of requests under which servers ended, as the group holds it.
//!
//! It notes which incarnations of servers ended under which request, forgets what a successful attempt
//! or time has cleared, and stays within a bound. What counts as evidence, and when a request is
//! rejected, the leader decides; the thresholds are here, since the gateways' view depends on them too.

use crate::evidence::{CrashEvidence, Suspect};
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A request may be rejected once so many servers have ended under it, and no attempt of it went well
/// meanwhile. Two may be chance: an attempt and its repeat, while servers end for other reasons.
pub const REJECTION_THRESHOLD: usize = 3;
/// A request is part of the gateways' view from so many ended servers on: the next one may be the last,
/// so that each attempt of it that goes well counts. With a single one most are not the cause: many
/// requests run on each server that ends.
pub(crate) const REPORTING_THRESHOLD: usize = REJECTION_THRESHOLD - 1;
/// Servers that are remembered for each request: with so many it is rejected in any case.
pub(crate) const MAX_CRASHES_PER_REQUEST: usize = 4;
/// Requests under which servers have ended that are remembered: 200 bytes each. A caller that sends
/// a new such request each time ends three servers with each, so that the bound is met late.
pub const MAX_SUSPECTS: usize = 1024;

/// What the site has learned of requests from failed attempts; it survives requests, processes
/// and leaderships.
///
/// Invariants: at most [`MAX_SUSPECTS`] requests, each with one to `MAX_ENDINGS` distinct
/// servers; `order` names exactly these, in the order in which they were first noted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEvidence {
    key: Option<FingerprintKey>,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    order: VecDeque<RequestFingerprint>,
}

impl RequestEvidence {
    /// The key of the site's fingerprints; `None` until the first leader has drawn it.
    pub fn key(&self) -> Option<FingerprintKey> {
        self.key
    }

    /// A request under which servers have ended.
    pub fn suspect(&self, request: RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// How many servers ended under a request.
    pub fn crash_count(&self, request: RequestFingerprint) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.ended.len())
    }

    /// Whether this is news: neither known nor about a request that is rejected already.
    pub(crate) fn is_new(&self, evidence: &CrashEvidence) -> bool {
        let known = self.suspects.get(&evidence.fingerprint);
        known.is_none_or(|suspect| {
            !suspect.rejected
                && suspect.ended.len() < MAX_CRASHES_PER_REQUEST
                && !suspect.ended.contains(&evidence.instance)
        })
    }

    /// All requests under which servers have ended.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.suspects.values()
    }

    /// How many requests there are under which servers have ended, and how many of them are
    /// rejected.
    pub fn counts(&self) -> (usize, usize) {
        let rejected = self.suspects.values().filter(|suspect| suspect.rejected);
        (self.suspects.len(), rejected.count())
    }

    /// Sets the key, unless there is one: fingerprints under another key would name nothing known.
    pub(super) fn set_key(&mut self, key: FingerprintKey) {
        self.key.get_or_insert(key);
    }

    /// A server has ended under a request.
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

    /// No other server is to run a request.
    pub(super) fn reject(&mut self, request: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.rejected = true;
        }
    }

    /// The oldest evidence against a request counts no longer: it may run until there is more.
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

    /// An attempt of the request went well: it was not what ended servers.
    pub(super) fn clear(&mut self, request: RequestFingerprint) {
        if self.suspects.remove(&request).is_some() {
            self.order.retain(|known| *known != request);
        }
    }

    /// Forgets the oldest request that is not rejected, or else the oldest one.
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
