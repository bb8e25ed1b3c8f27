//! Connections of clients: reading requests, writing answers, enforcing time limits.
//!
//! This module owns the connections and what each of them waits for. What a request asks for and
//! how it is answered is decided elsewhere.

use crate::admission::ListenerKind;
use crate::ids::{CallId, ExchangeId};
use crate::runtime::Runtime;
use crate::timers::TimerKey;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::IngressLimits;
use wingshore_net::account::SMALL_BODY_BYTES;
use wingshore_net::callers::{CallerState, Stage};
use wingshore_net::http::{
    HeadWriter, MessageBody, RequestError, RequestHead, RequestReader, WholeRequest,
};
use wingshore_net::{ClosingConnections, ConnectionId, OutputProgress, Reactor};
use wingshore_types::Instant;

/// Time limit for a request with a body to arrive, as a multiple of the time limit for its head.
const BODY_TIMEOUT_FACTOR: u32 = 3;
/// Bytes of answers in a client's output queue with which its next request is not read yet.
const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// The answer that a client waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingAnswer {
    /// The answer of a server.
    Exchange(ExchangeId),
    /// The answer of the coordination group.
    Call(CallId),
}

/// The state of a client's connection.
enum ClientState {
    /// Reading the next request.
    Reading {
        /// When the first byte of the incomplete request arrived; `None` if there is none.
        started_at: Option<Instant>,
    },
    /// Waiting for an answer.
    PendingAnswer(PendingAnswer),
}

/// The result of reading from a client.
pub(crate) enum ClientInput {
    /// Nothing to act on.
    Nothing,
    /// Part of a request.
    Partial,
    /// A complete request.
    Request(WholeRequest),
    /// Bytes that are not a valid request, or a request that exceeds a limit.
    Unreadable(RequestError),
}

/// The result of checking a client's time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientTimeout {
    /// No time limit has passed.
    None,
    /// The connection was idle for too long.
    Idle,
    /// The request did not arrive completely in time.
    TooSlow,
}

/// The next step after an answer was sent to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterAnswer {
    /// None: the connection closes, or its input is already being read.
    Nothing,
    /// Read the next request, which may have arrived already.
    ReadNext,
}

/// A connection of a client.
struct Client {
    reader: RequestReader,
    state: ClientState,
    closes_after_answer: bool,
    listener_kind: ListenerKind,
    last_used_at: Instant,
    is_answering: bool,
    /// Whether a request of this connection was answered.
    was_served: bool,
    output: OutputProgress,
}

impl Client {
    /// Returns what the connection does.
    fn stage(&self) -> Stage {
        match self.state {
            ClientState::PendingAnswer(_) => Stage::Waiting,
            ClientState::Reading {
                started_at: Some(_),
            } => Stage::Receiving,
            ClientState::Reading { started_at: None } => Stage::Idle {
                was_served: self.was_served,
            },
        }
    }
}

/// All connections of clients.
#[derive(Default)]
pub(crate) struct Clients {
    all: HashMap<ConnectionId, Client>,
    /// Connections that close once all queued bytes have been sent.
    closing: ClosingConnections,
}

impl Clients {
    /// Returns the number of connections.
    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// Adds a new connection and arms its idle timer.
    pub(crate) fn accept(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        listener_kind: ListenerKind,
        idle_timeout: Duration,
    ) {
        let now = runtime.now;
        let client = Client {
            reader: RequestReader::new(runtime.reactor.account()),
            state: ClientState::Reading { started_at: None },
            closes_after_answer: false,
            listener_kind,
            last_used_at: now,
            is_answering: false,
            was_served: false,
            output: OutputProgress::new(now),
        };
        self.all.insert(connection, client);
        let timers = &mut runtime.timers;
        timers.arm(now + idle_timeout, TimerKey::Client(connection));
    }

    /// Reads the next request of a client, after bytes have arrived or its last answer was sent.
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
        client.last_used_at = now;
        let ClientState::Reading { started_at } = &mut client.state else {
            return ClientInput::Nothing;
        };
        if runtime.reactor.queued(connection) > MAX_UNSENT_BYTES {
            // A client that reads no answers gets no further ones.
            runtime.reactor.report_sent(connection);
            return ClientInput::Nothing;
        }
        let Some(input) = runtime.reactor.input(connection) else {
            return ClientInput::Nothing;
        };
        let next = client
            .reader
            .next(input, limits.head_bytes, limits.body_bytes);
        match next {
            Ok(None) => {
                let has_begun = !input.is_empty() || client.reader.is_under_way();
                if has_begun && started_at.is_none() {
                    *started_at = Some(now);
                    let deadline = now + limits.head_timeout;
                    runtime.timers.arm(deadline, TimerKey::Client(connection));
                }
                ClientInput::Partial
            }
            Ok(Some(request)) => {
                *started_at = None;
                client.closes_after_answer = request.head.wants_close() || is_stopping;
                ClientInput::Request(request)
            }
            Err(error) => ClientInput::Unreadable(error),
        }
    }

    /// Returns the kind of listener that a connection came in on.
    pub(crate) fn listener_kind(&self, connection: ConnectionId) -> Option<ListenerKind> {
        self.all.get(&connection).map(|client| client.listener_kind)
    }

    /// Returns the head of the request that is arriving, once the head is complete.
    pub(crate) fn head(&self, connection: ConnectionId) -> Option<&RequestHead> {
        self.all.get(&connection)?.reader.head()
    }

    /// Marks a connection to be closed after its next answer; returns whether it is still open.
    pub(crate) fn close_after_answer(&mut self, connection: ConnectionId) -> bool {
        let client = self.all.get_mut(&connection);
        client
            .map(|client| client.closes_after_answer = true)
            .is_some()
    }

    /// Records that a client waits for an answer.
    pub(crate) fn set_waiting(&mut self, connection: ConnectionId, waiting: PendingAnswer) {
        if let Some(client) = self.all.get_mut(&connection) {
            client.state = ClientState::PendingAnswer(waiting);
        }
    }

    /// Sends a complete answer.
    #[must_use]
    pub(crate) fn answer(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        (mut writer, body): (HeadWriter, &MessageBody),
        is_stopping: bool,
    ) -> AfterAnswer {
        let Some(client) = self.all.get_mut(&connection) else {
            return AfterAnswer::Nothing;
        };
        client.closes_after_answer |= is_stopping;
        if client.closes_after_answer {
            writer = writer.header("Connection", "close");
        }
        let head = writer.before_body(body.len());
        runtime.reactor.send(connection, &head);
        runtime.reactor.send_body(connection, body);
        self.answered(runtime, connection, is_stopping)
    }

    /// Handles a sent answer: continues with the client's next request, or closes the connection.
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
        client.state = ClientState::Reading { started_at: None };
        client.last_used_at = now;
        client.was_served = true;
        client.closes_after_answer |= is_stopping;
        if client.closes_after_answer {
            self.close_after_flush(runtime, connection);
            return AfterAnswer::Nothing;
        }
        // Pipelined requests are answered one after the other, without recursion.
        if std::mem::replace(&mut client.is_answering, true) {
            return AfterAnswer::Nothing;
        }
        AfterAnswer::ReadNext
    }

    /// Records that the next request of a client was read as far as it has arrived, and arms the
    /// idle timer.
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

    /// Handles a timer: checks whether a time limit of the client has passed, and re-arms the timer
    /// if not.
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
        let ClientState::Reading { started_at } = client.state else {
            return ClientTimeout::None;
        };
        let (deadline, timeout) = match started_at {
            None => (
                client.last_used_at + limits.idle_timeout,
                ClientTimeout::Idle,
            ),
            Some(started_at) if client.reader.is_under_way() => {
                let time = limits.head_timeout * BODY_TIMEOUT_FACTOR;
                (started_at + time, ClientTimeout::TooSlow)
            }
            Some(started_at) => (started_at + limits.head_timeout, ClientTimeout::TooSlow),
        };
        if now >= deadline {
            return timeout;
        }
        runtime.timers.arm(deadline, TimerKey::Client(connection));
        ClientTimeout::None
    }

    /// Returns the connections that wait for no answer, have no queued bytes left to send and were
    /// not used in this turn: what has arrived on the others may not have been read yet.
    pub(crate) fn idle(&self, now: Instant, reactor: &Reactor) -> Vec<ConnectionId> {
        let is_idle = |client: &Client| {
            let is_waiting_for_request =
                matches!(client.state, ClientState::Reading { started_at: None });
            is_waiting_for_request && client.last_used_at < now
        };
        let idle = self.all.iter().filter(|(_, client)| is_idle(client));
        let idle = idle.map(|(connection, _)| *connection);
        idle.filter(|connection| reactor.queued(*connection) == 0)
            .collect()
    }

    /// Whether a connection that is closing still has bytes to send.
    pub(crate) fn has_unsent(&self, reactor: &Reactor) -> bool {
        self.closing.has_unsent(reactor)
    }

    /// Closes the connections that are closing and have nothing left to send.
    pub(crate) fn close_sent(&mut self, reactor: &mut Reactor) {
        self.closing.close_sent(reactor);
    }

    /// Closes connections that are closing and do not get to their end, and returns the other ones
    /// whose clients do not read their answers.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<ConnectionId> {
        self.closing.expire(now, reactor);
        let all = self.all.iter_mut();
        let stalled = all.filter_map(|(connection, client)| {
            let is_stalled = client.output.is_stalled(now, reactor, *connection);
            is_stalled.then_some(*connection)
        });
        stalled.collect()
    }

    /// Returns what each connection does and holds.
    pub(crate) fn states(&mut self, now: Instant, reactor: &Reactor) -> Vec<CallerState> {
        let all = self.all.iter_mut();
        let states = all.map(|(connection, client)| CallerState {
            connection: *connection,
            stage: client.stage(),
            body: client.reader.body_bytes(),
            input: reactor.input_bytes(*connection),
            unsent: reactor.queued(*connection),
            received_at: client.last_used_at,
            sent_at: client.output.update(now, reactor, *connection),
        });
        states.chain(self.closing.states(now, reactor)).collect()
    }

    /// Returns the length that the incomplete body of a client is known to have, in bytes.
    pub(crate) fn known_body_bytes(&self, connection: ConnectionId) -> usize {
        let client = self.all.get(&connection);
        client.map_or(0, |client| client.reader.known_body_bytes())
    }

    /// Returns the bytes that incomplete bodies hold beyond the part of each that counts as small.
    pub(crate) fn incomplete_large_bytes(&self) -> usize {
        let clients = self.all.values();
        let bodies = clients.map(|client| client.reader.body_bytes());
        bodies
            .map(|bytes| bytes.saturating_sub(SMALL_BODY_BYTES))
            .sum()
    }

    /// Drops what has arrived of a client's incomplete body.
    pub(crate) fn drop_body(&mut self, connection: ConnectionId) {
        if let Some(client) = self.all.get_mut(&connection) {
            client.reader.drop_body();
        }
    }

    /// Closes a connection; returns the answer that it waited for.
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

    /// Closes a connection once all queued bytes have been sent. A client that may still be sending
    /// its request is given time to read the answer.
    pub(crate) fn close_after_flush(&mut self, runtime: &mut Runtime, connection: ConnectionId) {
        let client = self.all.remove(&connection);
        let is_incomplete = client.is_some_and(|client| client.reader.head().is_some());
        self.closing.add(runtime.now, connection);
        if is_incomplete {
            runtime.reactor.close_when_answered(connection);
        } else {
            runtime.reactor.close_when_flushed(connection);
        }
    }
}
