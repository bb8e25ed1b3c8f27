//! Handling of clients' requests: dispatch by purpose, and delivery of the answers.

use super::Gateway;
use crate::admission::{self, Admission, ListenerKind, Refusal, tenant_of};
use crate::attempt_timeouts;
use crate::calls::{CallEnd, group_request};
use crate::clients::{AfterAnswer, ClientInput, ClientTimeout, PendingAnswer};
use crate::exchange::{Exchange, NewExchange, Origin};
use crate::ids::CallId;
use crate::protocol::{BatchAnswer, OwnAnswer};
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CallReply, Caller, IngressLimits, Request, Route, RouteKind, ServiceName,
};
use wingshore_net::ConnectionId;
use wingshore_net::account::{Part, SMALL_BODY_BYTES};
use wingshore_net::http::{HeadWriter, HttpAnswer, MessageBody, WholeRequest};

/// Largest body in bytes of a request to a listener none of whose requests needs one.
const MAX_UNUSED_BODY_BYTES: usize = 16 * 1024;
/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

impl Gateway {
    /// Handles new bytes of a client, also after its last answer was sent.
    pub(super) fn on_client_input(&mut self, client: ConnectionId) {
        let limits = self.limits_of(client);
        let is_stopping = self.is_stopping();
        let runtime = &mut self.environment.runtime;
        match self.clients.read(runtime, client, limits, is_stopping) {
            ClientInput::Nothing => {}
            ClientInput::Partial => {
                self.refuse_early(client);
                self.refuse_unfitting(client);
            }
            ClientInput::Request(request) => self.on_request(client, request),
            ClientInput::Unreadable(error) => self.refuse_unreadable(client, &error),
        }
    }

    /// Returns the limits of a client's requests. Only the listener for clients has requests with
    /// bodies.
    fn limits_of(&self, client: ConnectionId) -> IngressLimits {
        let mut limits = self.environment.site.view.limits();
        let largest = match self.clients.listener_kind(client) {
            Some(ListenerKind::Front) | None => self.settings.callers.largest_body,
            Some(_) => MAX_UNUSED_BODY_BYTES,
        };
        limits.body_bytes = limits.body_bytes.min(largest);
        limits
    }

    fn on_request(&mut self, client: ConnectionId, request: WholeRequest) {
        let listener_kind = self
            .clients
            .listener_kind(client)
            .unwrap_or(ListenerKind::Front);
        match admission::admit(&self.environment.site, listener_kind, &request.head) {
            Admission::Ready => {
                let is_ready = self.status().ready;
                let protocol = &self.environment.site.protocol;
                let answer = protocol.write_ready(&request.head, is_ready);
                self.answer_whole(client, answer);
            }
            Admission::Metrics => {
                let answer = self.metrics_answer();
                self.answer_whole(client, answer);
            }
            Admission::Unconfigured => {
                let now = self.environment.runtime.now;
                let coordinators = &self.environment.site.coordinators;
                let leader_known = coordinators.is_leader_known();
                let retry_after = self.start_estimate.retry_after(now, leader_known);
                let refusal = Refusal::unconfigured(retry_after);
                self.refuse(client, &request.head, refusal);
            }
            Admission::Directory { zone } => self.answer_directory(client, &zone),
            Admission::Refused(refusal) => self.refuse(client, &request.head, refusal),
            Admission::BatchCall(call, caller) => {
                let call = call.with_max_wait(self.max_answer_hold());
                let request = group_request(call, tenant_of(caller.as_ref()));
                self.begin_call(client, request, 0);
            }
            Admission::Submission(_) | Admission::Forward(..) if !self.has_room(&request) => {
                self.refuse(client, &request.head, Refusal::FULL);
            }
            Admission::Submission(caller) => {
                self.submit_job(client, request, caller.as_ref());
            }
            Admission::Forward(route, caller) => {
                self.forward(client, request, caller.as_ref(), route);
            }
        }
    }

    /// Returns whether a request may be passed on within the memory for clients.
    fn has_room(&self, request: &WholeRequest) -> bool {
        let account = self.environment.runtime.reactor.account();
        let bounds = &self.settings.callers;
        bounds.admits(account, request.body.len())
    }

    /// Returns the answer with all metrics.
    fn metrics_answer(&self) -> HttpAnswer {
        let runtime = &self.environment.runtime;
        let callers = &runtime.metrics.callers;
        callers.read(runtime.reactor.account(), &self.settings.callers);
        let text = runtime.metrics.text(self.readings());
        HttpAnswer {
            status: 200,
            headers: vec![("Content-Type".to_owned(), METRICS_CONTENT_TYPE.to_owned())],
            body: text.into_bytes(),
        }
    }

    /// Forwards a client's request to servers.
    fn forward(
        &mut self,
        client: ConnectionId,
        request: WholeRequest,
        caller: Option<&Caller>,
        route: Arc<Route>,
    ) {
        let now = self.environment.runtime.now;
        let names = self.environment.site.protocol.header_names();
        let headers = &request.head.headers;
        let deadline = headers.number(names.deadline).map(Duration::from_millis);
        let limit = attempt_timeouts::request_timeout(route.timeout, deadline);
        let identity = headers.get(names.request_id).unwrap_or_default().to_vec();
        let Some(service) = self.exchanges.next_service(&route) else {
            return self.refuse(client, &request.head, Refusal::NO_SERVICE);
        };
        if !self.fits_into_stop(&route, &service, limit) {
            return self.refuse(client, &request.head, Refusal::STOPPING);
        }
        let new = NewExchange {
            origin: Origin::Client(client),
            tenant: tenant_of(caller),
            request,
            id: identity,
            route,
            service,
            deadline: now + limit,
        };
        let id = self.exchanges.next_id();
        self.clients
            .set_waiting(client, PendingAnswer::Exchange(id));
        let environment = &mut self.environment;
        let exchange = Exchange::new(now, new);
        let end = self.exchanges.begin(environment, id, exchange);
        self.on_exchange_end(end);
    }

    /// Returns whether a request that takes at most `limit` may be passed on: a planned stop, if one
    /// has begun, leaves it enough time.
    fn fits_into_stop(&mut self, route: &Route, service: &ServiceName, limit: Duration) -> bool {
        let Some(stop) = self.stop_progress() else {
            return true;
        };
        if route.kind == RouteKind::Streaming {
            return attempt_timeouts::is_stream_admitted(limit, stop);
        }
        let now = self.environment.runtime.now;
        let services = &mut self.environment.servers.second_attempts;
        let usual = services.usual_latency(now, service);
        attempt_timeouts::is_request_admitted(limit, usual, stop)
    }

    /// Reads a batch job and submits it to the group.
    fn submit_job(&mut self, client: ConnectionId, request: WholeRequest, caller: Option<&Caller>) {
        let body_bytes = request.body.len();
        let head = request.head.clone();
        match self.environment.site.protocol.read_submission(request) {
            Ok(mut submission) => {
                submission.id = submission.id.of_tenant(tenant_of(caller));
                let request = Request::SubmitJob(Arc::new(submission));
                self.begin_call(client, request, body_bytes);
            }
            Err(reason) => {
                let answer = BatchAnswer::Refused(reason);
                self.log_refused(Some(&head), answer.name(), answer.reason());
                self.answer_batch(client, &answer);
            }
        }
    }

    /// Sends a call to the group that keeps `bytes` bytes of a client until it has ended.
    fn begin_call(&mut self, client: ConnectionId, request: Request, bytes: usize) {
        let (runtime, site) = (&mut self.environment.runtime, &self.environment.site);
        let part = if bytes <= SMALL_BODY_BYTES {
            Part::Bodies
        } else {
            Part::LargeBodies
        };
        let charge = runtime.reactor.account().charge(part, bytes);
        let begun = self.calls.begin(runtime, site, client, (request, charge));
        match begun {
            Ok(id) => self.clients.set_waiting(client, PendingAnswer::Call(id)),
            Err(answer) => self.answer_batch(client, &answer),
        }
    }

    /// Handles the timer of a call: its resend or its timeout.
    pub(super) fn on_call_timer(&mut self, id: CallId) {
        let (runtime, site) = (&mut self.environment.runtime, &self.environment.site);
        let end = self.calls.on_timer(runtime, site, id);
        self.end_call(end);
    }

    /// Handles a coordinator's reply to a call.
    pub(super) fn on_call_reply(&mut self, connection: ConnectionId, id: CallId, reply: CallReply) {
        let (runtime, site) = (&mut self.environment.runtime, &self.environment.site);
        let calls = &mut self.calls;
        let end = calls.on_reply(runtime, site, connection, (id, reply));
        self.end_call(end);
    }

    fn end_call(&mut self, end: Option<CallEnd>) {
        if let Some(CallEnd { client, answer }) = end {
            self.answer_batch(client, &answer);
        }
    }

    fn answer_batch(&mut self, client: ConnectionId, answer: &BatchAnswer) {
        let answer = self.environment.site.protocol.write_batch(answer);
        self.answer_whole(client, answer);
    }

    /// Sends an answer that the gateway generated itself.
    pub(super) fn answer_own(&mut self, client: ConnectionId, answer: &OwnAnswer) {
        let answer = self.environment.site.protocol.write_own(answer);
        self.answer_whole(client, answer);
    }

    /// Sends a complete answer to a client.
    pub(super) fn answer_whole(&mut self, client: ConnectionId, answer: HttpAnswer) {
        let head = answer.head();
        self.answer(client, head, &MessageBody::from(answer.body));
    }

    /// Sends an answer and continues with the client's next request.
    pub(super) fn answer(&mut self, client: ConnectionId, writer: HeadWriter, body: &MessageBody) {
        let is_stopping = self.is_stopping();
        let runtime = &mut self.environment.runtime;
        let answer = (writer, body);
        let after = self.clients.answer(runtime, client, answer, is_stopping);
        self.after_answer(client, after);
    }

    /// Continues with the client's next request after an answer.
    pub(super) fn after_answer(&mut self, client: ConnectionId, after: AfterAnswer) {
        if after == AfterAnswer::Nothing {
            return;
        }
        // Several requests that can be answered immediately may have arrived together.
        let mut unread = self.unread_input(client);
        while unread > 0 {
            self.on_client_input(client);
            let before = std::mem::replace(&mut unread, self.unread_input(client));
            if unread == before {
                break;
            }
        }
        let idle_timeout = self.environment.site.view.limits().idle_timeout;
        let runtime = &mut self.environment.runtime;
        self.clients
            .next_request_read(runtime, client, idle_timeout);
    }

    /// Returns the number of unread bytes of a client.
    fn unread_input(&mut self, client: ConnectionId) -> usize {
        let input = self.environment.runtime.reactor.input(client);
        input.map_or(0, |input| input.len())
    }

    /// Handles the timer of a client's connection.
    pub(super) fn on_client_timer(&mut self, client: ConnectionId) {
        let limits = self.environment.site.view.limits();
        let runtime = &mut self.environment.runtime;
        match self.clients.on_timer(runtime, client, limits) {
            ClientTimeout::None => {}
            ClientTimeout::Idle => self.close_client(client),
            ClientTimeout::TooSlow => self.refuse_too_slow(client),
        }
    }

    /// Closes a client's connection and drops the exchange or call that it waits for.
    pub(super) fn close_client(&mut self, client: ConnectionId) {
        match self.clients.close(&mut self.environment.runtime, client) {
            None => {}
            Some(PendingAnswer::Exchange(id)) => {
                self.exchanges.originator_left(&mut self.environment, id)
            }
            Some(PendingAnswer::Call(id)) => self.calls.forget(id),
        }
    }
}
