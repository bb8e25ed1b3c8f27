//! What is logged and counted of forwarded requests.

use crate::environment::Environment;
use crate::exchange::{Exchange, Failure};
use crate::protocol::OwnAnswer;
use crate::request_suspicion::fingerprint_text;
use slog::{info, warn};
use wingshore_coordination::InstanceId;

/// A client's request was answered by a server.
pub(crate) fn served(
    environment: &mut Environment,
    exchange: &Exchange,
    instance: &InstanceId,
    status: u16,
) {
    let now = environment.runtime.now;
    let runtime = &mut environment.runtime;
    let time = now.since(exchange.begun);
    runtime
        .metrics
        .request_ended(&exchange.route.name, "served", time);
    let id = exchange.id_text();
    if runtime.samples(&id) {
        let view = &environment.site.view;
        info!(runtime.logger, "served"; "request" => id, "route" => &exchange.route.name,
            "service" => %exchange.service, "server" => %instance, "status" => status,
            "attempts" => exchange.history.attempts + 1,
            "refusals" => exchange.history.refusals,
            "after_ms" => time.as_millis() as u64, "configuration" => view.version(),
            "epoch" => view.epoch().0);
    }
}

/// A client gets the answer of a server that failed.
pub(crate) fn server_failed(environment: &Environment, exchange: &Exchange) {
    let now = environment.runtime.now;
    let time = now.since(exchange.begun);
    let metrics = &environment.runtime.metrics;
    metrics.request_ended(&exchange.route.name, "server_error", time);
}

/// An attempt brought no usable answer.
pub(crate) fn attempt_failed(
    environment: &Environment,
    exchange: &Exchange,
    instance: &InstanceId,
    failure: &Failure,
) {
    let now = environment.runtime.now;
    let runtime = &environment.runtime;
    warn!(runtime.logger, "attempt failed"; "request" => exchange.id_text(),
        "fingerprint" => fingerprint_text(&environment.site, exchange),
        "server" => %instance, "reason" => failure.reason, "verdict" => ?failure.verdict,
        "after_ms" => now.since(exchange.begun).as_millis() as u64);
    runtime.metrics.attempt_ended(failure.reason);
}

/// A client's request is given up.
pub(crate) fn given_up(environment: &Environment, exchange: &Exchange, answer: OwnAnswer) {
    let now = environment.runtime.now;
    let (runtime, site) = (&environment.runtime, &environment.site);
    let time = now.since(exchange.begun);
    runtime
        .metrics
        .request_ended(&exchange.route.name, answer.name(), time);
    let known = site.view.servers_of(&exchange.service).count();
    warn!(runtime.logger, "given up"; "service" => %exchange.service, "servers" => known,
        "epoch" => site.view.epoch().0, "request" => exchange.id_text(),
        "fingerprint" => fingerprint_text(site, exchange),
        "route" => &exchange.route.name, "answer" => answer.name(),
        "attempts" => exchange.history.attempts, "refusals" => exchange.history.refusals,
        "after_ms" => time.as_millis() as u64, "configuration" => site.view.version());
}
