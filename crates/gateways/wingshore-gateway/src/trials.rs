//! Trials of suspect requests: asks the leader for them, and reports how they ended.
//!
//! The leader decides; [`forward`](crate::forward) waits for its answer and runs the request. A run
//! on trial is not cancelled when its client leaves, since its result is what the trial is for.

use crate::environment::Environment;
use crate::exchange::Exchange;
use crate::request_suspicion;
use crate::trial_table::{Trial, TrialResult};
use slog::info;
use wingshore_coordination::{
    GatewayMessage, InstanceId, RequestFingerprint, TRIALS_FORMAT, TrialEnd, TrialRequest,
};

/// What a suspect request needs before it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Nothing: it is no suspect, or the leader is of a build without trials.
    NotNeeded,
    /// A trial, for which the leader can be asked.
    Trial(RequestFingerprint),
    /// A trial, and there is no leader to ask.
    NoLeader,
}

/// The part of an exchange that is about trials.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum TrialState {
    /// No trial was asked for, or the last one has ended.
    #[default]
    None,
    /// The leader was asked with this identifier.
    Asked(u64),
    /// The leader has answered that the request may run without a trial.
    Exempt,
    /// The request runs on trial.
    Running(Trial),
}

/// Returns what a request needs before it may be sent to a server.
pub(crate) fn permission(environment: &Environment, exchange: &Exchange) -> Permission {
    if exchange.trial == TrialState::Exempt {
        return Permission::NotNeeded;
    }
    let Some(request) = request_suspicion::suspect_fingerprint(environment, exchange) else {
        return Permission::NotNeeded;
    };
    let coordinators = &environment.site.coordinators;
    if coordinators.leader().is_none() {
        return Permission::NoLeader;
    }
    if coordinators.leader_speaks(TRIALS_FORMAT) {
        Permission::Trial(request)
    } else {
        Permission::NotNeeded
    }
}

/// Asks the leader for a trial of a request at a server.
pub(crate) fn ask(
    environment: &mut Environment,
    exchange: &mut Exchange,
    request: RequestFingerprint,
    instance: &InstanceId,
) {
    let now = environment.runtime.now;
    let until = exchange.deadline;
    let trial = Trial {
        request,
        instance: instance.clone(),
        until,
    };
    let id = environment.servers.trials.ask(trial);
    exchange.trial = TrialState::Asked(id);
    info!(environment.runtime.logger, "trial asked"; "request" => exchange.id_text(),
        "fingerprint" => %request, "server" => %instance);
    environment.report(GatewayMessage::AskTrial(TrialRequest {
        id,
        request,
        instance: instance.clone(),
        time_limit: until.since(now),
    }));
}

/// Reports that a granted trial did not run.
pub(crate) fn not_run(environment: &mut Environment, trial: Trial) {
    let result = TrialResult {
        request: trial.request,
        instance: trial.instance,
        end: TrialEnd::NotRun,
    };
    report(environment, result);
}

/// Records that a request is sent on trial.
pub(crate) fn started(environment: &mut Environment, exchange: &mut Exchange, trial: Trial) {
    environment.servers.trials.started(trial.clone());
    exchange.trial = TrialState::Running(trial);
}

/// Reports the end of an attempt, if it ran on trial.
pub(crate) fn ended(environment: &mut Environment, exchange: &mut Exchange, end: TrialEnd) {
    if !matches!(exchange.trial, TrialState::Running(_)) {
        return;
    }
    let TrialState::Running(trial) = std::mem::take(&mut exchange.trial) else {
        return;
    };
    environment.servers.trials.ended(&trial);
    info!(environment.runtime.logger, "trial ended"; "request" => exchange.id_text(),
        "fingerprint" => %trial.request, "server" => %trial.instance, "end" => ?end);
    environment.runtime.metrics.trial_ended(end);
    let result = TrialResult {
        request: trial.request,
        instance: trial.instance,
        end,
    };
    report(environment, result);
}

/// Tells a new leader which trials run here, and how those have ended that no leader was told of.
pub(crate) fn report_all(environment: &mut Environment) {
    if !environment.site.coordinators.leader_speaks(TRIALS_FORMAT) {
        return;
    }
    let now = environment.runtime.now;
    let open = environment.servers.trials.open(now);
    if !open.is_empty() {
        environment.report(GatewayMessage::OpenTrials(open));
    }
    for result in environment.servers.trials.take_unreported() {
        report(environment, result);
    }
}

fn report(environment: &mut Environment, result: TrialResult) {
    if !environment.site.coordinators.leader_speaks(TRIALS_FORMAT) {
        return environment.servers.trials.keep(result);
    }
    let TrialResult {
        request,
        instance,
        end,
    } = result;
    environment.report(GatewayMessage::TrialEnded {
        request,
        instance,
        end,
    });
}
