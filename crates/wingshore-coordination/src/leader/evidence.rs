//! The leader's part in what is learned of requests from failed attempts: makes it durable, tells
//! all gateways, and lets it go in time.

use super::{CoordinationLeader, Decision, Outputs, Waiter, log};
use crate::fingerprint::RequestFingerprint;
use crate::ids::GatewayId;
use crate::messages::ViewChange;
use crate::state::{Command, CoordinationState, CrashEvidence, REJECTED_FROM};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Gateways are told of a request from so many ended servers on: at the next one it is rejected, so
/// that each run of it that goes well counts. With a single one most are innocent, and many stand
/// on each server that ends.
pub(crate) const TOLD_FROM: usize = REJECTED_FROM - 1;
/// After this time without news the oldest evidence against a request counts no longer. A rejected
/// request may then run once more, and costs one server if nothing was repaired: six an hour.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// When there was news of each request last. A new leader counts from its beginning, so that
/// nothing is let go too early.
#[derive(Default)]
pub(crate) struct EvidenceClock {
    news: BTreeMap<RequestFingerprint, Instant>,
}

impl EvidenceClock {
    /// A new leadership.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        let suspects = state.evidence().suspects();
        self.news = suspects.map(|known| (known.fingerprint, now)).collect();
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
        gateway: GatewayId,
        evidence: Vec<CrashEvidence>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let is_news = |evidence: &CrashEvidence| state.evidence().is_news(evidence);
        let news: Vec<CrashEvidence> = evidence.into_iter().filter(is_news).collect();
        if news.is_empty() {
            return;
        }
        for CrashEvidence {
            fingerprint,
            instance,
        } in &news
        {
            let decision = Decision::RequestSuspected {
                request: *fingerprint,
                instance: instance.clone(),
                gateway,
                ended_before: state.evidence().ended_under(*fingerprint).len(),
            };
            log(decision, out);
        }
        let requests = news.iter().map(|evidence| evidence.fingerprint).collect();
        let command = Command::NoteCrashes(news);
        self.propose(command, Waiter::Evidence(requests), out);
    }

    /// Runs of requests under which servers had ended went well.
    pub(crate) fn on_requests_ran(
        &mut self,
        requests: Vec<RequestFingerprint>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let is_known =
            |request: &RequestFingerprint| !state.evidence().ended_under(*request).is_empty();
        let known: Vec<RequestFingerprint> = requests.into_iter().filter(is_known).collect();
        if known.is_empty() {
            return;
        }
        for request in &known {
            let decision = Decision::RequestCleared {
                request: *request,
                reason: "a run of it went well",
            };
            log(decision, out);
        }
        let waiter = Waiter::Evidence(known.clone());
        self.propose(Command::ClearRequests(known), waiter, out);
    }

    /// Evidence against these requests has changed: gateways are told.
    pub(crate) fn evidence_changed(
        &mut self,
        now: Instant,
        requests: Vec<RequestFingerprint>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        for request in requests {
            let ended = state.evidence().ended_under(request);
            if ended.is_empty() {
                self.evidence_clock.news.remove(&request);
            } else {
                self.evidence_clock.news.insert(request, now);
            }
            let Some(change) = self.gateway_view.evidence_changed(request, state) else {
                continue;
            };
            if let ViewChange::Suspect(suspect) = &change
                && suspect.ended.len() >= REJECTED_FROM
            {
                log(Decision::RequestRejected(suspect.clone()), out);
            }
            self.tell_gateways(change, out);
        }
    }

    /// Evidence without news for too long counts no longer.
    pub(crate) fn relieve_requests(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let old = self.evidence_clock.take_old(now);
        if old.is_empty() {
            return;
        }
        for request in &old {
            if state.evidence().ended_under(*request).len() >= REJECTED_FROM {
                let decision = Decision::RequestCleared {
                    request: *request,
                    reason: "no news of it for long: it may run once more",
                };
                log(decision, out);
            }
        }
        let waiter = Waiter::Evidence(old.clone());
        self.propose(Command::RelieveRequests(old), waiter, out);
    }
}
