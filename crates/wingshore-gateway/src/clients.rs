//! Connections of clients: reading requests, writing answers, time limits.

use crate::ids::{CallId, ExchangeId};
use crate::process::Gateway;
use crate::protocol::OwnAnswer;
use crate::timers::TimerKey;
use wingshore_coordination::RouteKind;
use wingshore_net::ConnectionId;
use wingshore_net::http::{HeadWriter, HttpAnswer, RequestReader, WholeRequest};
use wingshore_types::Instant;

/// How much longer than a head a body may take to arrive.
const BODY_TIME_FACTOR: u32 = 3;

/// What a client's connection waits for.
pub(crate) enum ClientState {
    /// The next request.
    Reading {
        /// When the first byte of a request that is not whole arrived.
        begun: Option<Instant>,
    },
    /// The answer of a server.
    Exchange(ExchangeId),
    /// The answer of the group.
    Call(CallId),
}

/// Who calls on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Clients.
    Front,
    /// The deployment's checks of readiness.
    Ready,
    /// Monitoring.
    Metrics,
}

/// One client's connection.
pub(crate) struct Client {
    pub(crate) reader: RequestReader,
    pub(crate) state: ClientState,
    pub(crate) close_after: bool,
    /// Who calls.
    pub(crate) purpose: Purpose,
    pub(crate) used: Instant,
    is_answering: bool,
}

impl Client {
    /// A new connection.
    pub(crate) fn new(now: Instant, purpose: Purpose) -> Self {
        Self {
            reader: RequestReader::default(),
            state: ClientState::Reading { begun: None },
            close_after: false,
            purpose,
            used: now,
            is_answering: false,
        }
    }

    /// Whether it waits for nothing.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Reading { begun: None })
    }
}

impl Gateway {
    /// Bytes of a client have arrived, or its last answer has gone out.
    pub(crate) fn on_client_input(&mut self, now: Instant, connection: ConnectionId) {
        let limits = self.environment.site.view.limits();
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        client.used = now;
        let ClientState::Reading { begun } = &mut client.state else {
            return;
        };
        let Some(input) = self.environment.runtime.reactor.input(connection) else {
            return;
        };
        let next = client
            .reader
            .next(input, limits.head_bytes, limits.body_bytes);
        match next {
            Ok(None) => {
                let has_begun = !input.is_empty() || client.reader.is_under_way();
                if has_begun && begun.is_none() {
                    *begun = Some(now);
                    let key = TimerKey::Client(connection);
                    self.environment
                        .runtime
                        .timers
                        .arm(now + limits.head_timeout, key);
                }
                self.refuse_early(now, connection);
            }
            Ok(Some(request)) => {
                *begun = None;
                client.close_after = request.head.wants_close() || self.stopping_since.is_some();
                self.on_request(now, connection, request);
            }
            Err(error) => {
                self.refuse_unreadable(now, connection, &error);
            }
        }
    }

    fn on_request(&mut self, now: Instant, connection: ConnectionId, request: WholeRequest) {
        let purpose = self.clients.get(&connection).map(|client| client.purpose);
        match purpose {
            Some(Purpose::Ready) => {
                let ready = self.status().ready;
                let answer = self
                    .environment
                    .site
                    .protocol
                    .write_ready(&request.head, ready);
                return self.answer_client(now, connection, &answer);
            }
            Some(Purpose::Metrics) => {
                let answer = self.metrics_answer();
                return self.answer_client(now, connection, &answer);
            }
            Some(Purpose::Front) | None => {}
        }
        if !self.environment.site.view.is_configured() {
            let reason = "no configuration is known yet";
            return self.refuse_not_run(now, connection, &request.head, reason);
        }
        if let Some(call) = self
            .environment
            .site
            .protocol
            .read_batch_call(&request.head)
        {
            return match self.admit_batch_call(&request.head) {
                Ok(caller) => self.begin_batch_call(now, connection, call, caller.as_ref()),
                Err(answer) => self.refuse_caller(now, connection, &request.head, &answer),
            };
        }
        let host = request.head.headers.text("host").unwrap_or_default();
        let Some(route) = self
            .environment
            .site
            .view
            .routes()
            .find(host, request.head.path())
            .cloned()
        else {
            return self.refuse_without_route(now, connection, &request.head);
        };
        let caller = match self.admit(&request.head, &route) {
            Ok(caller) => caller,
            Err(answer) => return self.refuse_caller(now, connection, &request.head, &answer),
        };
        if route.kind == RouteKind::Batch && request.head.method == "POST" {
            return self.submit_job(now, connection, &request, caller.as_ref());
        }
        self.begin_client_exchange(now, connection, request, caller.as_ref(), route);
    }

    /// Answers with an answer of the gateway's own.
    pub(crate) fn answer_own(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        answer: &OwnAnswer,
    ) {
        let answer = self.environment.site.protocol.write_own(answer);
        self.answer_client(now, connection, &answer);
    }

    /// Answers a client whole.
    pub(crate) fn answer_client(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        answer: &HttpAnswer,
    ) {
        self.finish_client(now, connection, answer.head(), &answer.body);
    }

    /// Sends the last bytes of an answer and goes on to the client's next request.
    pub(crate) fn finish_client(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        mut writer: HeadWriter,
        body: &[u8],
    ) {
        let stopping = self.stopping_since.is_some();
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        client.close_after |= stopping;
        if client.close_after {
            writer = writer.header("Connection", "close");
        }
        self.environment
            .runtime
            .reactor
            .send(connection, &writer.body(body));
        self.end_exchange(now, connection);
    }

    /// The answer to a client is out: goes on to its next request, or closes.
    pub(crate) fn end_exchange(&mut self, now: Instant, connection: ConnectionId) {
        let stopping = self.stopping_since.is_some();
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        client.state = ClientState::Reading { begun: None };
        client.used = now;
        client.close_after |= stopping;
        if client.close_after {
            self.clients.remove(&connection);
            self.environment
                .runtime
                .reactor
                .close_when_flushed(connection);
            return;
        }
        // Requests that came in one piece are answered in turn, without recursion.
        if std::mem::replace(&mut client.is_answering, true) {
            return;
        }
        let has_input = self
            .environment
            .runtime
            .reactor
            .input(connection)
            .is_some_and(|input| !input.is_empty());
        if has_input {
            self.on_client_input(now, connection);
        }
        if let Some(client) = self.clients.get_mut(&connection) {
            client.is_answering = false;
        }
        let idle = self.environment.site.view.limits().idle_timeout;
        self.environment
            .runtime
            .timers
            .arm(now + idle, TimerKey::Client(connection));
    }

    /// Notes that a client waits for the group.
    pub(crate) fn set_client_call(&mut self, connection: ConnectionId, id: CallId) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.state = ClientState::Call(id);
        }
    }

    /// A client's time may be over.
    pub(crate) fn on_client_timer(&mut self, now: Instant, connection: ConnectionId) {
        let limits = self.environment.site.view.limits();
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        let ClientState::Reading { begun } = client.state else {
            return;
        };
        let Some(begun) = begun else {
            let until = client.used + limits.idle_timeout;
            if now >= until {
                self.close_client(connection);
            } else {
                self.environment
                    .runtime
                    .timers
                    .arm(until, TimerKey::Client(connection));
            }
            return;
        };
        let factor = if client.reader.is_under_way() {
            BODY_TIME_FACTOR
        } else {
            1
        };
        let until = begun + limits.head_timeout * factor;
        if now < until {
            return self
                .environment
                .runtime
                .timers
                .arm(until, TimerKey::Client(connection));
        }
        self.refuse_too_slow(now, connection);
    }

    /// Closes a client's connection and drops what it waits for.
    pub(crate) fn close_client(&mut self, connection: ConnectionId) {
        self.environment.runtime.reactor.close(connection);
        let Some(client) = self.clients.remove(&connection) else {
            return;
        };
        match client.state {
            ClientState::Reading { .. } => {}
            ClientState::Exchange(exchange) => self.drop_exchange(exchange),
            ClientState::Call(id) => self.calls.forget(id),
        }
    }
}
