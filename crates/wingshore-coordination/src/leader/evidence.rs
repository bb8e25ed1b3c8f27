//! The leader's part in what is learned of requests from failed attempts: weighs what gateways have
//! seen, makes it durable, and lets it go in time. Gateways are told by the view.
//!
//! Many requests stand on a server when it ends, and most are innocent. Two things tell them apart:
//!
//! - Where many servers of a service end at one moment, no single request is the cause. An ending
//!   counts against a request only if it stood on half of the servers that ended with this one, or
//!   on several of them: it was sent from one to the next.
//! - Where servers end that a request did not stand on, its own endings may be chance, and where
//!   several requests stood on the same servers, one of them may be the cause. A request is rejected
//!   at the third ending only if its endings single it out, else at the next one.

use super::decision_log::Decision;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId, ServiceName};
use crate::messages::SeenCrash;
use crate::state::{Command, CoordinationState, CrashEvidence, MOST_ENDINGS, REJECTED_FROM};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;

/// After this time without news the oldest evidence against a request counts no longer. A rejected
/// request may then run once more, and costs one server if nothing was repaired: six an hour.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Servers that end within this time of each other end together. A request that ends its server
/// does so within 200 ms and is then sent to the next one.
const TOGETHER: Duration = Duration::from_millis(300);
/// Evidence is weighed this long after it was told, so that other gateways have told theirs: a lost
/// connection shows at once, and the way to the leader takes some ms.
const WEIGHED_AFTER: Duration = Duration::from_millis(300);
/// Endings are remembered this long, for evidence that a gateway tells late, after a change of
/// leaders.
const ENDINGS_KEPT: Duration = Duration::from_secs(60);
/// Most pieces of evidence that wait to be weighed, 100 bytes each: those of 400 servers with 16
/// requests each that end at once. What is beyond is dropped: with so many no request is the cause.
const MOST_PENDING: usize = 6400;

/// What gateways have told and was not weighed yet, and when servers ended.
#[derive(Default)]
pub(crate) struct Evidence {
    pending: Vec<Pending>,
    /// Runs of servers that ended under requests.
    endings: BTreeMap<InstanceId, Ending>,
    /// When there was news of each request last. A new leader counts from its beginning, so that
    /// nothing is let go too early.
    news: BTreeMap<RequestFingerprint, Instant>,
}

struct Pending {
    evidence: CrashEvidence,
    gateway: GatewayId,
    told_at: Instant,
}

struct Ending {
    service: Option<ServiceName>,
    at: Instant,
    /// The requests that stood on the server.
    requests: BTreeSet<RequestFingerprint>,
}

/// How an ending speaks against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Weight {
    /// Servers of the service that ended together.
    together: usize,
    /// Those of them that the request stood on.
    under_request: usize,
}

impl Weight {
    fn counts(self) -> bool {
        2 * self.under_request >= self.together || self.under_request > 1
    }
}

impl Evidence {
    /// A new leadership.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        let suspects = state.evidence().suspects();
        self.news = suspects.map(|known| (known.fingerprint, now)).collect();
    }

    fn take(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        seen: SeenCrash,
        state: &CoordinationState,
    ) {
        let SeenCrash { evidence, ago } = seen;
        let server = state.servers().get(&evidence.instance);
        let ending = self.endings.entry(evidence.instance.clone());
        let ending = ending.or_insert_with(|| Ending {
            service: server.map(|server| server.service.clone()),
            at: now - ago,
            requests: BTreeSet::new(),
        });
        let is_news = ending.requests.insert(evidence.fingerprint);
        if is_news && self.pending.len() < MOST_PENDING {
            self.pending.push(Pending {
                evidence,
                gateway,
                told_at: now,
            });
        }
    }

    /// Whether an ending under a request was told and not weighed yet.
    pub(crate) fn is_pending(&self, request: RequestFingerprint) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|pending| pending.evidence.fingerprint == request)
    }

    fn weight(&self, evidence: &CrashEvidence) -> Weight {
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

    /// Requests without news for too long; their time begins anew.
    fn take_old(&mut self, now: Instant) -> Vec<RequestFingerprint> {
        let is_old = |at: &Instant| now.since(*at) >= EVIDENCE_LIFETIME;
        let old = self.news.iter_mut().filter(|(_, at)| is_old(at));
        old.map(|(request, at)| {
            *at = now;
            *request
        })
        .collect()
    }
}

impl CoordinationLeader {
    /// A gateway has seen servers end under requests.
    pub(crate) fn on_requests_crashed(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        seen: Vec<SeenCrash>,
        state: &CoordinationState,
    ) {
        for seen in seen {
            self.evidence.take(now, gateway, seen, state);
        }
    }

    /// Weighs the evidence that is due, and proposes what counts.
    pub(crate) fn weigh_evidence(&mut self, turn: &mut Turn<'_>) {
        let is_due = |pending: &mut Pending| turn.now.since(pending.told_at) >= WEIGHED_AFTER;
        let due: Vec<Pending> = self.evidence.pending.extract_if(.., is_due).collect();
        let mut counts = Vec::new();
        for Pending {
            evidence, gateway, ..
        } in due
        {
            let weight = self.evidence.weight(&evidence);
            let counted = weight.counts() && turn.state.evidence().is_news(&evidence);
            let decision = Decision::RequestSuspected {
                request: evidence.fingerprint,
                instance: evidence.instance.clone(),
                gateway,
                ended_together: weight.together,
                under_request: weight.under_request,
                ended_before: turn.state.evidence().ended_under(evidence.fingerprint),
                counted,
            };
            turn.log(decision);
            if counted {
                counts.push(evidence);
            }
        }
        self.evidence
            .endings
            .retain(|_, ending| turn.now.since(ending.at) < ENDINGS_KEPT);
        if counts.is_empty() {
            return;
        }
        let requests = counts.iter().map(|evidence| evidence.fingerprint).collect();
        let command = Command::NoteCrashes(counts);
        self.propose(command, FollowUp::CrashesNoted(requests), turn);
    }

    /// Runs of requests under which servers had ended went well.
    pub(crate) fn on_requests_ran(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        self.evidence
            .pending
            .retain(|pending| !requests.contains(&pending.evidence.fingerprint));
        let is_known =
            |request: &RequestFingerprint| turn.state.evidence().ended_under(*request) > 0;
        let known: Vec<RequestFingerprint> = requests.into_iter().filter(is_known).collect();
        if known.is_empty() {
            return;
        }
        for request in &known {
            let decision = Decision::RequestCleared {
                request: *request,
                reason: "a run of it went well",
            };
            turn.log(decision);
        }
        let follow_up = FollowUp::Evidence(known.clone());
        self.propose(Command::ClearRequests(known), follow_up, turn);
    }

    /// More servers have ended under these requests: some are rejected.
    pub(crate) fn crashes_noted(&mut self, requests: Vec<RequestFingerprint>, turn: &mut Turn<'_>) {
        self.reject_requests(&requests, turn);
        self.evidence_changed(requests, turn);
    }

    /// Evidence against these requests has changed: notes when, and logs those that are rejected.
    pub(crate) fn evidence_changed(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        for request in requests {
            if turn.state.evidence().ended_under(request) == 0 {
                self.evidence.news.remove(&request);
            } else {
                self.evidence.news.insert(request, turn.now);
            }
            let suspect = turn.state.evidence().suspect(request);
            if let Some(suspect) = suspect.filter(|suspect| suspect.rejected) {
                turn.log(Decision::RequestRejected(suspect.clone()));
            }
        }
    }

    /// Rejects those of these requests that are not to run any more.
    fn reject_requests(&mut self, requests: &[RequestFingerprint], turn: &mut Turn<'_>) {
        let is_over = |request: &&RequestFingerprint| {
            let ended = turn.state.evidence().ended_under(**request);
            let suspect = turn.state.evidence().suspect(**request);
            suspect.is_some_and(|suspect| !suspect.rejected)
                && (ended >= MOST_ENDINGS
                    || ended >= REJECTED_FROM && self.evidence.singles_out(**request))
        };
        let rejected: Vec<RequestFingerprint> = requests.iter().filter(is_over).copied().collect();
        if !rejected.is_empty() {
            let follow_up = FollowUp::Evidence(rejected.clone());
            self.propose(Command::RejectRequests(rejected), follow_up, turn);
        }
    }

    /// Evidence without news for too long counts no longer.
    pub(crate) fn relieve_requests(&mut self, turn: &mut Turn<'_>) {
        let old = self.evidence.take_old(turn.now);
        if old.is_empty() {
            return;
        }
        for request in &old {
            let suspect = turn.state.evidence().suspect(*request);
            if suspect.is_some_and(|suspect| suspect.rejected) {
                let decision = Decision::RequestCleared {
                    request: *request,
                    reason: "no news of it for long: it may run once more",
                };
                turn.log(decision);
            }
        }
        let follow_up = FollowUp::Evidence(old.clone());
        self.propose(Command::RelieveRequests(old), follow_up, turn);
    }
}
