//! Detects requests that crash servers, and reports them to the leader.
//!
//! [`CrashDetector`](crate::crashes::CrashDetector) decides what counts as evidence, and
//! [`suspects`](crate::suspects) what follows from it.

use crate::environment::Environment;
use crate::site::Site;
use crate::suspects::is_possible_cause;
use crate::upstream::LostRequest;
use slog::warn;
use wingshore_coordination::{
    GatewayMessage, InstanceId, ObservedCrash, RequestFingerprint, ViewChange,
};

/// Handles a connection that was lost while a server ran a request: probes whether the server has
/// crashed. Draining servers are ignored, since they end on their own.
pub(crate) fn connection_lost(
    environment: &mut Environment,
    lost: &LostRequest,
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
    report_evidence(environment, evidence.into_iter().collect());
    probe(environment, instance);
}

/// Opens a connection to a server whose connections were lost, unless it is known to have crashed.
/// The connection is refused if the server has crashed; otherwise it is kept for the next request.
pub(crate) fn probe(environment: &mut Environment, instance: &InstanceId) {
    let servers = &mut environment.servers;
    if let Some(address) = servers.crashes.next_probe(instance) {
        let runtime = &mut environment.runtime;
        servers.upstreams.open(runtime, instance, address);
    }
}

/// Handles an incarnation of a server that is known to have ended.
pub(crate) fn server_ended(environment: &mut Environment, instance: &InstanceId) {
    let now = environment.runtime.now;
    let evidence = environment.servers.crashes.server_ended(now, instance);
    report_evidence(environment, evidence);
}

/// Handles a new complete view: its registered servers may explain lost connections.
pub(crate) fn view_replaced(environment: &mut Environment) {
    let now = environment.runtime.now;
    let servers = environment.site.view.servers();
    let servers: Vec<_> = servers
        .map(|server| (server.instance.clone(), server.address))
        .collect();
    for (instance, address) in servers {
        let crashes = &mut environment.servers.crashes;
        let evidence = crashes.registered(now, &instance, address);
        report_evidence(environment, evidence);
    }
}

/// Handles a change of the view.
pub(crate) fn view_changed(environment: &mut Environment, change: &ViewChange) {
    let now = environment.runtime.now;
    let crashes = &mut environment.servers.crashes;
    match change {
        ViewChange::Server(server) => {
            let evidence = crashes.registered(now, &server.instance, server.address);
            report_evidence(environment, evidence);
        }
        ViewChange::Suspect(suspect) => crashes.announced(suspect.fingerprint, &suspect.ended),
        ViewChange::Cleared(request) => crashes.cleared(*request),
        ViewChange::Configuration(_) | ViewChange::Gone(_) | ViewChange::FingerprintKey(_) => {}
    }
}

/// Reports to a new leader the evidence that it may not know.
pub(crate) fn report_all(environment: &mut Environment) {
    let now = environment.runtime.now;
    let evidence = environment.servers.crashes.to_report(now);
    if !evidence.is_empty() {
        environment.report(GatewayMessage::RequestsCrashed(evidence));
    }
}

/// Clears a request that ran successfully: if servers had crashed while running it, it was not the
/// cause. `fingerprint_of` returns its fingerprint.
pub(crate) fn request_succeeded(
    environment: &mut Environment,
    fingerprint_of: impl FnOnce(&Site) -> Option<RequestFingerprint>,
) {
    let Some(suspicions) = environment.suspicions() else {
        return;
    };
    let request = fingerprint_of(&environment.site);
    let request = request.filter(|request| !suspicions.crashed_instances(*request).is_empty());
    if let Some(request) = request {
        environment.servers.crashes.cleared(request);
        environment.report(GatewayMessage::RequestsRan(vec![request]));
    }
}

fn report_evidence(environment: &mut Environment, seen: Vec<ObservedCrash>) {
    if seen.is_empty() {
        return;
    }
    for ObservedCrash { evidence, ago } in &seen {
        warn!(environment.runtime.logger, "server crashed while running request";
            "fingerprint" => %evidence.fingerprint, "server" => %evidence.instance,
            "ago_ms" => ago.as_millis() as u64);
    }
    environment.report(GatewayMessage::RequestsCrashed(seen));
}
