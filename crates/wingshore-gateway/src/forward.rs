//! Forwarding live requests: attempts, verdicts, time limits.

use crate::clients::ClientState;
use crate::process::Gateway;
use crate::protocol::OwnAnswer;
use crate::streams::PassedStream;
use crate::timers::TimerKey;
use crate::upstream::Task;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{InstanceId, Route, RouteKind, ServerRecord, ServiceName};
use wingshore_net::ConnectionId;
use wingshore_net::http::{AnswerHead, HeadWriter, Headers, WholeAnswer, WholeRequest};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// When a client may come back with a request that was not run.
pub(crate) const COME_BACK: Duration = Duration::from_millis(150);
/// A connection to a server must be up within this time.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A repeatable request goes to another server after this many times its target latency.
const PATIENCE_FACTOR: u32 = 2;
/// An answer must have left this long before the client's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Refusals of servers that one request may meet besides its attempts.
const MOST_REFUSALS: u32 = 3;

/// A request on its way.
pub(crate) struct Exchange {
    request: WholeRequest,
    pub(crate) id: Vec<u8>,
    pub(crate) route: Arc<Route>,
    service: ServiceName,
    pub(crate) begun: Instant,
    /// By then it is answered, whatever has come.
    until: Instant,
    /// Tries that may have run.
    attempts: u32,
    /// Tries that a server refused or that found none.
    refusals: u32,
    /// Whether any try may have run.
    may_have_run: bool,
    tried: Vec<InstanceId>,
    upstream: Option<ConnectionId>,
    /// The present try is given up at this time, if another server can be tried.
    attempt_until: Instant,
    /// What has been passed on of a stream; set once its head has been.
    pub(crate) stream: Option<PassedStream>,
}

/// What became of a try.
struct Failure {
    verdict: Verdict,
    /// Whether the server seems to be at fault.
    suspect: bool,
    reason: &'static str,
    /// The server's own answer, where there is one.
    answer: Option<WholeAnswer>,
}

impl Failure {
    fn new(verdict: Verdict, suspect: bool, reason: &'static str) -> Self {
        Self {
            verdict,
            suspect,
            reason,
            answer: None,
        }
    }
}

impl Gateway {
    pub(crate) fn begin_exchange(
        &mut self,
        now: Instant,
        client: ConnectionId,
        request: WholeRequest,
        route: Arc<Route>,
    ) {
        let names = self.protocol.header_names();
        let id = request.head.headers.get(names.request_id);
        let id = id.unwrap_or_default().to_vec();
        let deadline = request.head.headers.number(names.deadline);
        let limit = deadline
            .map(Duration::from_millis)
            .map_or(route.timeout, |deadline| {
                route.timeout.min(deadline.saturating_sub(DEADLINE_MARGIN))
            });
        self.split_counter = self.split_counter.wrapping_add(SPLIT_STRIDE);
        let Some(service) = route.target_for(self.split_counter >> SPLIT_SHIFT).cloned() else {
            return self.answer_own(now, client, &OwnAnswer::NotRun(COME_BACK));
        };
        let exchange = Exchange {
            request,
            id,
            route,
            service,
            begun: now,
            until: now + limit,
            attempts: 0,
            refusals: 0,
            may_have_run: false,
            tried: Vec::new(),
            upstream: None,
            attempt_until: now + limit,
            stream: None,
        };
        self.timers.arm(exchange.until, TimerKey::Exchange(client));
        self.try_server(now, client, Box::new(exchange));
    }

    /// Sends the request to the next server, or answers that there is none.
    fn try_server(&mut self, now: Instant, client: ConnectionId, mut exchange: Box<Exchange>) {
        let candidates = self.view.servers_of(&exchange.service);
        let zone = &self.settings.zone;
        let chosen = self
            .balancer
            .choose(now, zone, candidates, &exchange.tried)
            .cloned();
        let Some(server) = chosen else {
            return self.give_up(now, client, &exchange);
        };
        let bytes = self.encode_request(now, &exchange, &server);
        exchange.tried.push(server.instance.clone());
        let sent = self.upstreams.send(
            now,
            &mut self.reactor,
            &server.instance,
            server.address,
            Task::Exchange(client),
            &bytes,
        );
        let Some(upstream) = sent else {
            exchange.refusals += 1;
            return self.next_try(now, client, exchange);
        };
        self.balancer.started(&server.instance);
        exchange.upstream = Some(upstream);
        exchange.attempt_until = self.attempt_limit(now, &exchange, upstream);
        let look_at = exchange.attempt_until;
        if let Some(known) = self.clients.get_mut(&client) {
            known.state = ClientState::Exchange(exchange);
        }
        self.timers.arm(look_at, TimerKey::Exchange(client));
    }

    /// Until when a try may take before another server is tried.
    fn attempt_limit(&self, now: Instant, exchange: &Exchange, upstream: ConnectionId) -> Instant {
        let is_up = self
            .upstreams
            .get(upstream)
            .is_some_and(|upstream| upstream.up);
        if !is_up {
            return exchange.until.min(now + CONNECT_LIMIT);
        }
        self.answer_limit(now, exchange)
    }

    fn answer_limit(&self, now: Instant, exchange: &Exchange) -> Instant {
        let repeatable = is_repeatable(&exchange.route);
        if repeatable && exchange.attempts + 1 < exchange.route.max_attempts {
            let patience = exchange.route.target_latency * PATIENCE_FACTOR;
            return exchange.until.min(now + patience);
        }
        exchange.until
    }

    fn encode_request(&self, now: Instant, exchange: &Exchange, server: &ServerRecord) -> Vec<u8> {
        let names = self.protocol.header_names();
        let head = &exchange.request.head;
        let mut writer = HeadWriter::request(&head.method, &head.target);
        let resumed_after = exchange
            .stream
            .as_ref()
            .and_then(|stream| stream.last_event);
        let mut own = vec![names.deadline, names.expected_instance];
        own.extend(resumed_after.map(|_| names.last_event));
        for (name, value) in end_to_end(&head.headers) {
            if !own
                .iter()
                .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
            {
                writer = writer.line(name, value);
            }
        }
        let left = exchange.until.since(now).as_millis();
        writer = writer
            .header(names.deadline, left)
            .header(names.expected_instance, &server.instance);
        if let Some(event) = resumed_after {
            writer = writer.header(names.last_event, event);
        }
        let has_body = !exchange.request.body.is_empty() || head.method != "GET";
        if has_body {
            writer.body(&exchange.request.body)
        } else {
            writer.end()
        }
    }

    /// A connection to a server has come up with a request on it.
    pub(crate) fn exchange_sent(&mut self, now: Instant, client: ConnectionId) {
        let Some(exchange) = self.exchange_mut(client) else {
            return;
        };
        exchange.attempt_until = exchange.until;
        let Some(ClientState::Exchange(exchange)) =
            self.clients.get(&client).map(|client| &client.state)
        else {
            return;
        };
        let until = self.answer_limit(now, exchange);
        if let Some(exchange) = self.exchange_mut(client) {
            exchange.attempt_until = until;
        }
        self.timers.arm(until, TimerKey::Exchange(client));
    }

    pub(crate) fn exchange_mut(&mut self, client: ConnectionId) -> Option<&mut Exchange> {
        match &mut self.clients.get_mut(&client)?.state {
            ClientState::Exchange(exchange) => Some(exchange),
            _ => None,
        }
    }

    /// A server's answer is whole.
    pub(crate) fn exchange_answered(
        &mut self,
        now: Instant,
        client: ConnectionId,
        instance: &InstanceId,
        answer: WholeAnswer,
    ) {
        self.balancer.ended(instance);
        let names = self.protocol.header_names().clone();
        self.note_load(now, instance, &answer.head);
        let Some(exchange) = self.exchange_mut(client) else {
            return;
        };
        if exchange.stream.is_some() && answer.head.is_success() {
            return self.finish_stream(now, client);
        }
        let latency = now.since(exchange.begun);
        let is_own = answer.head.headers.get(names.request_id) == Some(exchange.id.as_slice());
        let is_signed = answer.head.headers.get(names.signature).is_some();
        if answer.head.headers.get(names.not_run).is_some() || answer.head.status == 421 {
            let failure = Failure::new(Verdict::NotRun, false, "refused by the server");
            return self.attempt_failed(now, client, instance, failure);
        }
        if !is_own || (answer.head.is_success() && !is_signed) {
            let failure = Failure::new(Verdict::MayHaveRun, false, "not the answer");
            return self.attempt_failed(now, client, instance, failure);
        }
        if answer.head.status >= 500 {
            let mut failure = Failure::new(Verdict::Ran, false, "the server failed");
            failure.answer = Some(answer);
            return self.attempt_failed(now, client, instance, failure);
        }
        self.balancer.answered(now, instance, latency);
        self.log_served(now, client, instance, answer.head.status);
        self.pass_on(now, client, &answer);
    }

    /// A request was answered by a server.
    fn log_served(
        &mut self,
        now: Instant,
        client: ConnectionId,
        instance: &InstanceId,
        status: u16,
    ) {
        let Some(ClientState::Exchange(exchange)) =
            self.clients.get(&client).map(|client| &client.state)
        else {
            return;
        };
        let time = now.since(exchange.begun);
        self.metrics.attempt_ended("answered");
        self.metrics
            .request_ended(&exchange.route.name, "served", time);
        let id = text(&exchange.id);
        let steady = Duration::from_millis(now.as_millis());
        if self.sampler.takes(steady, &id) {
            info!(self.logger, "served"; "request" => id, "route" => &exchange.route.name,
                "service" => %exchange.service, "server" => %instance, "status" => status,
                "attempts" => exchange.attempts + 1, "refusals" => exchange.refusals,
                "after_ms" => time.as_millis() as u64, "configuration" => self.view.version(),
                "epoch" => self.view.epoch().0);
        }
    }

    pub(crate) fn note_load(&mut self, now: Instant, instance: &InstanceId, head: &AnswerHead) {
        let Some(load) = head.headers.text(self.protocol.header_names().load) else {
            return;
        };
        let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
            self.balancer.reported(now, instance, running + waiting);
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
    pub(crate) fn exchange_broken(
        &mut self,
        now: Instant,
        client: ConnectionId,
        instance: &InstanceId,
        was_up: bool,
    ) {
        self.balancer.ended(instance);
        let failure = if was_up {
            Failure::new(Verdict::MayHaveRun, true, "connection ended")
        } else {
            Failure::new(Verdict::NotRun, true, "no connection")
        };
        self.attempt_failed(now, client, instance, failure);
    }

    fn attempt_failed(
        &mut self,
        now: Instant,
        client: ConnectionId,
        instance: &InstanceId,
        failure: Failure,
    ) {
        if failure.suspect {
            self.balancer.failed(now, instance);
        }
        let Some(known) = self.clients.get_mut(&client) else {
            return;
        };
        let reading = ClientState::Reading { begun: None };
        let ClientState::Exchange(mut exchange) = std::mem::replace(&mut known.state, reading)
        else {
            return;
        };
        info!(self.logger, "attempt failed"; "request" => text(&exchange.id),
            "server" => %instance, "reason" => failure.reason, "verdict" => ?failure.verdict,
            "after_ms" => now.since(exchange.begun).as_millis() as u64);
        self.metrics.attempt_ended(failure.reason);
        exchange.upstream = None;
        if failure.verdict == Verdict::NotRun {
            exchange.refusals += 1;
        } else {
            exchange.attempts += 1;
            exchange.may_have_run = true;
        }
        if may_try_again(&exchange) && self.has_another(&exchange) {
            return self.next_try(now, client, exchange);
        }
        match failure.answer {
            Some(answer) if exchange.stream.is_none() => {
                let time = now.since(exchange.begun);
                let route = &exchange.route.name;
                self.metrics.request_ended(route, "server_error", time);
                self.pass_on(now, client, &answer);
            }
            _ => self.give_up(now, client, &exchange),
        }
    }

    fn has_another(&self, exchange: &Exchange) -> bool {
        self.view
            .servers_of(&exchange.service)
            .any(|server| !exchange.tried.contains(&server.instance))
    }

    fn next_try(&mut self, now: Instant, client: ConnectionId, exchange: Box<Exchange>) {
        if now >= exchange.until || !may_try_again(&exchange) {
            return self.give_up(now, client, &exchange);
        }
        self.try_server(now, client, exchange);
    }

    /// Answers that there is no answer, and whether the request may have run.
    fn give_up(&mut self, now: Instant, client: ConnectionId, exchange: &Exchange) {
        if exchange.stream.is_some() {
            return self.break_stream(now, client, exchange);
        }
        let answer = if !exchange.may_have_run {
            OwnAnswer::NotRun(COME_BACK)
        } else if now >= exchange.until {
            OwnAnswer::OutOfTime
        } else {
            OwnAnswer::Broken
        };
        let time = now.since(exchange.begun);
        self.metrics
            .request_ended(&exchange.route.name, answer.name(), time);
        let known = self.view.servers_of(&exchange.service).count();
        info!(self.logger, "given up"; "service" => %exchange.service, "servers" => known,
            "epoch" => self.view.epoch().0, "request" => text(&exchange.id),
            "route" => &exchange.route.name, "answer" => answer.name(),
            "attempts" => exchange.attempts, "refusals" => exchange.refusals,
            "after_ms" => now.since(exchange.begun).as_millis() as u64,
            "configuration" => self.view.version());
        self.answer_own(now, client, &answer);
    }

    /// The time of a try, or of the whole request, may be over.
    pub(crate) fn on_exchange_timer(&mut self, now: Instant, client: ConnectionId) {
        let Some(exchange) = self.exchange_mut(client) else {
            return;
        };
        let attempt_until = match &exchange.stream {
            Some(_) => exchange.until,
            None => exchange.attempt_until,
        };
        let until = exchange.until;
        if now < until && now < attempt_until {
            return self.timers.arm(attempt_until, TimerKey::Exchange(client));
        }
        let Some(upstream) = exchange.upstream.take() else {
            return;
        };
        let Some(closed) = self.upstreams.close(&mut self.reactor, upstream) else {
            return;
        };
        self.balancer.ended(&closed.instance);
        self.balancer
            .too_slow(now, &closed.instance, now.since(closed.since));
        let verdict = if closed.up {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let failure = Failure::new(verdict, !closed.up, "too slow");
        self.attempt_failed(now, client, &closed.instance, failure);
    }

    /// The client is gone: its server need not go on.
    pub(crate) fn drop_exchange(&mut self, exchange: &Exchange) {
        if let Some(upstream) = exchange.upstream
            && let Some(closed) = self.upstreams.close(&mut self.reactor, upstream)
        {
            self.balancer.ended(&closed.instance);
        }
    }
}

/// Spreads successive requests over the services of a split.
const SPLIT_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// The upper bits of the counter are spread best.
const SPLIT_SHIFT: u32 = 33;

/// Whether a request of the route may run more than once.
fn is_repeatable(route: &Route) -> bool {
    match route.kind {
        RouteKind::Safe => true,
        RouteKind::Streaming => route.resumable,
        RouteKind::Unsafe | RouteKind::Batch => false,
    }
}

fn may_try_again(exchange: &Exchange) -> bool {
    let repeatable = is_repeatable(&exchange.route);
    let may_repeat = repeatable || !exchange.may_have_run;
    may_repeat
        && exchange.attempts < exchange.route.max_attempts.max(1)
        && exchange.refusals <= MOST_REFUSALS
}

/// Header lines that are not for one connection only.
pub(crate) fn end_to_end(headers: &Headers) -> impl Iterator<Item = (&[u8], &[u8])> {
    const OF_ONE_CONNECTION: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    headers.iter().filter(|(name, _)| {
        !OF_ONE_CONNECTION
            .iter()
            .any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
    })
}

fn text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
