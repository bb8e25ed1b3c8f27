//! Forwarding requests to servers: attempts, verdicts, time limits. Live requests and scorings go
//! the same way; only what follows from the end differs.

use crate::access::tenant_of;
use crate::answers::{self, AnswerFacts, AnswerKind, MISDIRECTED};
use crate::attempt_timeouts;
use crate::attempts::{self, AttemptHistory, Circumstances, NextStep};
use crate::clients::ClientState;
use crate::crash_reports;
use crate::encode::{encode_request, end_to_end};
use crate::exchange::{Exchange, Failure, Origin};
use crate::ids::ExchangeId;
use crate::process::Gateway;
use crate::request_suspicion;
use crate::timers::TimerKey;
use crate::upstream::{ConnectionEnd, LostSend, Task};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{Caller, InstanceId, Route, ServiceName};
use wingshore_net::ConnectionId;
use wingshore_net::http::{AnswerHead, HeadWriter, WholeAnswer, WholeRequest};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// Spreads successive requests over the services of a split.
const SPLIT_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// The upper bits of the counter are spread best.
const SPLIT_SHIFT: u32 = 33;

impl Gateway {
    /// A client's request is to be forwarded.
    pub(crate) fn begin_client_exchange(
        &mut self,
        now: Instant,
        client: ConnectionId,
        request: WholeRequest,
        caller: Option<&Caller>,
        route: Arc<Route>,
    ) {
        let Some(service) = self.next_target(&route) else {
            return self.refuse_not_run(now, client, &request.head, "its route has no service");
        };
        let deadline = request
            .head
            .headers
            .number(self.environment.site.protocol.header_names().deadline);
        let deadline = deadline.map(Duration::from_millis);
        let limit = attempt_timeouts::request_timeout(route.timeout, deadline);
        let mut exchange = self.new_exchange(now, Origin::Client(client), request, route, service);
        exchange.tenant = tenant_of(caller);
        let id = self.exchanges.next_id();
        self.begin_exchange(now, id, exchange, limit);
    }

    /// The service that the next request of a route goes to.
    pub(crate) fn next_target(&mut self, route: &Route) -> Option<ServiceName> {
        self.split_counter = self.split_counter.wrapping_add(SPLIT_STRIDE);
        route.target_for(self.split_counter >> SPLIT_SHIFT).cloned()
    }

    /// A request that no server has got yet.
    pub(crate) fn new_exchange(
        &self,
        now: Instant,
        origin: Origin,
        request: WholeRequest,
        route: Arc<Route>,
        service: ServiceName,
    ) -> Exchange {
        let id = request
            .head
            .headers
            .get(self.environment.site.protocol.header_names().request_id);
        let id = id.unwrap_or_default().to_vec();
        Exchange {
            origin,
            tenant: None,
            counted_in: None,
            request,
            id,
            route,
            service,
            begun: now,
            until: now,
            history: AttemptHistory::default(),
            tried: Vec::new(),
            upstream: None,
            attempt_until: now,
            is_rejected: false,
            stream: None,
        }
    }

    /// Sends a request on its way; it is over within `limit`.
    pub(crate) fn begin_exchange(
        &mut self,
        now: Instant,
        id: ExchangeId,
        mut exchange: Exchange,
        limit: Duration,
    ) {
        exchange.until = now + limit;
        exchange.attempt_until = exchange.until;
        self.environment
            .runtime
            .timers
            .arm(exchange.until, TimerKey::Exchange(id));
        if let Some(client) = exchange.client()
            && let Some(known) = self.clients.get_mut(&client)
        {
            known.state = ClientState::Exchange(id);
        }
        self.try_server(now, id, exchange);
    }

    /// Sends the request to the next server, or answers that there is none.
    fn try_server(&mut self, now: Instant, id: ExchangeId, mut exchange: Exchange) {
        if request_suspicion::is_rejected(&self.environment, &exchange) {
            request_suspicion::log_rejected(&self.environment, &exchange);
            exchange.is_rejected = true;
            return self.give_up(now, &exchange);
        }
        let candidates = self.environment.site.view.servers_of(&exchange.service);
        let zone = &self.environment.site.zone;
        let chosen = self
            .environment
            .servers
            .balancer
            .choose(now, zone, candidates, &exchange.tried)
            .cloned();
        let Some(server) = chosen else {
            return self.give_up(now, &exchange);
        };
        let bytes = encode_request(now, &self.environment.site, &exchange, &server);
        exchange.tried.push(server.instance.clone());
        let sent = self.environment.servers.upstreams.send(
            now,
            &mut self.environment.runtime.reactor,
            &server.instance,
            server.address,
            Task::Exchange(id),
            &bytes,
        );
        let Some(upstream) = sent else {
            exchange.history.note(Verdict::NotRun);
            return self.next_attempt(now, id, exchange);
        };
        self.environment.servers.balancer.started(&server.instance);
        if matches!(exchange.origin, Origin::Client(_)) {
            exchange.counted_in = self.usage.request_sent(now, exchange.tenant.as_ref());
        }
        exchange.upstream = Some(upstream);
        exchange.attempt_until = self.attempt_deadline(now, &exchange, upstream);
        self.environment
            .runtime
            .timers
            .arm(exchange.attempt_until, TimerKey::Exchange(id));
        self.exchanges.put(id, exchange);
    }

    /// Until when an attempt may take.
    fn attempt_deadline(
        &self,
        now: Instant,
        exchange: &Exchange,
        upstream: ConnectionId,
    ) -> Instant {
        let is_up = self
            .environment
            .servers
            .upstreams
            .get(upstream)
            .is_some_and(|upstream| upstream.up);
        if !is_up {
            return attempt_timeouts::connect_deadline(now, exchange.until);
        }
        exchange.answer_deadline(now)
    }

    /// A connection to a server has come up with a request on it.
    pub(crate) fn exchange_sent(&mut self, now: Instant, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get_mut(id) else {
            return;
        };
        exchange.attempt_until = exchange.answer_deadline(now);
        self.environment
            .runtime
            .timers
            .arm(exchange.attempt_until, TimerKey::Exchange(id));
    }

    /// A server's answer is whole.
    pub(crate) fn exchange_answered(
        &mut self,
        now: Instant,
        id: ExchangeId,
        instance: &InstanceId,
        answer: WholeAnswer,
    ) {
        self.environment.servers.balancer.ended(instance);
        let names = self.environment.site.protocol.header_names().clone();
        self.note_load(now, instance, &answer.head);
        let Some(exchange) = self.exchanges.get_mut(id) else {
            return;
        };
        if exchange.stream.is_some() && answer.head.is_success() {
            return self.finish_stream(now, id);
        }
        let latency = now.since(exchange.begun);
        let headers = &answer.head.headers;
        let kind = answers::classify_answer(AnswerFacts {
            status: answer.head.status,
            says_not_run: headers.get(names.not_run).is_some(),
            is_own: headers.get(names.request_id) == Some(exchange.id.as_slice()),
            is_signed: headers.get(names.signature).is_some(),
        });
        if answer.head.status == MISDIRECTED {
            crash_reports::server_ended(now, &mut self.environment, instance);
        }
        if let Some(verdict) = kind.verdict() {
            let mut failure = Failure::new(verdict, false, kind.name());
            failure.answer = (kind == AnswerKind::ServerFailed).then_some(answer);
            return self.attempt_failed(now, id, instance, failure);
        }
        self.environment
            .servers
            .balancer
            .answered(now, instance, latency);
        self.environment.runtime.metrics.attempt_ended("answered");
        let Some(exchange) = self.exchanges.take(id) else {
            return;
        };
        if answer.head.is_success() {
            request_suspicion::ran_well(&mut self.environment, &exchange);
        }
        match exchange.origin {
            Origin::Client(client) => {
                self.log_served(now, &exchange, instance, answer.head.status);
                self.pass_on(now, client, &answer);
            }
            Origin::Scoring(scoring) => self.scoring_answered(now, scoring, &exchange, &answer),
        }
    }

    /// A request was answered by a server.
    fn log_served(
        &mut self,
        now: Instant,
        exchange: &Exchange,
        instance: &InstanceId,
        status: u16,
    ) {
        let time = now.since(exchange.begun);
        self.environment
            .runtime
            .metrics
            .request_ended(&exchange.route.name, "served", time);
        let id = exchange.id_text();
        if self.environment.runtime.samples(now, &id) {
            info!(self.environment.runtime.logger, "served"; "request" => id, "route" => &exchange.route.name,
                "service" => %exchange.service, "server" => %instance, "status" => status,
                "attempts" => exchange.history.attempts + 1,
                "refusals" => exchange.history.refusals,
                "after_ms" => time.as_millis() as u64, "configuration" => self.environment.site.view.version(),
                "epoch" => self.environment.site.view.epoch().0);
        }
    }

    pub(crate) fn note_load(&mut self, now: Instant, instance: &InstanceId, head: &AnswerHead) {
        let Some(load) = head
            .headers
            .text(self.environment.site.protocol.header_names().load)
        else {
            return;
        };
        let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
            self.environment
                .servers
                .balancer
                .reported(now, instance, running + waiting);
        }
    }

    fn pass_on(&mut self, now: Instant, client: ConnectionId, answer: &WholeAnswer) {
        let mut writer = HeadWriter::answer(answer.head.status);
        for (name, value) in end_to_end(&answer.head.headers) {
            writer = writer.line(name, value);
        }
        self.finish_client(now, client, writer, &answer.body);
    }

    /// The connection of a try ended without a whole answer, or its bytes are no answer.
    pub(crate) fn exchange_broken(&mut self, now: Instant, id: ExchangeId, lost: &LostSend) {
        let LostSend { instance, end, .. } = lost;
        self.environment.servers.balancer.ended(instance);
        let verdict = match end {
            ConnectionEnd::BrokeOff | ConnectionEnd::Silent => Verdict::MayHaveRun,
            ConnectionEnd::NeverUp | ConnectionEnd::Refused => Verdict::NotRun,
        };
        if *end == ConnectionEnd::BrokeOff {
            let exchange = self.exchanges.get(id);
            request_suspicion::connection_lost(now, &mut self.environment, exchange, lost);
        }
        let failure = Failure::new(verdict, true, end.reason());
        self.attempt_failed(now, id, instance, failure);
    }

    fn attempt_failed(
        &mut self,
        now: Instant,
        id: ExchangeId,
        instance: &InstanceId,
        failure: Failure,
    ) {
        if failure.ejects_server {
            self.environment.servers.balancer.failed(now, instance);
        }
        let Some(mut exchange) = self.exchanges.take(id) else {
            return;
        };
        warn!(self.environment.runtime.logger, "attempt failed"; "request" => exchange.id_text(),
            "fingerprint" => request_suspicion::fingerprint_text(&self.environment.site, &exchange),
            "server" => %instance, "reason" => failure.reason, "verdict" => ?failure.verdict,
            "after_ms" => now.since(exchange.begun).as_millis() as u64);
        self.environment
            .runtime
            .metrics
            .attempt_ended(failure.reason);
        exchange.upstream = None;
        if failure.verdict == Verdict::NotRun
            && let Some(window) = exchange.counted_in.take()
            && let Some(tenant) = &exchange.tenant
        {
            self.usage.not_run(window, tenant);
        }
        exchange.history.note(failure.verdict);
        let status = failure.answer.as_ref().map(|answer| answer.head.status);
        if status.is_some_and(answers::is_server_failure) {
            exchange.history.server_failures += 1;
        }
        let client = exchange.client().filter(|_| exchange.stream.is_none());
        let for_client = failure.answer.zip(client);
        let circumstances = Circumstances {
            is_suspect: request_suspicion::is_suspect(&self.environment, &exchange),
            has_other_server: self.has_another(&exchange),
            is_out_of_time: now >= exchange.until,
            has_server_answer: for_client.is_some(),
        };
        let step = attempts::after_failure(exchange.limits(), exchange.history, circumstances);
        match (step, for_client) {
            (NextStep::Retry, _) => self.try_server(now, id, exchange),
            (NextStep::PassOn, Some((answer, client))) => {
                let time = now.since(exchange.begun);
                let route = &exchange.route.name;
                self.environment
                    .runtime
                    .metrics
                    .request_ended(route, "server_error", time);
                self.pass_on(now, client, &answer);
            }
            (NextStep::PassOn | NextStep::GiveUp, _) => self.give_up(now, &exchange),
        }
    }

    fn has_another(&self, exchange: &Exchange) -> bool {
        self.environment
            .site
            .view
            .servers_of(&exchange.service)
            .any(|server| !exchange.tried.contains(&server.instance))
    }

    /// No connection could be opened: asks another server, if the request may go to one.
    fn next_attempt(&mut self, now: Instant, id: ExchangeId, exchange: Exchange) {
        let may_retry = exchange.limits().may_retry(exchange.history);
        if now >= exchange.until || !may_retry {
            return self.give_up(now, &exchange);
        }
        self.try_server(now, id, exchange);
    }

    /// No server has answered, and none is asked any more.
    fn give_up(&mut self, now: Instant, exchange: &Exchange) {
        match exchange.origin {
            Origin::Client(client) if exchange.stream.is_some() => {
                self.break_stream(now, client, exchange);
            }
            Origin::Client(client) => self.answer_given_up(now, client, exchange),
            Origin::Scoring(scoring) => self.scoring_given_up(now, scoring, exchange),
        }
    }

    /// Answers that there is no answer, and whether the request may have run.
    fn answer_given_up(&mut self, now: Instant, client: ConnectionId, exchange: &Exchange) {
        let is_out_of_time = now >= exchange.until;
        let answer =
            attempts::given_up_answer(exchange.history, exchange.is_rejected, is_out_of_time);
        let time = now.since(exchange.begun);
        self.environment
            .runtime
            .metrics
            .request_ended(&exchange.route.name, answer.name(), time);
        let known = self
            .environment
            .site
            .view
            .servers_of(&exchange.service)
            .count();
        warn!(self.environment.runtime.logger, "given up"; "service" => %exchange.service, "servers" => known,
            "epoch" => self.environment.site.view.epoch().0, "request" => exchange.id_text(),
            "fingerprint" => request_suspicion::fingerprint_text(&self.environment.site, exchange),
            "route" => &exchange.route.name, "answer" => answer.name(),
            "attempts" => exchange.history.attempts, "refusals" => exchange.history.refusals,
            "after_ms" => now.since(exchange.begun).as_millis() as u64,
            "configuration" => self.environment.site.view.version());
        self.answer_own(now, client, &answer);
    }

    /// The time of a try, or of the whole request, may be over.
    pub(crate) fn on_exchange_timer(&mut self, now: Instant, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get_mut(id) else {
            return;
        };
        let attempt_until = match &exchange.stream {
            Some(_) => exchange.until,
            None => exchange.attempt_until,
        };
        let until = exchange.until;
        if now < until && now < attempt_until {
            return self
                .environment
                .runtime
                .timers
                .arm(attempt_until, TimerKey::Exchange(id));
        }
        let Some(upstream) = exchange.upstream.take() else {
            return;
        };
        let Some(closed) = self
            .environment
            .servers
            .upstreams
            .close(&mut self.environment.runtime.reactor, upstream)
        else {
            return;
        };
        self.environment.servers.balancer.ended(&closed.instance);
        self.environment
            .servers
            .balancer
            .too_slow(now, &closed.instance, now.since(closed.since));
        let verdict = if closed.up {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let failure = Failure::new(verdict, !closed.up, "too slow");
        self.attempt_failed(now, id, &closed.instance, failure);
    }

    /// Nobody waits for the answer any more: its server need not go on.
    pub(crate) fn drop_exchange(&mut self, id: ExchangeId) {
        let upstream = self.exchanges.take(id).and_then(|known| known.upstream);
        if let Some(upstream) = upstream
            && let Some(closed) = self
                .environment
                .servers
                .upstreams
                .close(&mut self.environment.runtime.reactor, upstream)
        {
            self.environment.servers.balancer.ended(&closed.instance);
        }
    }
}
