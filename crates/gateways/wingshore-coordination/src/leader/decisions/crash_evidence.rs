//! Decides which requests crash servers and are rejected for it.
//!
//! Inputs: the reports of gateways on lost connections, with the requests that were running on the
//! server, the time, and whether the server stopped listening; the requests that may have been
//! running, since the gateway had ended their attempts; the requests that succeeded; the time.
//!
//! Rule: evidence is evaluated [`EVALUATION_DELAY`] after it was reported. A crash counts against a
//! request if the request was running on at least half of the servers of the service that crashed
//! at the same time, or on more than one of them. A request is rejected at the third counted crash
//! if its crashes single it out and are unlikely to be a coincidence, otherwise at the fourth. A
//! successful run clears the request. A possible crash counts only until the request is suspect, and
//! never rejects it. Without new evidence for [`EVIDENCE_LIFETIME`], the oldest
//! crash no longer counts.
//!
//! Rationale: many requests run on a server when it crashes, and most are not the cause. If many
//! servers of a service crash at once, no single request is the cause: a request that crashes its
//! server is then sent to the next one, so its crashes follow each other. If servers crash that the
//! request was not running on, its own crashes may be a coincidence. If several requests were
//! running on the same servers, any of them may be the cause. If servers also crash for other
//! reasons, some request is running on three of them sooner or later: the sooner, the more requests
//! run on each server, the more servers crash, and the fewer servers there are to run it.
//!
//! Stale or missing inputs: after a change of leaders, crashes may be reported up to a minute late.
//! Evidence on a server whose crash is not recorded is evaluated on its own. A new leader measures
//! the time without evidence from the start of its leadership, so no evidence expires too early.

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

/// Time without new evidence after which the oldest crash no longer counts against a request. A
/// rejected request may then run once more, and crashes one server if the fault is not repaired:
/// six servers an hour.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Crashes within this time of each other count as simultaneous. A request that crashes its server
/// does so within 200 ms and is then sent to the next one.
const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(300);
/// Delay between report and evaluation of evidence, which lets other gateways report the same
/// crash: a lost connection is noticed at once, and a message to the leader takes some
/// milliseconds.
const EVALUATION_DELAY: Duration = Duration::from_millis(300);
/// Time for which crashes are remembered, for evidence that a gateway reports late after a change
/// of leaders.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of pieces of evidence that wait for evaluation, 100 bytes each: those of 400
/// servers with 16 requests each that crash at once. Further evidence is dropped: in a failure of
/// that size no single request is the cause.
const MAX_PENDING: usize = 6400;

/// A request is rejected at its third crash only if the odds against a coincidence are at least
/// this high. A wrong rejection denies a caller its request for [`EVIDENCE_LIFETIME`]; waiting for
/// the fourth crash costs a server for the 6 s until it is back, a hundredth of that.
const MIN_ODDS_AGAINST_COINCIDENCE: usize = 100;

/// Reported evidence that has not been evaluated yet, and recent crashes.
#[derive(Default)]
pub(crate) struct Evidence {
    pending: Vec<PendingEvidence>,
    /// Requests for which evidence was evaluated and counts, until it is committed.
    uncommitted: BTreeSet<RequestFingerprint>,
    /// Recent crashes under requests, by incarnation of the server.
    crashes: BTreeMap<InstanceId, Crash>,
    /// Time of the last change of the evidence against each request. A new leader counts from the
    /// start of its leadership, so no evidence expires too early.
    last_changes: BTreeMap<RequestFingerprint, Instant>,
}

/// How sure it is that a server was running a request when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// The request was running.
    Running,
    /// The attempt had been ended; the request may have been running.
    Possible,
}

impl Certainty {
    /// Returns whether a crash may count against a request with so many counted crashes. Possible
    /// crashes make a request suspect, so that it runs on trial, and do not go further.
    pub(crate) fn may_count(self, crash_count: usize) -> bool {
        self == Self::Running || crash_count < REPORTING_THRESHOLD
    }
}

/// A piece of evidence that has not been evaluated yet.
pub(crate) struct PendingEvidence {
    pub(crate) evidence: CrashEvidence,
    pub(crate) gateway: GatewayId,
    pub(crate) certainty: Certainty,
    reported_at: Instant,
}

struct Crash {
    service: Option<ServiceName>,
    at: Instant,
    /// The requests that were running on the server, or may have been.
    requests: BTreeSet<RequestFingerprint>,
    /// Those that may have been running.
    possible: BTreeSet<RequestFingerprint>,
}

impl Crash {
    /// Adds a request; returns whether that is news.
    fn add(&mut self, request: RequestFingerprint, certainty: Certainty) -> bool {
        let is_new = self.requests.insert(request);
        match certainty {
            Certainty::Running => self.possible.remove(&request) || is_new,
            Certainty::Possible => {
                if is_new {
                    self.possible.insert(request);
                }
                is_new
            }
        }
    }
}

/// Relation of a crash to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Weight {
    /// Number of servers of the service that crashed at the same time.
    pub(crate) simultaneous: usize,
    /// Number of these servers that the request was running on.
    pub(crate) under_request: usize,
}

impl Weight {
    /// Returns whether the crash counts against the request.
    pub(crate) fn counts(self) -> bool {
        2 * self.under_request >= self.simultaneous || self.under_request > 1
    }
}

impl Evidence {
    /// Starts the expiry of the replicated evidence anew for a new leadership.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        let suspects = state.evidence().suspects();
        self.last_changes = suspects.map(|known| (known.fingerprint, now)).collect();
    }

    /// Records a crash that a gateway reports.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        seen: ObservedCrash,
        certainty: Certainty,
        state: &CoordinationState,
    ) {
        let ObservedCrash { evidence, ago } = seen;
        let server = state.servers().get(&evidence.instance);
        let crash = self.crashes.entry(evidence.instance.clone());
        let crash = crash.or_insert_with(|| Crash {
            service: server.map(|server| server.service.clone()),
            at: now - ago,
            requests: BTreeSet::new(),
            possible: BTreeSet::new(),
        });
        let is_first_report = crash.add(evidence.fingerprint, certainty);
        if is_first_report && self.pending.len() < MAX_PENDING {
            self.pending.push(PendingEvidence {
                evidence,
                gateway,
                certainty,
                reported_at: now,
            });
        }
    }

    /// Returns whether a crash under the request was reported, and is neither committed nor found
    /// not to count.
    pub(crate) fn is_pending(&self, request: RequestFingerprint) -> bool {
        let mut pending = self.pending.iter();
        self.uncommitted.contains(&request)
            || pending.any(|pending| pending.evidence.fingerprint == request)
    }

    /// Records that evidence that counts is being committed.
    pub(crate) fn committing(&mut self, requests: &[RequestFingerprint]) {
        self.uncommitted.extend(requests);
    }

    /// Records that evidence is committed.
    pub(crate) fn committed(&mut self, requests: &[RequestFingerprint]) {
        for request in requests {
            self.uncommitted.remove(request);
        }
    }

    /// Returns when a server crashed, if that was reported recently.
    pub(crate) fn crashed_at(&self, instance: &InstanceId) -> Option<Instant> {
        self.crashes.get(instance).map(|crash| crash.at)
    }

    /// Returns how the crash in `evidence` relates to its request.
    pub(crate) fn weight(&self, evidence: &CrashEvidence) -> Weight {
        let Some(crash) = self.crashes.get(&evidence.instance) else {
            return Weight {
                simultaneous: 1,
                under_request: 1,
            };
        };
        let is_simultaneous = |other: &&Crash| {
            let apart = other.at.since(crash.at).max(crash.at.since(other.at));
            other.service == crash.service && apart <= SIMULTANEITY_WINDOW
        };
        let simultaneous = self.crashes.values().filter(is_simultaneous);
        let under_request = simultaneous.clone();
        Weight {
            simultaneous: simultaneous.count(),
            under_request: under_request
                .filter(|other| other.requests.contains(&evidence.fingerprint))
                .count(),
        }
    }

    /// Returns whether the crashes of a request single it out: it was running on at least half of
    /// the servers of its service that crashed since its first crash, and no other request was
    /// running on all the servers that crashed under it.
    fn singles_out(&self, request: RequestFingerprint) -> bool {
        let crashes = self.crashes.values();
        let own = crashes.filter(|crash| crash.requests.contains(&request));
        let Some(first) = own.clone().min_by_key(|crash| crash.at) else {
            return true;
        };
        let since = self.crashes.values();
        let since = since.filter(|crash| crash.service == first.service && crash.at >= first.at);
        let explains_half = 2 * own.clone().count() >= since.count();
        let runs_on_all =
            |other: &&RequestFingerprint| own.clone().all(|crash| crash.requests.contains(*other));
        let on_all = first.requests.iter().filter(runs_on_all).count();
        explains_half && on_all == 1
    }

    /// Returns whether a suspect may not have been running at one of its crashes.
    fn has_possible(&self, suspect: &Suspect) -> bool {
        let mut crashed = suspect.ended.iter();
        crashed.any(|instance| self.is_possible(suspect.fingerprint, instance))
    }

    /// Returns whether a request may not have been running when a server crashed recently.
    pub(crate) fn is_possible(&self, request: RequestFingerprint, instance: &InstanceId) -> bool {
        let crash = self.crashes.get(instance);
        crash.is_some_and(|crash| crash.possible.contains(&request))
    }

    /// Returns whether it is unlikely that some request was running on [`REJECTION_THRESHOLD`]
    /// crashed servers by chance, as this one was.
    ///
    /// Each request on the first server could have been running on any two of the other servers of
    /// the service that crashed; further ones of this request are no alternative. Each of these combinations is a coincidence with the probability
    /// that both its servers were the ones that the request was sent to. The combination that was
    /// observed does not count: without any other, the request is the only explanation.
    fn rules_out_coincidence(
        &self,
        request: RequestFingerprint,
        state: &CoordinationState,
    ) -> bool {
        let crashes = self.crashes.values();
        let own = crashes.filter(|crash| crash.requests.contains(&request));
        let Some(first) = own.min_by_key(|crash| crash.at) else {
            return true;
        };
        let other_crashes = self
            .crashes
            .values()
            .filter(|crash| crash.service == first.service && !crash.requests.contains(&request));
        let later_crashes = REJECTION_THRESHOLD - 1 + other_crashes.count();
        let pairs = later_crashes * (later_crashes - 1) / 2;
        let other_combinations = first.requests.len() * pairs - 1;
        let choices = self.running_servers(first.service.as_ref(), state) + 1;
        MIN_ODDS_AGAINST_COINCIDENCE * other_combinations <= choices * choices
    }

    /// Returns the number of registered servers of a service that are not known to have crashed.
    fn running_servers(&self, service: Option<&ServiceName>, state: &CoordinationState) -> usize {
        let servers = state.servers().values();
        let running = servers.filter(|server| {
            Some(&server.service) == service && !self.crashes.contains_key(&server.instance)
        });
        running.count()
    }

    /// Removes and returns the evidence that is due for evaluation.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<PendingEvidence> {
        let is_due =
            |pending: &mut PendingEvidence| now.since(pending.reported_at) >= EVALUATION_DELAY;
        self.pending.extract_if(.., is_due).collect()
    }

    /// Removes crashes for which no more evidence can be reported.
    pub(crate) fn forget_crashes(&mut self, now: Instant) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_RETENTION);
    }

    /// Discards the evidence against `requests` that has not been evaluated yet, since they
    /// succeeded.
    pub(crate) fn clear(&mut self, requests: &[RequestFingerprint]) {
        self.pending
            .retain(|pending| !requests.contains(&pending.evidence.fingerprint));
    }

    /// Records that the replicated evidence against a request has changed.
    pub(crate) fn record_change(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
        is_suspect: bool,
    ) {
        if is_suspect {
            self.last_changes.insert(request, now);
        } else {
            self.last_changes.remove(&request);
        }
    }

    /// Returns whether a suspect is to be rejected from now on: it has so many crashes that
    /// coincidence is ruled out, or enough of them, they single it out and are unlikely to be a
    /// coincidence.
    pub(crate) fn should_reject(&self, suspect: &Suspect, state: &CoordinationState) -> bool {
        let crash_count = suspect.ended.len();
        let is_enough = crash_count >= REJECTION_THRESHOLD
            && !self.has_possible(suspect)
            && self.singles_out(suspect.fingerprint)
            && self.rules_out_coincidence(suspect.fingerprint, state);
        !suspect.rejected && (crash_count >= MAX_CRASHES_PER_REQUEST || is_enough)
    }

    /// Returns the requests whose evidence has not changed for [`EVIDENCE_LIFETIME`], and restarts
    /// their time.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<RequestFingerprint> {
        let is_old = |at: &Instant| now.since(*at) >= EVIDENCE_LIFETIME;
        let old = self.last_changes.iter_mut().filter(|(_, at)| is_old(at));
        old.map(|(request, at)| {
            *at = now;
            *request
        })
        .collect()
    }
}
