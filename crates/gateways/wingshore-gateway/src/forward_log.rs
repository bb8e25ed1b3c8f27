//! Log lines and metrics of forwarded requests.

use crate::environment::Environment;
use crate::exchange::{AttemptFailure, Exchange};
use crate::protocol::OwnAnswer;
use crate::request_suspicion::fingerprint_text;
use crate::running_attempt::RunningAttempt;
use slog::{info, warn};
use std::time::Duration;
use wingshore_coordination::InstanceId;

/// Logs and counts a client's request that a server answered.
pub(crate) fn served(
    environment: &mut Environment,
    exchange: &Exchange,
    instance: &InstanceId,
    status: u16,
) {
    let now = environment.runtime.now;
    let runtime = &mut environment.runtime;
    let time = now.since(exchange.started_at);
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

/// Counts a client's request that ends with a server's error answer.
pub(crate) fn server_failed(environment: &Environment, exchange: &Exchange) {
    let now = environment.runtime.now;
    let time = now.since(exchange.started_at);
    let metrics = &environment.runtime.metrics;
    metrics.request_ended(&exchange.route.name, "server_error", time);
}

/// Logs and counts an attempt that yielded no usable answer.
pub(crate) fn attempt_failed(
    environment: &Environment,
    exchange: &Exchange,
    instance: &InstanceId,
    failure: &AttemptFailure,
) {
    let now = environment.runtime.now;
    let runtime = &environment.runtime;
    warn!(runtime.logger, "attempt failed"; "request" => exchange.id_text(),
        "fingerprint" => fingerprint_text(&environment.site, exchange),
        "server" => %instance, "reason" => failure.reason, "verdict" => ?failure.verdict,
        "after_ms" => now.since(exchange.started_at).as_millis() as u64);
    runtime.metrics.attempt_ended(failure.reason);
}

/// Logs and counts an attempt that a second one at the server `winner` has overtaken.
pub(crate) fn attempt_overtaken(
    environment: &Environment,
    exchange: &Exchange,
    instance: &InstanceId,
    winner: &InstanceId,
    time: Duration,
) {
    let runtime = &environment.runtime;
    info!(runtime.logger, "attempt overtaken"; "request" => exchange.id_text(),
        "route" => &exchange.route.name, "service" => %exchange.service,
        "server" => %instance, "by" => %winner, "after_ms" => time.as_millis() as u64);
    runtime.metrics.attempt_ended("overtaken");
}

/// Logs and counts an attempt that was cancelled because nobody waits for its answer any more. Its
/// server may still be running the request.
pub(crate) fn attempt_cancelled(
    environment: &Environment,
    exchange: &Exchange,
    attempt: &RunningAttempt,
) {
    let now = environment.runtime.now;
    let runtime = &environment.runtime;
    info!(runtime.logger, "attempt cancelled"; "request" => exchange.id_text(),
        "fingerprint" => fingerprint_text(&environment.site, exchange),
        "route" => &exchange.route.name, "server" => %attempt.instance,
        "after_ms" => now.since(attempt.started_at).as_millis() as u64);
    runtime.metrics.attempt_ended("cancelled");
}

/// Logs and counts a client's request that failed.
pub(crate) fn request_failed(environment: &Environment, exchange: &Exchange, answer: OwnAnswer) {
    let now = environment.runtime.now;
    let (runtime, site) = (&environment.runtime, &environment.site);
    let time = now.since(exchange.started_at);
    runtime
        .metrics
        .request_ended(&exchange.route.name, answer.name(), time);
    let server_count = site.view.servers_of(&exchange.service).count();
    warn!(runtime.logger, "request failed"; "service" => %exchange.service, "servers" => server_count,
        "epoch" => site.view.epoch().0, "request" => exchange.id_text(),
        "fingerprint" => fingerprint_text(site, exchange),
        "route" => &exchange.route.name, "answer" => answer.name(),
        "attempts" => exchange.history.attempts, "refusals" => exchange.history.refusals,
        "after_ms" => time.as_millis() as u64, "configuration" => site.view.version());
}
