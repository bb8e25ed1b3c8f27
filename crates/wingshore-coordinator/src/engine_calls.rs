//! Calls to engines: orders, and questions how they stand. One connection an engine, one call at
//! a time on it.

use crate::protocol::{EngineCall, EngineProtocol};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{Event, InstanceId, OrderAnswer, WeightOrder};
use wingshore_net::http::{AnswerReader, BodyStatus, HeadWriter, WholeAnswer};
use wingshore_net::{ConnectOptions, ConnectionId, Reactor};
use wingshore_types::Instant;

/// A call without an answer is over after this time: engines answer at once, whatever they do.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// An idle connection is closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// What was asked.
enum Question {
    Order,
    Report,
}

struct CallUnderWay {
    question: Question,
    since: Instant,
    reader: AnswerReader,
}

struct EngineConnection {
    connection: ConnectionId,
    instance: InstanceId,
    call: Option<CallUnderWay>,
    used: Instant,
}

/// All calls under way.
pub(crate) struct EngineCalls {
    protocol: Box<dyn EngineProtocol>,
    connections: BTreeMap<ConnectionId, EngineConnection>,
}

impl EngineCalls {
    /// No calls yet.
    pub(crate) fn new(protocol: Box<dyn EngineProtocol>) -> Self {
        Self {
            protocol,
            connections: BTreeMap::new(),
        }
    }

    /// Whether a connection is one of these.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Gives an order.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &WeightOrder,
    ) -> Option<Event> {
        let call = self.protocol.order(order);
        self.begin(
            now,
            reactor,
            &order.instance,
            order.address,
            call,
            Question::Order,
        )
    }

    /// Asks how an engine stands.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Option<Event> {
        let call = self.protocol.report(instance);
        self.begin(now, reactor, instance, address, call, Question::Report)
    }

    fn begin(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        instance: &InstanceId,
        address: SocketAddr,
        call: EngineCall,
        question: Question,
    ) -> Option<Event> {
        let idle = self.connections.values().find(|entry| {
            entry.instance == *instance
                && entry.call.is_none()
                && now.since(entry.used) < IDLE_LIMIT
                && reactor.is_open(entry.connection)
        });
        let options = ConnectOptions {
            unacknowledged_limit: CALL_TIMEOUT,
        };
        let connection = idle
            .map(|entry| entry.connection)
            .or_else(|| reactor.connect(address, options));
        let Some(connection) = connection else {
            return Some(without_answer(instance.clone(), &question));
        };
        reactor.send(connection, &encode(&call, address));
        let under_way = CallUnderWay {
            question,
            since: now,
            reader: AnswerReader::new(false),
        };
        let entry = EngineConnection {
            connection,
            instance: instance.clone(),
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
    ) -> Option<Event> {
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
                let instance = entry.instance.clone();
                entry.used = now;
                let answer = call.reader.into_answer(is_clean)?;
                if !answer.reusable {
                    self.close(reactor, connection);
                }
                Some(self.event(instance, &call.question, &answer))
            }
            Err(_) => self.on_ended(reactor, connection),
        }
    }

    fn event(&self, instance: InstanceId, question: &Question, answer: &WholeAnswer) -> Event {
        match question {
            Question::Order => Event::Ordered {
                instance,
                answer: self.protocol.order_answer(&answer.head),
            },
            Question::Report => Event::Reported {
                instance,
                report: self.protocol.report_answer(&answer.head, &answer.body),
            },
        }
    }

    /// The connection has ended.
    pub(crate) fn on_ended(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        reactor.close(connection);
        let entry = self.connections.remove(&connection)?;
        let call = entry.call?;
        Some(without_answer(entry.instance, &call.question))
    }

    /// Gives up all orders without an answer; what has not left of them does not leave.
    pub(crate) fn drop_orders(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        let is_order = |call: &CallUnderWay| matches!(call.question, Question::Order);
        let orders: Vec<ConnectionId> = self
            .connections
            .values()
            .filter(|entry| entry.call.as_ref().is_some_and(is_order))
            .map(|entry| entry.connection)
            .collect();
        orders
            .into_iter()
            .filter_map(|connection| self.on_ended(reactor, connection))
            .collect()
    }

    /// Gives up calls without an answer and closes idle connections.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<Event> {
        let old: Vec<ConnectionId> = self
            .connections
            .values()
            .filter(|entry| match &entry.call {
                Some(call) => now.since(call.since) >= CALL_TIMEOUT,
                None => now.since(entry.used) >= IDLE_LIMIT,
            })
            .map(|entry| entry.connection)
            .collect();
        old.into_iter()
            .filter_map(|connection| self.on_ended(reactor, connection))
            .collect()
    }

    fn close(&mut self, reactor: &mut Reactor, connection: ConnectionId) {
        reactor.close(connection);
        self.connections.remove(&connection);
    }
}

fn without_answer(instance: InstanceId, question: &Question) -> Event {
    match question {
        Question::Order => Event::Ordered {
            instance,
            answer: OrderAnswer::Unknown,
        },
        Question::Report => Event::Reported {
            instance,
            report: None,
        },
    }
}

fn encode(call: &EngineCall, address: SocketAddr) -> Vec<u8> {
    let mut writer = HeadWriter::request(call.method, &call.target).header("Host", address);
    for (name, value) in &call.headers {
        writer = writer.header(name, value);
    }
    if call.method == "GET" {
        return writer.end();
    }
    writer.body(&call.body)
}
