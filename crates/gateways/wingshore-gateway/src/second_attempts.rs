//! Second attempts: the start of one, and the end of a race of two attempts.
//!
//! [`second_attempt`](crate::second_attempt) decides, by the answer times and budgets that
//! [`SecondAttempts`](crate::second_attempt_services::SecondAttempts) holds;
//! [`forward`](crate::forward) owns the exchanges.

use crate::environment::Environment;
use crate::exchange::{Exchange, Origin};
use crate::forward_log as log;
use crate::ids::ExchangeId;
use crate::metrics::SecondAttemptOutcome;
use crate::request_suspicion;
use crate::running_attempt::RunningAttempt;
use crate::second_attempt::{self, Requester, SecondAttemptContext};
use crate::send_attempt;
use std::time::Duration;
use wingshore_coordination::{RouteKind, ServerRecord};
use wingshore_types::Instant;

/// Records how long a server took to answer, or took without an answer until its attempt was
/// abandoned. The answers of streams are not compared with those of other requests.
pub(crate) fn record_latency(environment: &mut Environment, exchange: &Exchange, time: Duration) {
    if exchange.route.kind == RouteKind::Streaming {
        return;
    }
    let now = environment.runtime.now;
    let seconds = &mut environment.servers.second_attempts;
    seconds.record_latency(now, &exchange.service, time);
}

/// Returns when a second attempt is due, if the attempt that starts now is the only one; `None` if
/// there will be none.
pub(crate) fn due_at(environment: &mut Environment, exchange: &Exchange) -> Option<Instant> {
    let now = environment.runtime.now;
    let seconds = &mut environment.servers.second_attempts;
    let is_possible = second_attempt::is_second_possible(
        exchange.limits(),
        exchange.history,
        exchange.route.kind == RouteKind::Streaming,
    );
    if !is_possible || exchange.had_second || exchange.is_on_trial() {
        return None;
    }
    let target_latency = exchange.route.target_latency;
    let delay = seconds.delay(now, &exchange.service, target_latency)?;
    Some(now + delay)
}

/// Starts the second attempt that is due, if it may start.
pub(crate) fn start(environment: &mut Environment, id: ExchangeId, exchange: &mut Exchange) {
    exchange.second_due_at = None;
    let server = choose_free_server(environment, exchange);
    let context = SecondAttemptContext {
        limits: exchange.limits(),
        history: exchange.history,
        is_stream: exchange.route.kind == RouteKind::Streaming,
        is_suspect: request_suspicion::is_suspect(environment, exchange)
            || request_suspicion::is_rejected(environment, exchange),
        has_free_server: server.is_some(),
    };
    let Some(server) = server.filter(|_| second_attempt::may_start_second(context)) else {
        return;
    };
    let seconds = &mut environment.servers.second_attempts;
    if !seconds.take_token(&exchange.service, requester(exchange)) {
        environment
            .runtime
            .metrics
            .second_attempt(SecondAttemptOutcome::OverBudget);
        return;
    }
    exchange.had_second = true;
    exchange.sent_to.push(server.instance.clone());
    if let Some(mut attempt) = send_attempt::send(environment, id, exchange, &server) {
        attempt.is_second = true;
        exchange.running.push(attempt);
        environment
            .runtime
            .metrics
            .second_attempt(SecondAttemptOutcome::Started);
    }
}

/// Ends the attempts that are still running after another one has yielded the answer: closes their
/// connections, so that the servers can stop working.
///
/// A server that was overtaken counts the elapsed time as its latency. A second attempt that the
/// first one has overtaken says nothing about its server: it had less time.
pub(crate) fn end_losers(
    environment: &mut Environment,
    exchange: &mut Exchange,
    winner: &RunningAttempt,
) {
    let now = environment.runtime.now;
    if winner.is_second {
        environment
            .runtime
            .metrics
            .second_attempt(SecondAttemptOutcome::Won);
    }
    for loser in std::mem::take(&mut exchange.running) {
        send_attempt::close(environment, exchange, &loser);
        if loser.is_second {
            continue;
        }
        let time = now.since(loser.started_at);
        let balancer = &mut environment.servers.balancer;
        balancer.timed_out(now, &loser.instance, time);
        record_latency(environment, exchange, time);
        log::attempt_overtaken(
            environment,
            exchange,
            &loser.instance,
            &winner.instance,
            time,
        );
    }
}

fn requester(exchange: &Exchange) -> Requester {
    match exchange.origin {
        Origin::Client(_) => Requester::Client,
        Origin::Scoring(_) | Origin::Nobody => Requester::Scoring,
    }
}

/// Returns the best server with a free slot that the request was not sent to yet.
fn choose_free_server(environment: &Environment, exchange: &Exchange) -> Option<ServerRecord> {
    let now = environment.runtime.now;
    let site = &environment.site;
    let balancer = &environment.servers.balancer;
    let candidates = site.view.servers_of(&exchange.service);
    let free = candidates.filter(|server| balancer.has_free_slot(now, server));
    balancer
        .choose(now, &site.zone, free, &exchange.sent_to)
        .cloned()
}
