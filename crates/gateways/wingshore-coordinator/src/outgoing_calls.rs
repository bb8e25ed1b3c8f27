//! HTTP calls to engines and to the provider.
//!
//! Owns the connections for these calls. Each carries one call and is closed after its answer. Relies on the reactor for sockets, on [`CallProtocols`] for the wire
//! format, and on [`CallRate`] for the provider's rate. Whether a call may be made at all (lease,
//! fence) is decided by the caller; each call ends in exactly one [`Event`].
//!
//! Question: when is a call cancelled? Inputs: when it started, and who is called. Rule: without a
//! whole answer within the callee's timeout, when its connection ends, or, for calls that need the
//! lease, once the lease has expired. Why: a cancelled call may still take effect, so its event
//! says "unknown" and the leader asks for a report before it decides again.
//!
//! Question: is an answer the one to the call? Inputs: none, since the answers to calls carry no
//! identifier. Rule: a connection carries one call. Why: a callee may send an answer once more in the
//! place of the next one on the connection; an order would then be acknowledged by the answer to the
//! call before it.

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

/// Timeout of a call to an engine: engines answer at once, whatever else they do.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of a call to the provider: a slow one takes some tens of times its usual milliseconds.
const PROVIDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length in bytes of the body of an answer. The status of an engine lists its models and
/// their adapters.
const MAX_ANSWER_BODY_BYTES: usize = 1 << 20;

/// Destination of a call.
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

/// Purpose of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// Order an engine to load weights.
    Load(InstanceId),
    /// Ask an engine for its status.
    Report(InstanceId),
    /// Call the provider.
    Provider(ProviderPurpose),
}

/// Purpose of a call to the provider.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ProviderPurpose {
    /// Report the usage of a window.
    Usage(UsageWindow),
    /// Order the number of servers in a pool.
    Capacity(CapacityPool, u32),
}

impl CallPurpose {
    /// Returns whether only the lease holder may make this call.
    fn needs_lease(&self) -> bool {
        !matches!(self, Self::Report(_))
    }
}

/// Call that is not answered yet.
struct PendingCall {
    callee: Callee,
    purpose: CallPurpose,
    started_at: Instant,
    reader: AnswerReader,
}

/// Translations to the wire protocols of the callees.
pub struct CallProtocols {
    /// Calls to engines.
    pub engines: Box<dyn EngineProtocol>,
    /// Calls to the provider.
    pub provider: Box<dyn ProviderProtocol>,
}

/// Address of the provider, and the rate limit of calls to it.
struct Provider {
    address: SocketAddr,
    /// Keeps the calls within the rate that the provider accepts.
    rate: CallRate,
}

/// Connections for outgoing calls, with the pending calls.
pub(crate) struct OutgoingCalls {
    protocols: CallProtocols,
    /// `None` where the deployment calls no provider.
    provider: Option<Provider>,
    pending: BTreeMap<ConnectionId, PendingCall>,
}

impl OutgoingCalls {
    /// Creates the table without connections.
    pub(crate) fn new(protocols: CallProtocols, provider: Option<&ProviderSettings>) -> Self {
        let provider = provider.map(|settings| Provider {
            address: settings.address,
            rate: CallRate::new(settings.calls_per_second),
        });
        Self {
            protocols,
            provider,
            pending: BTreeMap::new(),
        }
    }

    /// Returns whether a connection belongs to an outgoing call.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.pending.contains_key(&connection)
    }

    /// Sends an order to an engine.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &WeightOrder,
    ) -> Option<Event> {
        let call = self.protocols.engines.order(order);
        let purpose = CallPurpose::Load(order.instance.clone());
        let callee = Callee::Engine(order.instance.clone());
        self.start_call(now, reactor, (callee, order.address), &call, purpose)
    }

    /// Asks an engine for its status.
    pub(crate) fn poll_engine(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Option<Event> {
        let call = self.protocols.engines.report(instance);
        let purpose = CallPurpose::Report(instance.clone());
        let callee = Callee::Engine(instance.clone());
        self.start_call(now, reactor, (callee, address), &call, purpose)
    }

    /// Reports the usage of a window to the provider.
    pub(crate) fn report_usage(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        report: &UsageReport,
    ) -> Option<Event> {
        let call = self.protocols.provider.usage(report);
        self.call_provider(now, reactor, &call, ProviderPurpose::Usage(report.window))
    }

    /// Orders the number of servers in a pool from the provider.
    pub(crate) fn order_capacity(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &CapacityOrder,
    ) -> Option<Event> {
        let call = self.protocols.provider.capacity(order);
        let purpose = ProviderPurpose::Capacity(order.pool.clone(), order.count);
        self.call_provider(now, reactor, &call, purpose)
    }

    fn call_provider(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        call: &OutgoingCall,
        purpose: ProviderPurpose,
    ) -> Option<Event> {
        let provider = self.provider.as_mut()?;
        if !provider.rate.try_acquire(now) {
            return Some(provider_event(purpose, ProviderAnswer::Busy));
        }
        let callee = (Callee::Provider, provider.address);
        self.start_call(now, reactor, callee, call, CallPurpose::Provider(purpose))
    }

    /// Starts a call; returns its final event if no connection can be made.
    fn start_call(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        (callee, address): (Callee, SocketAddr),
        call: &OutgoingCall,
        purpose: CallPurpose,
    ) -> Option<Event> {
        let options = ConnectOptions {
            unacknowledged_limit: callee.timeout(),
        };
        let Some(connection) = reactor.connect(address, options) else {
            return Some(self.final_event(purpose, None));
        };
        reactor.send(connection, &encode(call, address));
        let pending = PendingCall {
            callee,
            purpose,
            started_at: now,
            reader: AnswerReader::new(MAX_ANSWER_BODY_BYTES),
        };
        self.pending.insert(connection, pending);
        None
    }

    /// Handles received bytes; returns the event of a call that they complete.
    pub(crate) fn on_received(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        let call = self.pending.get_mut(&connection)?;
        match call.reader.read(reactor.input(connection)?) {
            Ok(BodyStatus::Partial) => None,
            Ok(BodyStatus::Whole) => self.on_answered(reactor, connection),
            Err(_) => self.on_ended(reactor, connection),
        }
    }

    /// Handles the end of a callee's output, which may be the end of an answer without a length.
    /// Returns the event of the call.
    pub(crate) fn on_end_of_input(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        let call = self.pending.get(&connection)?;
        if call.reader.is_whole_at_close() {
            return self.on_answered(reactor, connection);
        }
        self.on_ended(reactor, connection)
    }

    /// Handles a complete answer; returns the event of its call.
    fn on_answered(&mut self, reactor: &mut Reactor, connection: ConnectionId) -> Option<Event> {
        reactor.close(connection);
        let call = self.pending.remove(&connection)?;
        let answer = call.reader.into_answer(false)?;
        Some(self.final_event(call.purpose, Some(&answer)))
    }

    /// Handles the end of a connection; returns the event of its pending call.
    pub(crate) fn on_ended(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        reactor.close(connection);
        let call = self.pending.remove(&connection)?;
        Some(self.final_event(call.purpose, None))
    }

    /// Cancels the calls that only a lease holder may make. Bytes of them that were not sent yet
    /// are dropped.
    pub(crate) fn cancel_lease_calls(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        self.cancel_where(reactor, |call| call.purpose.needs_lease())
    }

    /// Cancels calls that have timed out.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<Event> {
        self.cancel_where(reactor, |call| {
            now.since(call.started_at) >= call.callee.timeout()
        })
    }

    /// Cancels the calls that `is_affected` selects; returns their events.
    fn cancel_where(
        &mut self,
        reactor: &mut Reactor,
        is_affected: impl Fn(&PendingCall) -> bool,
    ) -> Vec<Event> {
        let affected: Vec<ConnectionId> = self
            .pending
            .iter()
            .filter(|(_, call)| is_affected(call))
            .map(|(connection, _)| *connection)
            .collect();
        affected
            .into_iter()
            .filter_map(|connection| self.on_ended(reactor, connection))
            .collect()
    }

    /// Returns the event that a call ends in. A call without an answer may still take effect, also
    /// later.
    fn final_event(&self, purpose: CallPurpose, answer: Option<&WholeAnswer>) -> Event {
        let engines = &self.protocols.engines;
        match purpose {
            CallPurpose::Load(instance) => Event::WeightOrderAnswered {
                instance,
                answer: answer.map_or(OrderAnswer::Unknown, |answer| {
                    engines.order_answer(&answer.head)
                }),
            },
            CallPurpose::Report(instance) => Event::EnginePolled {
                instance,
                report: answer.and_then(|answer| engines.report_answer(&answer.head, &answer.body)),
            },
            CallPurpose::Provider(purpose) => {
                let answer = answer.map_or(ProviderAnswer::Unknown, |answer| {
                    self.protocols.provider.answer(&answer.head)
                });
                provider_event(purpose, answer)
            }
        }
    }
}

/// Returns the event of an answer of the provider.
fn provider_event(purpose: ProviderPurpose, answer: ProviderAnswer) -> Event {
    match purpose {
        ProviderPurpose::Usage(window) => Event::UsageAnswered { window, answer },
        ProviderPurpose::Capacity(pool, count) => Event::CapacityAnswered {
            pool,
            count,
            answer,
        },
    }
}

fn encode(call: &OutgoingCall, address: SocketAddr) -> Vec<u8> {
    let mut writer = HeadWriter::request(call.method, &call.target)
        .header("Host", address)
        .header("Connection", "close");
    for (name, value) in &call.headers {
        writer = writer.header(name, value);
    }
    if call.method == "GET" {
        return writer.end();
    }
    writer.body(&call.body)
}
