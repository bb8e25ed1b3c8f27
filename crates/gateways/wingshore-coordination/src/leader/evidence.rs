//! The leader's part in what is learned of requests from failed attempts: makes durable what counts against a
//! request, rejects it, and clears it. Gateways learn of both by the view.

use super::decision_log::Decision;
use super::decisions::crash_evidence::PendingEvidence;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::evidence::Suspect;
use crate::fingerprint::RequestFingerprint;
use crate::ids::GatewayId;
use crate::messages::SeenCrash;
use crate::state::{Command, CoordinationState};
use wingshore_types::Instant;

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
            self.evidence.record(now, gateway, seen, state);
        }
    }

    /// Weighs the evidence that is due, and proposes what counts.
    pub(crate) fn weigh_evidence(&mut self, turn: &mut Turn<'_>) {
        let mut counts = Vec::new();
        for PendingEvidence {
            evidence, gateway, ..
        } in self.evidence.take_due(turn.now)
        {
            let known = turn.state.evidence();
            let weight = self.evidence.weight(&evidence);
            let counted = weight.counts() && known.is_news(&evidence);
            turn.log(Decision::RequestSuspected {
                request: evidence.fingerprint,
                instance: evidence.instance.clone(),
                gateway,
                ended_together: weight.simultaneous,
                under_request: weight.under_request,
                ended_before: known.ended_under(evidence.fingerprint),
                counted,
            });
            if counted {
                counts.push(evidence);
            }
        }
        self.evidence.forget_crashes(turn.now);
        if counts.is_empty() {
            return;
        }
        let requests = counts.iter().map(|evidence| evidence.fingerprint).collect();
        let command = Command::NoteCrashes(counts);
        self.propose(command, FollowUp::CrashesNoted(requests), turn);
    }

    /// Requests under which servers had ended ran well.
    pub(crate) fn on_requests_ran(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        self.evidence.clear(&requests);
        let held = turn.state.evidence();
        let is_known = |request: &RequestFingerprint| held.ended_under(*request) > 0;
        let known: Vec<RequestFingerprint> = requests.into_iter().filter(is_known).collect();
        if known.is_empty() {
            return;
        }
        for request in &known {
            turn.log(Decision::RequestCleared {
                request: *request,
                reason: "a run of it went well",
            });
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
            let suspect = turn.state.evidence().suspect(request);
            self.evidence
                .record_change(turn.now, request, suspect.is_some_and(has_endings));
            if let Some(suspect) = suspect.filter(|suspect| suspect.rejected) {
                turn.log(Decision::RequestRejected(suspect.clone()));
            }
        }
    }

    /// Rejects those of these requests that are not to run any more.
    fn reject_requests(&mut self, requests: &[RequestFingerprint], turn: &mut Turn<'_>) {
        let is_over = |request: &&RequestFingerprint| {
            let suspect = turn.state.evidence().suspect(**request);
            suspect.is_some_and(|suspect| self.evidence.should_reject(suspect))
        };
        let rejected: Vec<RequestFingerprint> = requests.iter().filter(is_over).copied().collect();
        if !rejected.is_empty() {
            let follow_up = FollowUp::Evidence(rejected.clone());
            self.propose(Command::RejectRequests(rejected), follow_up, turn);
        }
    }

    /// Evidence without news for too long counts no longer.
    pub(crate) fn relieve_requests(&mut self, turn: &mut Turn<'_>) {
        let old = self.evidence.take_expired(turn.now);
        if old.is_empty() {
            return;
        }
        for request in &old {
            let suspect = turn.state.evidence().suspect(*request);
            if suspect.is_some_and(|suspect| suspect.rejected) {
                turn.log(Decision::RequestCleared {
                    request: *request,
                    reason: "no news of it for long: it may run once more",
                });
            }
        }
        let follow_up = FollowUp::Evidence(old.clone());
        self.propose(Command::RelieveRequests(old), follow_up, turn);
    }
}

fn has_endings(suspect: &Suspect) -> bool {
    !suspect.ended.is_empty()
}
