//! Calls to engines and to the provider over HTTP.
//!
//! Owns the connections that were made for them, one call at a time on each, kept for the next call
//! to the same callee. Relies on the reactor for sockets, on [`CallProtocols`] for the wire, and on
//! [`CallRate`] for the provider's rate. Whether a call may be made at all (the lease, the fence)
//! is decided before it comes here; each call ends in exactly one [`Event`].
//!
//! Question: when is a call given up? Inputs: when it was made, who is called. Rule: without a
//! whole answer within the callee's time-out, when its connection ends, or, for calls that need the
//! lease, once the lease is over. Why: a call that was given up may still take effect, so its event
//! says "unknown" and the leader asks for a report before it decides again.

use crate::call_rate::CallRate;
use crate::protocol::{EngineProtocol, OutgoingCall, ProviderProtocol};
use crate::settings::ProviderSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CapacityOrder, CapacityPool, Event, InstanceId, OrderAnswer, ProviderAnswer, UsageReport,
    UsageWindow, WeightOrder,
};
use wingshore_net::http::{AnswerReader, BodyStatus, HeadWriter, WholeAnswer};
use wingshore_net::{ConnectOptions, ConnectionId, Reactor};
use wingshore_types::Instant;

/// An idle connection is closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A call to an engine without an answer is over after this time: engines answer at once, whatever
/// they do.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(450);
/// The same for the provider: a slow one takes some tens of times its usual milliseconds.
const PROVIDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Who is called.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Callee {
    Engine(InstanceId),
    Provider,
}

impl Callee {
    fn timeout(&self) -> Duration {
        match self {
            Self::Engine(_) => ENGINE_TIMEOUT,
            Self::Provider => PROVIDER_TIMEOUT,
        }
    }
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Question {
    /// To load weights.
    Load(InstanceId),
    /// The status of an engine.
    Report(InstanceId),
    /// Something of the provider.
    Provider(ProviderQuestion),
}

/// What is asked of the provider.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ProviderQuestion {
    /// To take a report of usage.
    Usage(UsageWindow),
    /// To have so many servers in a pool.
    Capacity(CapacityPool, u32),
}

impl Question {
    /// Whether only the holder of orders may ask: under the lease.
    fn needs_lease(&self) -> bool {
        !matches!(self, Self::Report(_))
    }
}

struct CallUnderWay {
    question: Question,
    since: Instant,
    reader: AnswerReader,
}

struct CallConnection {
    callee: Callee,
    call: Option<CallUnderWay>,
    used: Instant,
}

/// Translations to the wire of callees.
pub struct CallProtocols {
    /// To engines.
    pub engines: Box<dyn EngineProtocol>,
    /// To the provider.
    pub provider: Box<dyn ProviderProtocol>,
}

/// The provider, as it is called.
struct Provider {
    address: SocketAddr,
    /// Keeps within the calls that it takes.
    rate: CallRate,
}

/// All calls under way.
pub(crate) struct OutgoingCalls {
    protocols: CallProtocols,
    /// `None` where there is nothing to ask of it.
    provider: Option<Provider>,
    connections: BTreeMap<ConnectionId, CallConnection>,
}

impl OutgoingCalls {
    /// No calls yet.
    pub(crate) fn new(protocols: CallProtocols, provider: Option<&ProviderSettings>) -> Self {
        let provider = provider.map(|settings| Provider {
            address: settings.address,
            rate: CallRate::new(settings.calls_per_second),
        });
        Self {
            protocols,
            provider,
            connections: BTreeMap::new(),
        }
    }

    /// Whether a connection is one of these.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Gives an engine an order.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &WeightOrder,
    ) -> Option<Event> {
        let call = self.protocols.engines.order(order);
        let question = Question::Load(order.instance.clone());
        let callee = Callee::Engine(order.instance.clone());
        self.begin(now, reactor, (callee, order.address), &call, question)
    }

    /// Asks for the status of an engine.
    pub(crate) fn poll_engine(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Option<Event> {
        let call = self.protocols.engines.report(instance);
        let question = Question::Report(instance.clone());
        let callee = Callee::Engine(instance.clone());
        self.begin(now, reactor, (callee, address), &call, question)
    }

    /// Reports the usage of a window to the provider.
    pub(crate) fn report_usage(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        report: &UsageReport,
    ) -> Option<Event> {
        let call = self.protocols.provider.usage(report);
        self.call_provider(now, reactor, &call, ProviderQuestion::Usage(report.window))
    }

    /// Orders the number of servers in a pool from the provider.
    pub(crate) fn order_capacity(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &CapacityOrder,
    ) -> Option<Event> {
        let call = self.protocols.provider.capacity(order);
        let question = ProviderQuestion::Capacity(order.pool.clone(), order.count);
        self.call_provider(now, reactor, &call, question)
    }

    fn call_provider(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        call: &OutgoingCall,
        question: ProviderQuestion,
    ) -> Option<Event> {
        let provider = self.provider.as_mut()?;
        if !provider.rate.try_acquire(now) {
            return Some(provider_event(question, ProviderAnswer::Busy));
        }
        let callee = (Callee::Provider, provider.address);
        self.begin(now, reactor, callee, call, Question::Provider(question))
    }

    /// Makes a call; gives its end where no connection can be made.
    fn begin(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        (callee, address): (Callee, SocketAddr),
        call: &OutgoingCall,
        question: Question,
    ) -> Option<Event> {
        let idle = self.connections.iter().find(|(connection, entry)| {
            entry.callee == callee
                && entry.call.is_none()
                && now.since(entry.used) < IDLE_LIMIT
                && reactor.is_open(**connection)
        });
        let options = ConnectOptions {
            unacknowledged_limit: callee.timeout(),
        };
        let connection = idle
            .map(|(connection, _)| *connection)
            .or_else(|| reactor.connect(address, options));
        let Some(connection) = connection else {
            return Some(self.event(question, None));
        };
        reactor.send(connection, &encode(call, address));
        let under_way = CallUnderWay {
            question,
            since: now,
            reader: AnswerReader::new(false),
        };
        let entry = CallConnection {
            callee,
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
                entry.used = now;
                let answer = call.reader.into_answer(is_clean)?;
                if !answer.reusable {
                    self.close(reactor, connection);
                }
                Some(self.event(call.question, Some(&answer)))
            }
            Err(_) => self.on_ended(reactor, connection),
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
        Some(self.event(call.question, None))
    }

    /// Gives up the calls that only a holder makes; what has not left of them does not leave.
    pub(crate) fn cancel_lease_calls(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        self.end_all(reactor, |entry| {
            let call = entry.call.as_ref();
            call.is_some_and(|call| call.question.needs_lease())
        })
    }

    /// Gives up calls that are late and closes idle connections.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<Event> {
        self.end_all(reactor, |entry| match &entry.call {
            Some(call) => now.since(call.since) >= entry.callee.timeout(),
            None => now.since(entry.used) >= IDLE_LIMIT,
        })
    }

    fn end_all(
        &mut self,
        reactor: &mut Reactor,
        is_concerned: impl Fn(&CallConnection) -> bool,
    ) -> Vec<Event> {
        let concerned: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, entry)| is_concerned(entry))
            .map(|(connection, _)| *connection)
            .collect();
        concerned
            .into_iter()
            .filter_map(|connection| self.on_ended(reactor, connection))
            .collect()
    }

    /// What follows from the end of a call. Without an answer it may take effect all the same, also
    /// later.
    fn event(&self, question: Question, answer: Option<&WholeAnswer>) -> Event {
        let engines = &self.protocols.engines;
        match question {
            Question::Load(instance) => Event::WeightOrderAnswered {
                instance,
                answer: answer.map_or(OrderAnswer::Unknown, |answer| {
                    engines.order_answer(&answer.head)
                }),
            },
            Question::Report(instance) => Event::EnginePolled {
                instance,
                report: answer.and_then(|answer| engines.report_answer(&answer.head, &answer.body)),
            },
            Question::Provider(question) => {
                let answer = answer.map_or(ProviderAnswer::Unknown, |answer| {
                    self.protocols.provider.answer(&answer.head)
                });
                provider_event(question, answer)
            }
        }
    }

    fn close(&mut self, reactor: &mut Reactor, connection: ConnectionId) {
        reactor.close(connection);
        self.connections.remove(&connection);
    }
}

/// What follows from the provider's answer to a question.
fn provider_event(question: ProviderQuestion, answer: ProviderAnswer) -> Event {
    match question {
        ProviderQuestion::Usage(window) => Event::UsageAnswered { window, answer },
        ProviderQuestion::Capacity(pool, count) => Event::CapacityAnswered {
            pool,
            count,
            answer,
        },
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
