//! Evidence against requests during which servers crashed: commits it, rejects requests and clears
//! them. Gateways learn of rejected and cleared requests through the view.

use super::decision_log::Decision;
use super::decisions::crash_evidence::{Certainty, PendingEvidence};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::evidence::{CrashEvidence, Suspect};
use crate::fingerprint::RequestFingerprint;
use crate::ids::GatewayId;
use crate::messages::ObservedCrash;
use crate::state::Command;

impl CoordinationLeader {
    /// Handles a gateway's report of servers that crashed while they processed requests.
    pub(crate) fn on_requests_crashed(
        &mut self,
        gateway: GatewayId,
        seen: Vec<ObservedCrash>,
        certainty: Certainty,
        turn: &mut Turn<'_>,
    ) {
        for seen in seen {
            self.evidence
                .record(turn.now, gateway, seen, certainty, turn.state);
        }
    }

    /// Evaluates the evidence that is due, and proposes to record the part that counts.
    pub(crate) fn evaluate_evidence(&mut self, turn: &mut Turn<'_>) {
        let mut counts: Vec<CrashEvidence> = Vec::new();
        let mut crashed_trials = Vec::new();
        for PendingEvidence {
            evidence,
            gateway,
            certainty,
            ..
        } in self.evidence.take_due(turn.now)
        {
            let known = turn.state.evidence();
            let request = evidence.fingerprint;
            let weight = self.evidence.weight(&evidence);
            let counted_now = counts.iter().filter(|other| other.fingerprint == request);
            let crash_count = known.crash_count(request) + counted_now.count();
            let counted =
                weight.counts() && certainty.may_count(crash_count) && known.is_new(&evidence);
            if self.trials.is_unresolved_at(request, &evidence.instance) {
                crashed_trials.push((request, weight.counts()));
            }
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
        for (request, counts) in crashed_trials {
            if counts {
                self.on_trial_crashed(request, turn);
            } else {
                self.pause_trials(request, "most of its service crashed", turn);
            }
        }
        if counts.is_empty() {
            return;
        }
        let requests = counts.iter().map(|evidence| evidence.fingerprint);
        let requests: Vec<RequestFingerprint> = requests.collect();
        self.evidence.committing(&requests);
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
            self.trials.close(*request);
            self.trials.cleared(*request);
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
        self.evidence.committed(&requests);
        let is_final = |request: &RequestFingerprint| !self.drop_possible_crashes(*request, turn);
        let to_judge: Vec<RequestFingerprint> = requests.iter().copied().filter(is_final).collect();
        self.reject_requests(&to_judge, turn);
        self.on_evidence_changed(requests, turn);
    }

    /// Continues after a change of the evidence against these requests was committed.
    pub(crate) fn on_evidence_committed(
        &mut self,
        requests: Vec<RequestFingerprint>,
        turn: &mut Turn<'_>,
    ) {
        self.evidence.committed(&requests);
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
            if suspect.is_none() {
                self.trials.cleared(request);
            }
            self.serve_trials(request, turn);
        }
    }

    /// Proposes to reject those of these requests whose evidence reached the limit. An open trial
    /// is committed as a crash, so its result decides first.
    fn reject_requests(&mut self, requests: &[RequestFingerprint], turn: &mut Turn<'_>) {
        let has_reached_limit = |request: &&RequestFingerprint| {
            if self.trials.is_open(**request) {
                return false;
            }
            let suspect = turn.state.evidence().suspect(**request);
            suspect.is_some_and(|suspect| self.evidence.should_reject(suspect, turn.state))
        };
        let rejected: Vec<RequestFingerprint> =
            requests.iter().filter(has_reached_limit).copied().collect();
        if !rejected.is_empty() {
            self.evidence.committing(&rejected);
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
