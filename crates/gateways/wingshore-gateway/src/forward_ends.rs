//! The end of a forwarded request, with or without an answer of a server.
//!
//! Builds the result for the originator of the request, and logs and counts it.

use crate::answer_matching::MatchedAnswer;
use crate::attempts;
use crate::environment::Environment;
use crate::exchange::{Exchange, ExchangeEnd, Origin, ScoringRequestEnd};
use crate::forward_log as log;
use crate::request_suspicion;
use crate::running_attempt::RunningAttempt;
use crate::second_attempts;
use crate::streams;
use crate::trials;
use wingshore_coordination::TrialEnd;

/// Handles a usable answer of a server.
pub(crate) fn answered(
    environment: &mut Environment,
    mut exchange: Exchange,
    attempt: &RunningAttempt,
    answer: MatchedAnswer,
) -> ExchangeEnd {
    let now = environment.runtime.now;
    let instance = &attempt.instance;
    // The time that earlier attempts took at other servers is not this server's latency.
    let attempt_latency = now.since(attempt.started_at);
    let balancer = &mut environment.servers.balancer;
    balancer.answered(now, instance, attempt_latency);
    second_attempts::record_latency(environment, &exchange, attempt_latency);
    let latency = now.since(exchange.started_at);
    trials::ended(environment, &mut exchange, TrialEnd::Survived);
    if answer.head().is_success() {
        request_suspicion::request_succeeded(environment, &mut exchange);
    }
    match exchange.origin {
        Origin::Client(client) => {
            log::served(
                environment,
                &exchange,
                instance,
                answer.head().status.code(),
            );
            ExchangeEnd::ServerAnswer { client, answer }
        }
        Origin::Nobody => ExchangeEnd::NobodyWaits,
        Origin::Scoring(scoring) => ExchangeEnd::Scoring {
            scoring,
            end: ScoringRequestEnd {
                history: exchange.history,
                is_in_time: latency <= exchange.route.target_latency,
                answer: Some(answer),
            },
        },
    }
}

/// Ends an exchange without a usable answer of a server.
pub(crate) fn give_up(environment: &Environment, exchange: &Exchange) -> ExchangeEnd {
    let now = environment.runtime.now;
    let is_past_deadline = now >= exchange.deadline;
    match exchange.origin {
        Origin::Client(client) if exchange.stream.is_some() => {
            streams::log_broken(environment, exchange);
            ExchangeEnd::StreamBroken(client)
        }
        Origin::Client(client) => {
            let (history, is_rejected) = (exchange.history, exchange.is_rejected);
            let answer = attempts::failure_answer(history, is_rejected, is_past_deadline);
            log::request_failed(environment, exchange, answer);
            ExchangeEnd::OwnAnswer { client, answer }
        }
        Origin::Nobody => ExchangeEnd::NobodyWaits,
        Origin::Scoring(scoring) => ExchangeEnd::Scoring {
            scoring,
            end: ScoringRequestEnd {
                history: exchange.history,
                is_in_time: false,
                answer: None,
            },
        },
    }
}
