//! Evidence against requests during which servers crashed: commits it, rejects requests and clears
//! them. Gateways learn of rejected and cleared requests through the view.

use super::decision_log::Decision;
use super::decisions::crash_evidence::PendingEvidence;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::evidence::Suspect;
use crate::fingerprint::RequestFingerprint;
use crate::ids::GatewayId;
use crate::messages::ObservedCrash;
use crate::state::{Command, CoordinationState};
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Handles a gateway's report of servers that crashed while they processed requests.
    pub(crate) fn on_requests_crashed(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        seen: Vec<ObservedCrash>,
        state: &CoordinationState,
    ) {
        for seen in seen {
            self.evidence.record(now, gateway, seen, state);
        }
    }

    /// Evaluates the evidence that is due, and proposes to record the part that counts.
    pub(crate) fn evaluate_evidence(&mut self, turn: &mut Turn<'_>) {
        let mut counts = Vec::new();
        for PendingEvidence {
            evidence, gateway, ..
        } in self.evidence.take_due(turn.now)
        {
            let known = turn.state.evidence();
            let weight = self.evidence.weight(&evidence);
            let counted = weight.counts() && known.is_new(&evidence);
            turn.log(Decision::RequestSuspected {
                request: evidence.fingerprint,
                instance: evidence.instance.clone(),
                gateway,
                ended_together: weight.simultaneous,
                under_request: weight.under_request,
                ended_before: known.crash_count(evidence.fingerprint),
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
        self.propose(command, FollowUp::CrashesRecorded(requests), turn);
    }

    /// Clears requests that succeeded although servers had crashed during them before.
    pub(crate) fn on_requests_succeeded(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        self.evidence.clear(&requests);
        let held = turn.state.evidence();
        let is_known = |request: &RequestFingerprint| held.crash_count(*request) > 0;
        let known: Vec<RequestFingerprint> = requests.into_iter().filter(is_known).collect();
        if known.is_empty() {
            return;
        }
        for request in &known {
            turn.log(Decision::RequestCleared {
                request: *request,
                reason: "the request succeeded",
            });
        }
        let follow_up = FollowUp::EvidenceChanged(known.clone());
        self.propose(Command::ClearRequests(known), follow_up, turn);
    }

    /// Rejects those of these requests that reached the limit after more crashes were committed.
    pub(crate) fn on_crashes_recorded(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        self.reject_requests(&requests, turn);
        self.on_evidence_changed(requests, turn);
    }

    /// Records the time at which the evidence against these requests changed, and logs the rejected
    /// ones.
    pub(crate) fn on_evidence_changed(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        for request in requests {
            let suspect = turn.state.evidence().suspect(request);
            self.evidence
                .record_change(turn.now, request, suspect.is_some_and(has_crashes));
            if let Some(suspect) = suspect.filter(|suspect| suspect.rejected) {
                turn.log(Decision::RequestRejected(suspect.clone()));
            }
        }
    }

    /// Proposes to reject those of these requests whose evidence reached the limit.
    fn reject_requests(&mut self, requests: &[RequestFingerprint], turn: &mut Turn<'_>) {
        let has_reached_limit = |request: &&RequestFingerprint| {
            let suspect = turn.state.evidence().suspect(**request);
            suspect.is_some_and(|suspect| self.evidence.should_reject(suspect, turn.state))
        };
        let rejected: Vec<RequestFingerprint> =
            requests.iter().filter(has_reached_limit).copied().collect();
        if !rejected.is_empty() {
            let follow_up = FollowUp::EvidenceChanged(rejected.clone());
            self.propose(Command::RejectRequests(rejected), follow_up, turn);
        }
    }

    /// Drops the oldest evidence against requests whose evidence has not changed for too long;
    /// rejected requests may then run once more.
    pub(crate) fn expire_evidence(&mut self, turn: &mut Turn<'_>) {
        let expired = self.evidence.take_expired(turn.now);
        if expired.is_empty() {
            return;
        }
        for request in &expired {
            let suspect = turn.state.evidence().suspect(*request);
            if suspect.is_some_and(|suspect| suspect.rejected) {
                turn.log(Decision::RequestCleared {
                    request: *request,
                    reason: "no new evidence for a long time: the request may run once more",
                });
            }
        }
        let follow_up = FollowUp::EvidenceChanged(expired.clone());
        self.propose(Command::RelieveRequests(expired), follow_up, turn);
    }
}

fn has_crashes(suspect: &Suspect) -> bool {
    !suspect.ended.is_empty()
}
