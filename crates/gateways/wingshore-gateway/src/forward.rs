//! Forwarding of requests to servers, attempt by attempt.
//!
//! Live requests and scorings take the same path; only the handling of the result differs. This
//! module owns the exchanges in progress. [`balance`](crate::balance) selects the server,
//! [`answers`] classifies an answer, [`attempts`] decides on another attempt,
//! [`attempt_timeouts`](crate::attempt_timeouts) sets the time limits, and [`second_attempts`] adds
//! a second attempt to one that is slow: the first usable answer wins. [`on_stream`] forwards
//! streams, [`on_trial`] runs requests that are suspected of crashing servers.

mod on_stream;
mod on_trial;

use crate::answer_matching::MatchedAnswer;
use crate::answers::{self, AnswerFacts, AnswerKind, MISDIRECTED_STATUS};
use crate::attempts::{self, NextStep, RetryContext};
use crate::crash_reports;
use crate::environment::Environment;
use crate::exchange::{AttemptFailure, Exchange, ExchangeEnd, Origin};
use crate::forward_ends::{answered, give_up};
use crate::forward_log as log;
use crate::ids::ExchangeId;
use crate::request_suspicion;
use crate::running_attempt::RunningAttempt;
use crate::runtime::Runtime;
use crate::second_attempts;
use crate::send_attempt;
use crate::split::ServiceSplit;
use crate::timers::TimerKey;
use crate::trials::{self, Permission};
use crate::upstream::{ConnectionEnd, LostRequest};
use std::collections::HashMap;
use wingshore_coordination::{InstanceId, Route, ServerRecord, ServiceName, TrialEnd};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// All requests that are being forwarded.
pub(crate) struct Exchanges {
    all: HashMap<ExchangeId, Exchange>,
    last_id: u64,
    split: ServiceSplit,
    /// When every request must be answered; set when a planned stop begins.
    stop_at: Option<Instant>,
}

impl Exchanges {
    /// Creates an empty set; `seed` must differ between gateways.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            all: HashMap::new(),
            last_id: 0,
            split: ServiceSplit::new(seed),
            stop_at: None,
        }
    }

    /// Returns an ID for a new exchange.
    pub(crate) fn next_id(&mut self) -> ExchangeId {
        self.last_id += 1;
        ExchangeId(self.last_id)
    }

    /// Returns the service for the next request of a route.
    pub(crate) fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        self.split.next(route)
    }

    /// Returns the number of live requests in flight at the servers of a service.
    pub(crate) fn live_in_flight(&self, service: &ServiceName) -> u32 {
        let live = self.all.values().filter(|exchange| {
            matches!(exchange.origin, Origin::Client(_)) && exchange.service == *service
        });
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Starts an exchange: arms its timer and sends the request to a server.
    #[must_use]
    pub(crate) fn begin(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
    ) -> Option<ExchangeEnd> {
        if let Some(stop_at) = self.stop_at {
            exchange.shorten_deadline(stop_at);
        }
        let timers = &mut environment.runtime.timers;
        timers.arm(exchange.deadline, TimerKey::Exchange(id));
        let seconds = &mut environment.servers.second_attempts;
        seconds.request_started(&exchange.service);
        self.send_to_server(environment, id, exchange)
    }

    /// Limits the deadline of all current and future requests to `stop_at`, for a planned stop.
    pub(crate) fn stop_by(&mut self, runtime: &mut Runtime, stop_at: Instant) {
        self.stop_at = Some(stop_at);
        for (id, exchange) in &mut self.all {
            exchange.shorten_deadline(stop_at);
            runtime
                .timers
                .arm(exchange.next_timer(), TimerKey::Exchange(*id));
        }
    }

    /// Sends a request to the best server that accepts a connection; gives up if there is none.
    fn send_to_server(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
    ) -> Option<ExchangeEnd> {
        let now = environment.runtime.now;
        loop {
            if request_suspicion::is_rejected(environment, &exchange) {
                request_suspicion::log_rejected(environment, &exchange);
                exchange.is_rejected = true;
                return Some(give_up(environment, &exchange));
            }
            match trials::permission(environment, &exchange) {
                Permission::NotNeeded => {}
                Permission::NoLeader => return Some(give_up(environment, &exchange)),
                Permission::Trial(request) => {
                    return self.ask_for_trial(environment, id, exchange, request);
                }
            }
            let Some(server) = choose_server(environment, &exchange, &exchange.sent_to) else {
                return Some(give_up(environment, &exchange));
            };
            exchange = self.try_server(environment, id, exchange, &server)?;
            if now >= exchange.deadline || !exchange.limits().may_retry(exchange.history) {
                return Some(give_up(environment, &exchange));
            }
        }
    }

    /// Sends a request to a server. Gives the exchange back if the operating system refuses a
    /// connection.
    fn try_server(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
        server: &ServerRecord,
    ) -> Option<Exchange> {
        exchange.sent_to.push(server.instance.clone());
        if let Some(attempt) = send_attempt::send(environment, id, &exchange, server) {
            self.await_answer(environment, id, exchange, attempt);
            return None;
        }
        trials::ended(environment, &mut exchange, TrialEnd::NotRun);
        exchange.history.record(Verdict::NotRun);
        Some(exchange)
    }

    /// Records that a request was sent to a server, and arms the timer of the attempt.
    fn await_answer(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
        attempt: RunningAttempt,
    ) {
        let now = environment.runtime.now;
        if matches!(exchange.origin, Origin::Client(_)) {
            let usage = &mut environment.usage;
            exchange.usage_window = usage.request_sent(now, exchange.tenant.as_ref());
        }
        exchange.second_due_at = second_attempts::due_at(environment, &exchange);
        exchange.running.push(attempt);
        let timers = &mut environment.runtime.timers;
        timers.arm(exchange.next_timer(), TimerKey::Exchange(id));
        self.all.insert(id, exchange);
    }

    /// Handles an established connection with a request on it: the time for the answer starts.
    pub(crate) fn on_connected(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        connection: ConnectionId,
    ) {
        let now = environment.runtime.now;
        let Some(exchange) = self.all.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = exchange.attempt_mut(connection) {
            attempt.connected_at = Some(now);
        }
        let timers = &mut environment.runtime.timers;
        timers.arm(exchange.next_timer(), TimerKey::Exchange(id));
    }

    /// Handles a complete answer of a server.
    #[must_use]
    pub(crate) fn on_answer(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        connection: ConnectionId,
        answer: MatchedAnswer,
    ) -> Option<ExchangeEnd> {
        let now = environment.runtime.now;
        let exchange = self.all.get_mut(&id)?;
        let attempt = exchange.take_attempt(connection)?;
        let instance = &attempt.instance;
        let balancer = &mut environment.servers.balancer;
        balancer.ended(instance);
        let names = environment.site.protocol.header_names();
        if let Some(load) = answers::reported_load(names, &answer) {
            balancer.load_reported(now, instance, load);
        }
        if exchange.stream.is_some() && answer.head().is_success() {
            return self.finish_stream(environment, id);
        }
        let facts = AnswerFacts::read(names, &answer);
        let kind = answers::classify_answer(facts);
        if answer.head().status.code() == MISDIRECTED_STATUS {
            crash_reports::server_ended(environment, instance);
        }
        if let Some(verdict) = kind.verdict() {
            let end = trial_end(verdict, kind);
            trials::ended(environment, exchange, end);
            let mut failure = AttemptFailure::new(verdict, false, kind.name());
            failure.answer = (kind == AnswerKind::ServerFailed).then_some(answer);
            return self.attempt_failed(environment, id, &attempt, failure);
        }
        environment.runtime.metrics.attempt_ended(kind.name());
        let mut exchange = self.all.remove(&id)?;
        second_attempts::end_losers(environment, &mut exchange, &attempt);
        Some(answered(environment, exchange, &attempt, answer))
    }

    /// Handles the end of a connection before a complete answer, or bytes that are not a valid
    /// answer.
    #[must_use]
    pub(crate) fn on_connection_ended(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        lost: &LostRequest,
    ) -> Option<ExchangeEnd> {
        let LostRequest {
            connection, end, ..
        } = lost;
        environment.servers.balancer.ended(&lost.instance);
        let verdict = end.verdict();
        if *end == ConnectionEnd::Lost {
            let exchange = self.all.get(&id);
            request_suspicion::connection_lost(environment, exchange, lost);
        }
        let exchange = self.all.get_mut(&id)?;
        let attempt = exchange.take_attempt(*connection)?;
        trials::ended(environment, exchange, end_without_answer(verdict));
        if end.is_own_close() {
            request_suspicion::attempt_closed(environment, exchange, &attempt);
        }
        let failure = AttemptFailure::new(verdict, end.ejects_server(), end.reason());
        self.attempt_failed(environment, id, &attempt, failure)
    }

    /// Handles a timer: a second attempt may be due, or the deadline of an attempt or of the whole
    /// request may have passed.
    #[must_use]
    pub(crate) fn on_timer(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
    ) -> Option<ExchangeEnd> {
        let now = environment.runtime.now;
        let exchange = self.all.get_mut(&id)?;
        if exchange.waits_for_trial() && now >= exchange.deadline {
            let exchange = self.all.remove(&id)?;
            return Some(give_up(environment, &exchange));
        }
        if exchange.is_second_due(now) && exchange.late_attempt(now).is_none() {
            second_attempts::start(environment, id, exchange);
        }
        while let Some(connection) = self.late_attempt(id, now) {
            if self.keep_if_alone(environment, id, connection) {
                continue;
            }
            let end = self.abandon(environment, id, connection);
            if end.is_some() {
                return end;
            }
        }
        let exchange = self.all.get(&id)?;
        let timers = &mut environment.runtime.timers;
        timers.arm(exchange.next_timer(), TimerKey::Exchange(id));
        None
    }

    /// Returns the connection of an attempt whose deadline has passed.
    fn late_attempt(&self, id: ExchangeId, now: Instant) -> Option<ConnectionId> {
        self.all.get(&id)?.late_attempt(now)
    }

    /// Keeps a late attempt running if no other server can get its request; returns whether it does.
    fn keep_if_alone(
        &mut self,
        environment: &Environment,
        id: ExchangeId,
        connection: ConnectionId,
    ) -> bool {
        let now = environment.runtime.now;
        let Some(exchange) = self.all.get_mut(&id) else {
            return false;
        };
        let is_connected = exchange
            .attempt_mut(connection)
            .is_some_and(|attempt| attempt.connected_at.is_some());
        let is_only = exchange.running.len() == 1;
        let is_kept = is_connected
            && is_only
            && now < exchange.deadline
            && !may_go_elsewhere(environment, exchange);
        if is_kept {
            exchange.keep(now, connection);
        }
        is_kept
    }

    /// Abandons an attempt whose deadline has passed, and closes its connection.
    fn abandon(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        connection: ConnectionId,
    ) -> Option<ExchangeEnd> {
        let now = environment.runtime.now;
        let exchange = self.all.get_mut(&id)?;
        let attempt = exchange.take_attempt(connection)?;
        let time = now.since(attempt.started_at);
        send_attempt::close(environment, exchange, &attempt);
        let balancer = &mut environment.servers.balancer;
        balancer.timed_out(now, &attempt.instance, time);
        second_attempts::record_latency(environment, exchange, time);
        let is_connected = attempt.connected_at.is_some();
        let verdict = if is_connected {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        trials::ended(environment, exchange, end_without_answer(verdict));
        let failure = AttemptFailure::new(verdict, !is_connected, "too slow");
        self.attempt_failed(environment, id, &attempt, failure)
    }

    /// Handles an attempt without a usable answer, which runs no longer: retries, or ends the
    /// exchange. If another attempt is running, the exchange waits for that one.
    fn attempt_failed(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        attempt: &RunningAttempt,
        failure: AttemptFailure,
    ) -> Option<ExchangeEnd> {
        let now = environment.runtime.now;
        let instance = &attempt.instance;
        if failure.ejects_server {
            environment.servers.balancer.failed(now, instance);
        }
        let mut exchange = self.all.remove(&id)?;
        log::attempt_failed(environment, &exchange, instance, &failure);
        record_failure(environment, &mut exchange, &failure);
        if !exchange.running.is_empty() {
            let timers = &mut environment.runtime.timers;
            timers.arm(exchange.next_timer(), TimerKey::Exchange(id));
            self.all.insert(id, exchange);
            return None;
        }
        if exchange.origin == Origin::Nobody {
            return None;
        }
        let client = exchange.client().filter(|_| exchange.stream.is_none());
        let for_client = failure.answer.zip(client);
        let context = RetryContext {
            is_suspect: request_suspicion::is_suspect(environment, &exchange),
            has_other_server: has_other_server(environment, &exchange),
            is_past_deadline: now >= exchange.deadline,
            has_server_answer: for_client.is_some(),
        };
        let step = attempts::next_step(exchange.limits(), exchange.history, context);
        match (step, for_client) {
            (NextStep::Retry, _) => self.send_to_server(environment, id, exchange),
            (NextStep::ForwardAnswer, Some((answer, client))) => {
                log::server_failed(environment, &exchange);
                Some(ExchangeEnd::ServerAnswer { client, answer })
            }
            (NextStep::ForwardAnswer | NextStep::GiveUp, _) => {
                Some(give_up(environment, &exchange))
            }
        }
    }

    /// Cancels an exchange, and closes its connections.
    fn cancel(&mut self, environment: &mut Environment, id: ExchangeId) {
        let Some(exchange) = self.all.remove(&id) else {
            return;
        };
        for attempt in &exchange.running {
            send_attempt::close(environment, &exchange, attempt);
            log::attempt_cancelled(environment, &exchange, attempt);
        }
    }
}

/// Returns how a trial ended whose server has answered.
fn trial_end(verdict: Verdict, kind: AnswerKind) -> TrialEnd {
    match kind {
        AnswerKind::ServerFailed => TrialEnd::Survived,
        _ => end_without_answer(verdict),
    }
}

/// Returns how a trial ended whose server has not answered.
fn end_without_answer(verdict: Verdict) -> TrialEnd {
    match verdict {
        Verdict::NotRun => TrialEnd::NotRun,
        _ => TrialEnd::Unknown,
    }
}

/// Returns the best server that is not excluded.
fn choose_server(
    environment: &Environment,
    exchange: &Exchange,
    excluded: &[InstanceId],
) -> Option<ServerRecord> {
    let now = environment.runtime.now;
    let site = &environment.site;
    let candidates = site.view.servers_of(&exchange.service);
    let balancer = &environment.servers.balancer;
    balancer
        .choose(now, &site.zone, candidates, excluded)
        .cloned()
}

/// Whether a request could be sent to another server if its running attempt were abandoned.
fn may_go_elsewhere(environment: &Environment, exchange: &Exchange) -> bool {
    let mut history = exchange.history;
    history.record(Verdict::MayHaveRun);
    exchange.limits().may_retry(history)
        && !request_suspicion::is_suspect(environment, exchange)
        && choose_server(environment, exchange, &exchange.sent_to).is_some()
}

/// Whether the service has a server that the request was not sent to yet.
fn has_other_server(environment: &Environment, exchange: &Exchange) -> bool {
    environment
        .site
        .view
        .servers_of(&exchange.service)
        .any(|server| !exchange.sent_to.contains(&server.instance))
}

/// Records an attempt that yielded no usable answer. The usage count of the request stands once an
/// attempt may have run, and is taken back when none has.
fn record_failure(
    environment: &mut Environment,
    exchange: &mut Exchange,
    failure: &AttemptFailure,
) {
    if failure.verdict != Verdict::NotRun {
        exchange.usage_window = None;
    } else if exchange.running.is_empty()
        && let Some(window) = exchange.usage_window.take()
        && let Some(tenant) = &exchange.tenant
    {
        environment.usage.not_run(window, tenant);
    }
    exchange.history.record(failure.verdict);
    let status = failure
        .answer
        .as_ref()
        .map(|answer| answer.head().status.code());
    if status.is_some_and(answers::is_internal_error) {
        exchange.history.internal_errors += 1;
    }
}
