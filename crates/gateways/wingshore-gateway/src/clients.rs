//! Connections of clients: reading requests, writing answers, time limits.
//!
//! Owns the connections and what each waits for; what a request is for and how it is answered is not
//! known here.

use crate::admission::ListenerKind;
use crate::ids::{CallId, ExchangeId};
use crate::runtime::Runtime;
use crate::timers::TimerKey;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::IngressLimits;
use wingshore_net::http::{HeadWriter, RequestError, RequestHead, RequestReader, WholeRequest};
use wingshore_net::{ConnectionId, Reactor};
use wingshore_types::Instant;

/// How many times as long as a head a request with a body may take to arrive.
const BODY_TIME_FACTOR: u32 = 3;

/// What a client waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingAnswer {
    /// The answer of a server.
    Exchange(ExchangeId),
    /// The answer of the group.
    Call(CallId),
}

/// What a client's connection is doing.
enum ClientState {
    /// Reading the next request.
    Reading {
        /// When the first byte of a request that is not whole arrived.
        begun: Option<Instant>,
    },
    /// Waiting for an answer.
    PendingAnswer(PendingAnswer),
}

/// What has been read from a client.
pub(crate) enum ClientInput {
    /// Nothing that is to be acted on.
    Nothing,
    /// Part of a request.
    Partial,
    /// A whole request.
    Request(WholeRequest),
    /// Bytes that are no request, or one over a limit.
    Unreadable(RequestError),
}

/// What is to be done when a client's time may be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientTimeout {
    /// Nothing.
    None,
    /// It was idle for too long.
    Idle,
    /// Its request did not arrive whole in time.
    TooSlow,
}

/// What follows when a client's answer is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterAnswer {
    /// Nothing: the connection closes, or its input is being read already.
    Nothing,
    /// Its next request may have arrived.
    ReadNext,
}

/// One client's connection.
struct Client {
    reader: RequestReader,
    state: ClientState,
    close_after: bool,
    listener_kind: ListenerKind,
    used: Instant,
    is_answering: bool,
}

/// All connections of clients.
#[derive(Default)]
pub(crate) struct Clients {
    all: HashMap<ConnectionId, Client>,
    /// Connections that close once all that was sent on them has left.
    leaving: Vec<ConnectionId>,
}

impl Clients {
    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// A new connection.
    pub(crate) fn accept(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        listener_kind: ListenerKind,
        idle_timeout: Duration,
    ) {
        let now = runtime.now;
        let client = Client {
            reader: RequestReader::default(),
            state: ClientState::Reading { begun: None },
            close_after: false,
            listener_kind,
            used: now,
            is_answering: false,
        };
        self.all.insert(connection, client);
        let timers = &mut runtime.timers;
        timers.arm(now + idle_timeout, TimerKey::Client(connection));
    }

    /// Bytes of a client have arrived, or its last answer has gone out.
    pub(crate) fn read(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        limits: IngressLimits,
        is_stopping: bool,
    ) -> ClientInput {
        let now = runtime.now;
        let Some(client) = self.all.get_mut(&connection) else {
            return ClientInput::Nothing;
        };
        client.used = now;
        let ClientState::Reading { begun } = &mut client.state else {
            return ClientInput::Nothing;
        };
        let Some(input) = runtime.reactor.input(connection) else {
            return ClientInput::Nothing;
        };
        let next = client
            .reader
            .next(input, limits.head_bytes, limits.body_bytes);
        match next {
            Ok(None) => {
                let has_begun = !input.is_empty() || client.reader.is_under_way();
                if has_begun && begun.is_none() {
                    *begun = Some(now);
                    let deadline = now + limits.head_timeout;
                    runtime.timers.arm(deadline, TimerKey::Client(connection));
                }
                ClientInput::Partial
            }
            Ok(Some(request)) => {
                *begun = None;
                client.close_after = request.head.wants_close() || is_stopping;
                ClientInput::Request(request)
            }
            Err(error) => ClientInput::Unreadable(error),
        }
    }

    /// Who calls on a connection.
    pub(crate) fn listener_kind(&self, connection: ConnectionId) -> Option<ListenerKind> {
        self.all.get(&connection).map(|client| client.listener_kind)
    }

    /// The head of the request that is arriving, once it is whole.
    pub(crate) fn head(&self, connection: ConnectionId) -> Option<&RequestHead> {
        self.all.get(&connection)?.reader.head()
    }

    /// The connection is of no more use after the next answer; says whether it is there.
    pub(crate) fn close_after_answer(&mut self, connection: ConnectionId) -> bool {
        let client = self.all.get_mut(&connection);
        client.map(|client| client.close_after = true).is_some()
    }

    /// A client waits for an answer.
    pub(crate) fn set_waiting(&mut self, connection: ConnectionId, waiting: PendingAnswer) {
        if let Some(client) = self.all.get_mut(&connection) {
            client.state = ClientState::PendingAnswer(waiting);
        }
    }

    /// Sends an answer whole.
    #[must_use]
    pub(crate) fn answer(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        (mut writer, body): (HeadWriter, &[u8]),
        is_stopping: bool,
    ) -> AfterAnswer {
        let Some(client) = self.all.get_mut(&connection) else {
            return AfterAnswer::Nothing;
        };
        client.close_after |= is_stopping;
        if client.close_after {
            writer = writer.header("Connection", "close");
        }
        runtime.reactor.send(connection, &writer.body(body));
        self.answered(runtime, connection, is_stopping)
    }

    /// The answer to a client is out: goes on to its next request, or closes.
    #[must_use]
    pub(crate) fn answered(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        is_stopping: bool,
    ) -> AfterAnswer {
        let now = runtime.now;
        let Some(client) = self.all.get_mut(&connection) else {
            return AfterAnswer::Nothing;
        };
        client.state = ClientState::Reading { begun: None };
        client.used = now;
        client.close_after |= is_stopping;
        if client.close_after {
            self.close_after_flush(runtime, connection);
            return AfterAnswer::Nothing;
        }
        // Requests that came in one piece are answered in turn, without recursion.
        if std::mem::replace(&mut client.is_answering, true) {
            return AfterAnswer::Nothing;
        }
        AfterAnswer::ReadNext
    }

    /// The next request of a client that was answered has been read, as far as it has arrived.
    pub(crate) fn next_request_read(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        idle_timeout: Duration,
    ) {
        let now = runtime.now;
        if let Some(client) = self.all.get_mut(&connection) {
            client.is_answering = false;
        }
        let timers = &mut runtime.timers;
        timers.arm(now + idle_timeout, TimerKey::Client(connection));
    }

    /// A client's time may be over.
    pub(crate) fn on_timer(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        limits: IngressLimits,
    ) -> ClientTimeout {
        let now = runtime.now;
        let Some(client) = self.all.get(&connection) else {
            return ClientTimeout::None;
        };
        let ClientState::Reading { begun } = client.state else {
            return ClientTimeout::None;
        };
        let (deadline, timeout) = match begun {
            None => (client.used + limits.idle_timeout, ClientTimeout::Idle),
            Some(begun) if client.reader.is_under_way() => {
                let time = limits.head_timeout * BODY_TIME_FACTOR;
                (begun + time, ClientTimeout::TooSlow)
            }
            Some(begun) => (begun + limits.head_timeout, ClientTimeout::TooSlow),
        };
        if now >= deadline {
            return timeout;
        }
        runtime.timers.arm(deadline, TimerKey::Client(connection));
        ClientTimeout::None
    }

    /// Those that wait for nothing, and have got all of their last answer as far as that is known here.
    pub(crate) fn idle(&self, reactor: &Reactor) -> Vec<ConnectionId> {
        let is_idle =
            |client: &Client| matches!(client.state, ClientState::Reading { begun: None });
        let idle = self.all.iter().filter(|(_, client)| is_idle(client));
        let idle = idle.map(|(connection, _)| *connection);
        idle.filter(|connection| reactor.queued(*connection) == 0)
            .collect()
    }

    /// Whether part of an answer has not left yet on a connection that is to close.
    pub(crate) fn has_unsent(&self, reactor: &Reactor) -> bool {
        self.leaving.iter().any(|left| reactor.is_open(*left))
    }

    /// Drops what is known of connections that have closed.
    pub(crate) fn forget_closed(&mut self, reactor: &Reactor) {
        self.leaving.retain(|left| reactor.is_open(*left));
    }

    /// Closes a connection; gives what it waited for.
    pub(crate) fn close(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
    ) -> Option<PendingAnswer> {
        runtime.reactor.close(connection);
        match self.all.remove(&connection)?.state {
            ClientState::Reading { .. } => None,
            ClientState::PendingAnswer(waiting) => Some(waiting),
        }
    }

    /// Closes a connection once all that was sent on it has left.
    pub(crate) fn close_after_flush(&mut self, runtime: &mut Runtime, connection: ConnectionId) {
        self.all.remove(&connection);
        self.leaving.push(connection);
        runtime.reactor.close_when_flushed(connection);
    }
}
