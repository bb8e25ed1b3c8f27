//! Which requests are what ends servers, and are rejected?
//!
//! Inputs: which servers' connections gateways lost under which requests, and when, with the servers
//! that nobody listens for since; which requests ran well; the time.
//!
//! Rule: evidence is weighed [`WEIGHED_AFTER`] it was reported. An ending counts against a request if that
//! stood on half of the servers of the service that ended with it, or on several of them. A request is
//! rejected at the third ending that counts if its endings single it out, else at the fourth. A run that
//! goes well clears it; without news for [`EVIDENCE_LIFETIME`] the oldest ending counts no longer.
//!
//! Why: many requests stand on a server when it ends, and most are not the cause. Where many servers of
//! a service end at one moment, no single request is; the cause was sent from one to the next. Where
//! servers end that a request did not stand on, its own endings may be chance, and where several
//! requests stood on the same servers, one of them may be the cause.
//!
//! Old or missing inputs: endings may be reported up to a minute late, after a change of leaders; evidence
//! about a server whose ending is not known counts for itself. A new leader counts silence from its own
//! beginning, so that nothing is let go too early.

use crate::evidence::{CrashEvidence, Suspect};
use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId, ServiceName};
use crate::messages::ObservedCrash;
use crate::state::{
    CoordinationState, MAX_CRASHES_PER_REQUEST, REJECTION_THRESHOLD, REPORTING_THRESHOLD,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;

/// After this time without news the oldest evidence against a request counts no longer. A rejected
/// request may then run once more, and costs one server if nothing was repaired: six an hour.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Servers that end within this time of each other end together. A request that ends its server
/// does so within 200 ms and is then sent to the next one.
const TOGETHER: Duration = Duration::from_millis(300);
/// Evidence is weighed this long after it was reported, so that other gateways have reported theirs: a lost
/// connection shows at once, and the way to the leader takes some ms.
const WEIGHED_AFTER: Duration = Duration::from_millis(300);
/// Endings are remembered this long, for evidence that a gateway reports late, after a change of
/// leaders.
const ENDINGS_KEPT: Duration = Duration::from_secs(60);
/// Most pieces of evidence that wait to be weighed, 100 bytes each: those of 400 servers with 16
/// requests each that end at once. What is beyond is dropped: with so many no request is the cause.
const MAX_PENDING: usize = 6400;

/// What gateways have reported and was not weighed yet, and when servers ended.
#[derive(Default)]
pub(crate) struct Evidence {
    pending: Vec<Pending>,
    /// Incarnations of servers that ended under requests.
    endings: BTreeMap<InstanceId, Ending>,
    /// When there was news of each request last. A new leader counts from its beginning, so that
    /// nothing is let go too early.
    news: BTreeMap<RequestFingerprint, Instant>,
}

/// Evidence that was reported and not weighed yet.
pub(crate) struct Pending {
    pub(crate) evidence: CrashEvidence,
    pub(crate) gateway: GatewayId,
    reported_at: Instant,
}

struct Ending {
    service: Option<ServiceName>,
    at: Instant,
    /// The requests that stood on the server.
    requests: BTreeSet<RequestFingerprint>,
}

/// How an ending speaks against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Weight {
    /// Servers of the service that ended together.
    pub(crate) together: usize,
    /// Those of them that the request stood on.
    pub(crate) under_request: usize,
}

impl Weight {
    /// Whether the ending counts.
    pub(crate) fn counts(self) -> bool {
        2 * self.under_request >= self.together || self.under_request > 1
    }
}

impl Evidence {
    /// A new leadership.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        let suspects = state.evidence().suspects();
        self.news = suspects.map(|known| (known.fingerprint, now)).collect();
    }

    /// A gateway reports what it has seen.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        seen: ObservedCrash,
        state: &CoordinationState,
    ) {
        let ObservedCrash { evidence, ago } = seen;
        let server = state.servers().get(&evidence.instance);
        let ending = self.endings.entry(evidence.instance.clone());
        let ending = ending.or_insert_with(|| Ending {
            service: server.map(|server| server.service.clone()),
            at: now - ago,
            requests: BTreeSet::new(),
        });
        let is_news = ending.requests.insert(evidence.fingerprint);
        if is_news && self.pending.len() < MAX_PENDING {
            self.pending.push(Pending {
                evidence,
                gateway,
                reported_at: now,
            });
        }
    }

    /// Whether an ending under a request was reported and not weighed yet.
    pub(crate) fn is_pending(&self, request: RequestFingerprint) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|pending| pending.evidence.fingerprint == request)
    }

    /// How an ending speaks against a request.
    pub(crate) fn weight(&self, evidence: &CrashEvidence) -> Weight {
        let Some(ending) = self.endings.get(&evidence.instance) else {
            return Weight {
                together: 1,
                under_request: 1,
            };
        };
        let is_together = |other: &&Ending| {
            let apart = other.at.since(ending.at).max(ending.at.since(other.at));
            other.service == ending.service && apart <= TOGETHER
        };
        let together = self.endings.values().filter(is_together);
        let under_request = together.clone();
        Weight {
            together: together.count(),
            under_request: under_request
                .filter(|other| other.requests.contains(&evidence.fingerprint))
                .count(),
        }
    }

    /// Whether the endings of a request single it out: it stood on half of the servers of its service
    /// that ended since its first one, and no other request stood on all of its own.
    fn singles_out(&self, request: RequestFingerprint) -> bool {
        let endings = self.endings.values();
        let own = endings.filter(|ending| ending.requests.contains(&request));
        let Some(first) = own.clone().min_by_key(|ending| ending.at) else {
            return true;
        };
        let since = self.endings.values();
        let since = since.filter(|ending| ending.service == first.service && ending.at >= first.at);
        let explains_half = 2 * own.clone().count() >= since.count();
        let stands_on_all = |other: &&RequestFingerprint| {
            own.clone().all(|ending| ending.requests.contains(*other))
        };
        let on_all = first.requests.iter().filter(stands_on_all).count();
        explains_half && on_all == 1
    }

    /// Takes the evidence whose time to be weighed has come.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Pending> {
        let is_due = |pending: &mut Pending| now.since(pending.reported_at) >= WEIGHED_AFTER;
        self.pending.extract_if(.., is_due).collect()
    }

    /// Forgets endings that no evidence can still be reported of.
    pub(crate) fn forget_endings(&mut self, now: Instant) {
        self.endings
            .retain(|_, ending| now.since(ending.at) < ENDINGS_KEPT);
    }

    /// These requests ran well: what was reported against them and not weighed counts for nothing.
    pub(crate) fn clear(&mut self, requests: &[RequestFingerprint]) {
        self.pending
            .retain(|pending| !requests.contains(&pending.evidence.fingerprint));
    }

    /// Evidence against a request that the group holds has changed.
    pub(crate) fn note_news(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
        is_suspect: bool,
    ) {
        if is_suspect {
            self.news.insert(request, now);
        } else {
            self.news.remove(&request);
        }
    }

    /// Whether a suspect is rejected from now on: with so many endings that nothing else explains them,
    /// or with enough that single it out.
    pub(crate) fn is_to_be_rejected(&self, suspect: &Suspect) -> bool {
        let ended = suspect.ended.len();
        let is_enough = ended >= REJECTION_THRESHOLD && self.singles_out(suspect.fingerprint);
        !suspect.rejected && (ended >= MAX_CRASHES_PER_REQUEST || is_enough)
    }

    /// Requests without news for too long; their time begins anew.
    pub(crate) fn take_old(&mut self, now: Instant) -> Vec<RequestFingerprint> {
        let is_old = |at: &Instant| now.since(*at) >= EVIDENCE_LIFETIME;
        let old = self.news.iter_mut().filter(|(_, at)| is_old(at));
        old.map(|(request, at)| {
            *at = now;
            *request
        })
        .collect()
    }
}

/// Whether so many servers have ended under an item that it is suspected to be the cause. Such items run
/// on engines apart from each other: the next ending then tells which of them it is.
pub(crate) fn is_suspect(ended_under: usize) -> bool {
    ended_under >= REPORTING_THRESHOLD
}
