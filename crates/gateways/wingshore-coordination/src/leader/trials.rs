//! Trials of suspect requests: answers gateways that ask for one, and commits the results.

use super::decision_log::Decision;
use super::decisions::trials::{
    Asker, ServerFate, TrialContext, TrialStep, is_sign_of_life, next_step,
};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::evidence::CrashEvidence;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId};
use crate::messages::{CoordinatorMessage, OpenTrial, TrialAnswer, TrialEnd, TrialRequest};
use crate::state::{Command, CoordinationState, MAX_CRASHES_PER_REQUEST, REJECTION_THRESHOLD};

impl CoordinationLeader {
    /// Handles a gateway that asks for a trial.
    pub(crate) fn on_trial_requested(
        &mut self,
        gateway: GatewayId,
        request: TrialRequest,
        turn: &mut Turn<'_>,
    ) {
        let (id, fingerprint) = (request.id, request.request);
        let until = turn.now + request.time_limit;
        let asker = Asker {
            gateway,
            request,
            until,
        };
        if !self.trials.wait(asker) {
            return answer(gateway, id, TrialAnswer::Refused, turn);
        }
        self.serve_trials(fingerprint, turn);
    }

    /// Answers the gateways that wait to run a request, as far as that can be decided now.
    pub(super) fn serve_trials(&mut self, request: RequestFingerprint, turn: &mut Turn<'_>) {
        while let Some(asker) = self.trials.take_waiting(turn.now, request) {
            let (gateway, id) = (asker.gateway, asker.request.id);
            match next_step(self.trial_context(&asker, turn)) {
                TrialStep::Refuse => answer(gateway, id, TrialAnswer::Refused, turn),
                TrialStep::LetRun => answer(gateway, id, TrialAnswer::NotNeeded, turn),
                TrialStep::Wait => return self.trials.wait_first(asker),
                TrialStep::Grant => self.open_trial(&asker, turn),
            }
        }
    }

    fn trial_context(&self, asker: &Asker, turn: &Turn<'_>) -> TrialContext {
        let request = asker.request.request;
        let suspect = turn.state.evidence().suspect(request);
        TrialContext {
            is_report_time: turn.now < self.placing_starts_at,
            is_open: self.trials.is_open(request),
            is_server_on_trial: self.trials.has_trial_at(&asker.request.instance),
            is_evidence_pending: self.evidence.is_pending(request),
            is_paused: self.trials.is_paused(turn.now, request),
            is_rejected: suspect.is_some_and(|suspect| suspect.rejected),
            crash_count: suspect.map_or(0, |suspect| suspect.ended.len()),
        }
    }

    /// Commits a run as a crash of its server; the gateway is told once that is durable.
    fn open_trial(&mut self, asker: &Asker, turn: &mut Turn<'_>) {
        let (request, instance) = (asker.request.request, &asker.request.instance);
        let known = crashed_instances(request, turn.state);
        if known.contains(instance) && !self.has_outlived_crash(instance) {
            return answer(asker.gateway, asker.request.id, TrialAnswer::Refused, turn);
        }
        let before: Vec<InstanceId> = known.iter().filter(|at| *at != instance).cloned().collect();
        let mut crashed = vec![instance.clone()];
        if before.len() < known.len() {
            // The server was blamed although it lives: its next crash must count.
            self.propose(
                Command::ClearRequests(vec![request]),
                FollowUp::Nothing,
                turn,
            );
            crashed = [before.clone(), crashed].concat();
        }
        turn.log(Decision::TrialGranted {
            request,
            instance: instance.clone(),
            gateway: asker.gateway,
            crashed_before: before.len(),
        });
        self.trials.open(asker, before);
        self.propose(
            Command::NoteCrashes(evidence_of(request, crashed)),
            FollowUp::TrialRecorded(request),
            turn,
        );
    }

    /// Whether a server that was reported as crashed has been heard of since.
    fn has_outlived_crash(&self, instance: &InstanceId) -> bool {
        let heard_at = self.heartbeats.last_heard_at(instance);
        let crashed_at = self.evidence.crashed_at(instance);
        let crashed_at = crashed_at.unwrap_or(self.placing_starts_at);
        heard_at.is_some_and(|heard_at| is_sign_of_life(heard_at, crashed_at))
    }

    /// Grants a trial that is committed.
    pub(super) fn on_trial_recorded(&mut self, request: RequestFingerprint, turn: &mut Turn<'_>) {
        self.evidence.record_change(turn.now, request, true);
        if let Some(trial) = self.trials.start(turn.now, request) {
            answer(trial.gateway, trial.id, TrialAnswer::Granted, turn);
        }
    }

    /// Handles the end of a run, as its gateway reports it.
    pub(crate) fn on_trial_ended(
        &mut self,
        request: RequestFingerprint,
        instance: &InstanceId,
        end: TrialEnd,
        turn: &mut Turn<'_>,
    ) {
        let is_open = self.trials.is_unresolved_at(request, instance);
        match end {
            TrialEnd::Survived if is_open => self.trial_survived(request, turn),
            TrialEnd::Survived => self.on_requests_succeeded(vec![request], turn),
            TrialEnd::NotRun if is_open && !self.evidence.is_pending(request) => {
                self.revert_trial(request, "it did not run", turn);
            }
            // What is reported of the request's crashes may be about this server.
            TrialEnd::NotRun | TrialEnd::Unknown if is_open => {
                self.trials.ended_unknown(turn.now, request);
            }
            TrialEnd::NotRun | TrialEnd::Unknown => {}
        }
    }

    /// Clears a request whose server has survived its run.
    fn trial_survived(&mut self, request: RequestFingerprint, turn: &mut Turn<'_>) {
        self.evidence.clear(&[request]);
        self.trials.settling(request);
        self.trials.cleared(request);
        turn.log(Decision::RequestCleared {
            request,
            reason: "its server survived a trial",
        });
        let command = Command::ClearRequests(vec![request]);
        self.propose(command, FollowUp::TrialSettled(request), turn);
    }

    /// Takes back the crash that was committed for a run.
    fn revert_trial(
        &mut self,
        request: RequestFingerprint,
        reason: &'static str,
        turn: &mut Turn<'_>,
    ) {
        turn.log(Decision::TrialReverted { request, reason });
        let before = self.trials.settling(request);
        self.replace_crashes(request, before, FollowUp::TrialSettled(request), turn);
    }

    /// Commits other crashes against a request than those that are recorded.
    fn replace_crashes(
        &mut self,
        request: RequestFingerprint,
        crashed: Vec<InstanceId>,
        follow_up: FollowUp,
        turn: &mut Turn<'_>,
    ) {
        self.propose(
            Command::ClearRequests(vec![request]),
            FollowUp::Nothing,
            turn,
        );
        let command = Command::NoteCrashes(evidence_of(request, crashed));
        self.propose(command, follow_up, turn);
    }

    /// Takes back possible crashes of a request, as far as enough others count against it; returns
    /// whether there were any. They only serve to put a request on trial.
    pub(super) fn drop_possible_crashes(
        &mut self,
        request: RequestFingerprint,
        turn: &mut Turn<'_>,
    ) -> bool {
        let crashed = crashed_instances(request, turn.state);
        let (possible, certain): (Vec<InstanceId>, Vec<InstanceId>) = crashed
            .into_iter()
            .partition(|instance| self.evidence.is_possible(request, instance));
        let needed = REJECTION_THRESHOLD.saturating_sub(certain.len());
        if self.trials.is_open(request) || possible.len() <= needed {
            return false;
        }
        let kept = possible.into_iter().take(needed).chain(certain).collect();
        self.evidence.committing(&[request]);
        let follow_up = FollowUp::CrashesRecorded(vec![request]);
        self.replace_crashes(request, kept, follow_up, turn);
        true
    }

    /// Closes a trial whose result is committed.
    pub(super) fn on_trial_settled(&mut self, request: RequestFingerprint, turn: &mut Turn<'_>) {
        self.trials.close(request);
        self.on_crashes_recorded(vec![request], turn);
    }

    /// Closes a trial whose server has crashed: the crash that was committed for it stands.
    pub(super) fn on_trial_crashed(&mut self, request: RequestFingerprint, turn: &mut Turn<'_>) {
        if let Some(instance) = self.trials.instance(request) {
            turn.log(Decision::TrialCrashed { request, instance });
        }
        self.trials.close(request);
        self.trials.crashed(turn.now, request);
        self.on_crashes_recorded(vec![request], turn);
    }

    /// Takes back the crash that was committed for a run whose result shows nothing, and pauses
    /// trials of the request.
    pub(super) fn pause_trials(
        &mut self,
        request: RequestFingerprint,
        reason: &'static str,
        turn: &mut Turn<'_>,
    ) {
        self.trials.pause(turn.now, request);
        self.revert_trial(request, reason, turn);
    }

    /// Handles the trials that an earlier leader granted to a gateway.
    pub(crate) fn on_open_trials(
        &mut self,
        gateway: GatewayId,
        trials: Vec<OpenTrial>,
        turn: &mut Turn<'_>,
    ) {
        for trial in trials {
            let mut before = crashed_instances(trial.request, turn.state);
            before.retain(|at| *at != trial.instance);
            self.trials.adopt(turn.now, gateway, trial, before);
        }
    }

    /// Resolves runs of unknown result, and answers gateways that wait.
    pub(super) fn drive_trials(&mut self, turn: &mut Turn<'_>) {
        let servers = turn.state.servers();
        let heartbeats = &self.heartbeats;
        let resolved = self.trials.resolved(
            turn.now,
            |instance| servers.contains_key(instance),
            |instance| heartbeats.last_heard_at(instance),
        );
        for (request, fate) in resolved {
            match fate {
                ServerFate::Crashed => self.on_trial_crashed(request, turn),
                ServerFate::Survived => {
                    self.pause_trials(request, "its result is unknown, its server lives", turn);
                }
            }
        }
        self.close_trials_of_earlier_leaders(turn);
        for request in self.trials.awaited() {
            self.serve_trials(request, turn);
        }
    }

    /// Rejects the requests whose last trial an earlier leader granted and no gateway has reported:
    /// without a known good end it counts as a crash.
    fn close_trials_of_earlier_leaders(&mut self, turn: &mut Turn<'_>) {
        if self.has_closed_earlier_trials || turn.now < self.placing_starts_at {
            return;
        }
        self.has_closed_earlier_trials = true;
        let suspects = turn.state.evidence().suspects();
        let undecided = suspects
            .filter(|suspect| !suspect.rejected && suspect.ended.len() >= MAX_CRASHES_PER_REQUEST)
            .map(|suspect| suspect.fingerprint)
            .collect();
        self.on_crashes_recorded(undecided, turn);
    }
}

fn answer(gateway: GatewayId, id: u64, answer: TrialAnswer, turn: &mut Turn<'_>) {
    turn.send(gateway, CoordinatorMessage::Trial { id, answer });
}

fn crashed_instances(request: RequestFingerprint, state: &CoordinationState) -> Vec<InstanceId> {
    let suspect = state.evidence().suspect(request);
    suspect.map_or_else(Vec::new, |suspect| suspect.ended.clone())
}

fn evidence_of(request: RequestFingerprint, crashed: Vec<InstanceId>) -> Vec<CrashEvidence> {
    let evidence = crashed.into_iter().map(|instance| CrashEvidence {
        fingerprint: request,
        instance,
    });
    evidence.collect()
}
