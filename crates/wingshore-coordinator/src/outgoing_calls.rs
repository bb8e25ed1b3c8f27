//! Calls to others over HTTP: one at a time on each connection, which is kept for the next one.

use crate::protocol::OutgoingCall;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_net::http::{AnswerReader, BodyStatus, HeadWriter, WholeAnswer};
use wingshore_net::{ConnectOptions, ConnectionId, Reactor};
use wingshore_types::Instant;

/// An idle connection is closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

struct CallUnderWay<Q> {
    question: Q,
    since: Instant,
    reader: AnswerReader,
}

struct CallConnection<T, Q> {
    connection: ConnectionId,
    target: T,
    call: Option<CallUnderWay<Q>>,
    used: Instant,
}

/// A call that is over.
pub(crate) struct EndedCall<T, Q> {
    /// Who was called.
    pub(crate) target: T,
    /// What was asked.
    pub(crate) question: Q,
    /// The whole answer; `None` without one: the call may take effect all the same, also later.
    pub(crate) answer: Option<WholeAnswer>,
}

/// Calls under way. `T` names who is called, `Q` what is asked.
pub(crate) struct OutgoingCalls<T, Q> {
    /// A call without an answer is over after this time.
    timeout: Duration,
    connections: BTreeMap<ConnectionId, CallConnection<T, Q>>,
}

impl<T: Clone + PartialEq, Q> OutgoingCalls<T, Q> {
    /// No calls yet.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            connections: BTreeMap::new(),
        }
    }

    /// Whether a connection is one of these.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Makes a call; gives it back where no connection can be made.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        (target, address): (&T, SocketAddr),
        call: &OutgoingCall,
        question: Q,
    ) -> Option<EndedCall<T, Q>> {
        let idle = self.connections.values().find(|entry| {
            entry.target == *target
                && entry.call.is_none()
                && now.since(entry.used) < IDLE_LIMIT
                && reactor.is_open(entry.connection)
        });
        let options = ConnectOptions {
            unacknowledged_limit: self.timeout,
        };
        let connection = idle
            .map(|entry| entry.connection)
            .or_else(|| reactor.connect(address, options));
        let Some(connection) = connection else {
            return Some(EndedCall {
                target: target.clone(),
                question,
                answer: None,
            });
        };
        reactor.send(connection, &encode(call, address));
        let under_way = CallUnderWay {
            question,
            since: now,
            reader: AnswerReader::new(false),
        };
        let entry = CallConnection {
            connection,
            target: target.clone(),
            call: Some(under_way),
            used: now,
        };
        self.connections.insert(connection, entry);
        None
    }

    /// Bytes have arrived.
    pub(crate) fn on_received(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<EndedCall<T, Q>> {
        let entry = self.connections.get_mut(&connection)?;
        let Some(call) = &mut entry.call else {
            // Bytes that nobody asked for.
            self.close(reactor, connection);
            return None;
        };
        let input = reactor.input(connection)?;
        let status = call.reader.read(input);
        let is_clean = input.is_empty();
        match status {
            Ok(BodyStatus::Partial) => None,
            Ok(BodyStatus::Whole) => {
                let call = entry.call.take()?;
                let target = entry.target.clone();
                entry.used = now;
                let answer = call.reader.into_answer(is_clean)?;
                if !answer.reusable {
                    self.close(reactor, connection);
                }
                Some(EndedCall {
                    target,
                    question: call.question,
                    answer: Some(answer),
                })
            }
            Err(_) => self.on_ended(reactor, connection),
        }
    }

    /// The connection has ended.
    pub(crate) fn on_ended(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<EndedCall<T, Q>> {
        reactor.close(connection);
        let entry = self.connections.remove(&connection)?;
        let call = entry.call?;
        Some(EndedCall {
            target: entry.target,
            question: call.question,
            answer: None,
        })
    }

    /// Gives up calls without an answer; what has not left of them does not leave.
    pub(crate) fn give_up(
        &mut self,
        reactor: &mut Reactor,
        is_given_up: impl Fn(&Q) -> bool,
    ) -> Vec<EndedCall<T, Q>> {
        let is_concerned = |entry: &CallConnection<T, Q>| {
            let call = entry.call.as_ref();
            call.is_some_and(|call| is_given_up(&call.question))
        };
        self.end_all(reactor, is_concerned)
    }

    /// Gives up calls that are late and closes idle connections.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<EndedCall<T, Q>> {
        let timeout = self.timeout;
        self.end_all(reactor, |entry| match &entry.call {
            Some(call) => now.since(call.since) >= timeout,
            None => now.since(entry.used) >= IDLE_LIMIT,
        })
    }

    fn end_all(
        &mut self,
        reactor: &mut Reactor,
        is_concerned: impl Fn(&CallConnection<T, Q>) -> bool,
    ) -> Vec<EndedCall<T, Q>> {
        let concerned: Vec<ConnectionId> = self
            .connections
            .values()
            .filter(|entry| is_concerned(entry))
            .map(|entry| entry.connection)
            .collect();
        concerned
            .into_iter()
            .filter_map(|connection| self.on_ended(reactor, connection))
            .collect()
    }

    fn close(&mut self, reactor: &mut Reactor, connection: ConnectionId) {
        reactor.close(connection);
        self.connections.remove(&connection);
    }
}

fn encode(call: &OutgoingCall, address: SocketAddr) -> Vec<u8> {
    let mut writer = HeadWriter::request(call.method, &call.target).header("Host", address);
    for (name, value) in &call.headers {
        writer = writer.header(name, value);
    }
    if call.method == "GET" {
        return writer.end();
    }
    writer.body(&call.body)
}
