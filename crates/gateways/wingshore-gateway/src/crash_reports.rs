//! Detects requests that crash servers, and reports them to the leader.
//!
//! [`CrashDetector`](crate::crashes::CrashDetector) decides what counts as evidence, and
//! [`suspects`](crate::suspects) what follows from it.

use crate::environment::Environment;
use crate::servers::Servers;
use crate::site::Site;
use crate::suspects::is_possible_cause;
use crate::upstream::LostRequest;
use slog::warn;
use std::time::Duration;
use wingshore_coordination::{
    GatewayMessage, InstanceId, ObservedCrash, RequestFingerprint, TRIALS_FORMAT, ViewChange,
};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Time for which a server may go on with a request after its connection was closed: it finishes
/// the request, or notices the closed connection.
const RUN_TIME_AFTER_CLOSE: Duration = Duration::from_secs(2);

/// Handles a connection that was lost while a server ran a request: probes whether the server has
/// crashed. A draining server may have ended on its own, and a request that was sent immediately
/// before is hardly the cause: such a crash is only a possible one.
pub(crate) fn connection_lost(
    environment: &mut Environment,
    lost: &LostRequest,
    request: Option<RequestFingerprint>,
) {
    let now = environment.runtime.now;
    let instance = &lost.instance;
    let server = environment.site.view.server(instance);
    let (Some(request), Some(server)) = (request, server) else {
        return;
    };
    let address = server.address;
    let is_running = is_possible_cause(now, lost.sent_at) && !server.draining;
    let crashes = &mut environment.servers.crashes;
    if is_running {
        let evidence = crashes.connection_lost(now, instance, address, request);
        report_evidence(environment, evidence.into_iter().collect());
    } else {
        crashes.attempt_unfinished(now, instance, address, request, now);
        crashes.idle_connection_lost(now, instance);
        report_possible(environment);
    }
    probe(environment, instance);
}

/// Handles an attempt whose connection the gateway closed before the answer: the server may still
/// be running the request, until `deadline` at the latest. Keeps a connection to the server, whose
/// loss shows that the server has ended.
pub(crate) fn attempt_closed(
    environment: &mut Environment,
    instance: &InstanceId,
    request: Option<RequestFingerprint>,
    deadline: Option<Instant>,
) {
    let now = environment.runtime.now;
    let server = environment.site.view.server(instance);
    let (Some(request), Some(server)) = (request, server) else {
        return;
    };
    let address = server.address;
    let latest = now + RUN_TIME_AFTER_CLOSE;
    let runs_until = deadline.map_or(latest, |deadline| deadline.min(latest));
    let Servers {
        crashes, upstreams, ..
    } = &mut environment.servers;
    crashes.attempt_unfinished(now, instance, address, request, runs_until);
    if !upstreams.has_connection_to(instance) {
        upstreams.open(&mut environment.runtime, instance, address);
    }
    report_possible(environment);
}

/// Handles a connection without a request that was lost.
pub(crate) fn idle_connection_lost(environment: &mut Environment, instance: &InstanceId) {
    let now = environment.runtime.now;
    let crashes = &mut environment.servers.crashes;
    crashes.idle_connection_lost(now, instance);
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

/// Records that the server at the other end of a connection is alive.
pub(crate) fn seen_alive(environment: &mut Environment, connection: ConnectionId) {
    let now = environment.runtime.now;
    let Servers {
        crashes, upstreams, ..
    } = &mut environment.servers;
    if let Some(upstream) = upstreams.get(connection) {
        crashes.seen_alive(now, &upstream.instance);
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
    let possible = environment.servers.crashes.possible_to_report(now);
    if !possible.is_empty() {
        send_possible(environment, possible);
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
    report_possible(environment);
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

/// Reports the possible crashes that were found.
fn report_possible(environment: &mut Environment) {
    let found = environment.servers.crashes.take_possible();
    if found.is_empty() {
        return;
    }
    for ObservedCrash { evidence, ago } in &found {
        warn!(environment.runtime.logger, "server crashed after unfinished attempt";
            "fingerprint" => %evidence.fingerprint, "server" => %evidence.instance,
            "ago_ms" => ago.as_millis() as u64);
    }
    send_possible(environment, found);
}

/// Sends possible crashes to the leader, unless it is of a build that does not know them.
fn send_possible(environment: &mut Environment, found: Vec<ObservedCrash>) {
    if environment.site.coordinators.leader_speaks(TRIALS_FORMAT) {
        environment.report(GatewayMessage::RequestsMayHaveCrashed(found));
    }
}
