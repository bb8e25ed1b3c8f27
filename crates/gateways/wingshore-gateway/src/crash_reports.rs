//! What this gateway learns of requests that end servers, and what it reports to the leader.
//!
//! Relies on [`CrashWatch`](crate::crashes::CrashWatch) for what counts as evidence and on
//! [`suspects`](crate::suspects) for what follows from it.

use crate::environment::Environment;
use crate::site::Site;
use crate::suspects::is_possible_cause;
use crate::upstream::LostSend;
use slog::warn;
use wingshore_coordination::{
    GatewayMessage, InstanceId, ObservedCrash, RequestFingerprint, ViewChange,
};

/// A connection was lost while a server ran a request: finds out whether the server has ended.
/// Servers that are leaving end by themselves.
pub(crate) fn connection_lost(
    environment: &mut Environment,
    lost: &LostSend,
    request: Option<RequestFingerprint>,
) {
    let now = environment.runtime.now;
    if !is_possible_cause(now, lost.sent_at) {
        return;
    }
    let instance = &lost.instance;
    let server = environment.site.view.server(instance);
    let server = server.filter(|server| !server.draining);
    let (Some(request), Some(server)) = (request, server) else {
        return;
    };
    let crashes = &mut environment.servers.crashes;
    let evidence = crashes.connection_lost(now, instance, server.address, request);
    take_evidence(environment, evidence.into_iter().collect());
    probe(environment, instance);
}

/// Opens a connection to a server whose connections were lost, unless it is known to have ended: it is
/// refused if the server has, and kept for the next request otherwise.
pub(crate) fn probe(environment: &mut Environment, instance: &InstanceId) {
    let servers = &mut environment.servers;
    if let Some(address) = servers.crashes.probe(instance) {
        let runtime = &mut environment.runtime;
        servers.upstreams.open(runtime, instance, address);
    }
}

/// An incarnation of a server is seen to have ended.
pub(crate) fn server_ended(environment: &mut Environment, instance: &InstanceId) {
    let now = environment.runtime.now;
    let evidence = environment.servers.crashes.server_ended(now, instance);
    take_evidence(environment, evidence);
}

/// The whole view has come: what is registered may explain lost connections.
pub(crate) fn view_replaced(environment: &mut Environment) {
    let now = environment.runtime.now;
    let servers = environment.site.view.servers();
    let servers: Vec<_> = servers
        .map(|server| (server.instance.clone(), server.address))
        .collect();
    for (instance, address) in servers {
        let crashes = &mut environment.servers.crashes;
        let evidence = crashes.registered(now, &instance, address);
        take_evidence(environment, evidence);
    }
}

/// The view has changed.
pub(crate) fn view_changed(environment: &mut Environment, change: &ViewChange) {
    let now = environment.runtime.now;
    let crashes = &mut environment.servers.crashes;
    match change {
        ViewChange::Server(server) => {
            let evidence = crashes.registered(now, &server.instance, server.address);
            take_evidence(environment, evidence);
        }
        ViewChange::Suspect(suspect) => crashes.announced(suspect.fingerprint, &suspect.ended),
        ViewChange::Cleared(request) => crashes.cleared(*request),
        ViewChange::Configuration(_) | ViewChange::Gone(_) | ViewChange::FingerprintKey(_) => {}
    }
}

/// Reports to a new leader what was found here.
pub(crate) fn report_all(environment: &mut Environment) {
    let now = environment.runtime.now;
    let evidence = environment.servers.crashes.to_report(now);
    if !evidence.is_empty() {
        environment.report(GatewayMessage::RequestsCrashed(evidence));
    }
}

/// An attempt at a request went well: if servers had ended under it, it was not the cause. `name` says
/// what it asks.
pub(crate) fn ran_well(
    environment: &mut Environment,
    name: impl FnOnce(&Site) -> Option<RequestFingerprint>,
) {
    let Some(suspicions) = environment.suspicions() else {
        return;
    };
    let request = name(&environment.site);
    let request = request.filter(|request| !suspicions.ended_under(*request).is_empty());
    if let Some(request) = request {
        environment.servers.crashes.cleared(request);
        environment.report(GatewayMessage::RequestsRan(vec![request]));
    }
}

fn take_evidence(environment: &mut Environment, seen: Vec<ObservedCrash>) {
    if seen.is_empty() {
        return;
    }
    for ObservedCrash { evidence, ago } in &seen {
        warn!(environment.runtime.logger, "server ended under request";
            "fingerprint" => %evidence.fingerprint, "server" => %evidence.instance,
            "ago_ms" => ago.as_millis() as u64);
    }
    environment.report(GatewayMessage::RequestsCrashed(seen));
}
