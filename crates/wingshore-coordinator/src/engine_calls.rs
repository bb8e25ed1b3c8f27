//! Calls to engines: orders, and questions how they stand.

use crate::outgoing_calls::{EndedCall, OutgoingCalls};
use crate::protocol::EngineProtocol;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{Event, InstanceId, OrderAnswer, WeightOrder};
use wingshore_net::{ConnectionId, Reactor};
use wingshore_types::Instant;

/// A call without an answer is over after this time: engines answer at once, whatever they do.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);

/// What was asked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Question {
    Order,
    Report,
}

/// All calls to engines under way.
pub(crate) struct EngineCalls {
    protocol: Box<dyn EngineProtocol>,
    calls: OutgoingCalls<InstanceId, Question>,
}

impl EngineCalls {
    /// No calls yet.
    pub(crate) fn new(protocol: Box<dyn EngineProtocol>) -> Self {
        Self {
            protocol,
            calls: OutgoingCalls::new(CALL_TIMEOUT),
        }
    }

    /// Whether a connection is one of these.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.calls.owns(connection)
    }

    /// Gives an order.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &WeightOrder,
    ) -> Option<Event> {
        let call = self.protocol.order(order);
        let engine = (&order.instance, order.address);
        let ended = self
            .calls
            .begin(now, reactor, engine, &call, Question::Order);
        ended.map(|ended| self.event(ended))
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
        let engine = (instance, address);
        let ended = self
            .calls
            .begin(now, reactor, engine, &call, Question::Report);
        ended.map(|ended| self.event(ended))
    }

    /// Bytes have arrived.
    pub(crate) fn on_received(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        let ended = self.calls.on_received(now, reactor, connection);
        ended.map(|ended| self.event(ended))
    }

    /// The connection has ended.
    pub(crate) fn on_ended(
        &mut self,
        reactor: &mut Reactor,
        connection: ConnectionId,
    ) -> Option<Event> {
        let ended = self.calls.on_ended(reactor, connection);
        ended.map(|ended| self.event(ended))
    }

    /// Gives up all orders without an answer; what has not left of them does not leave.
    pub(crate) fn drop_orders(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        let is_order = |question: &Question| *question == Question::Order;
        let ended = self.calls.give_up(reactor, is_order);
        ended.into_iter().map(|ended| self.event(ended)).collect()
    }

    /// Gives up calls without an answer and closes idle connections.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<Event> {
        let ended = self.calls.expire(now, reactor);
        ended.into_iter().map(|ended| self.event(ended)).collect()
    }

    fn event(&self, ended: EndedCall<InstanceId, Question>) -> Event {
        let EndedCall {
            target: instance,
            question,
            answer,
        } = ended;
        match question {
            Question::Order => Event::Ordered {
                instance,
                answer: answer.map_or(OrderAnswer::Unknown, |answer| {
                    self.protocol.order_answer(&answer.head)
                }),
            },
            Question::Report => Event::Reported {
                instance,
                report: answer
                    .and_then(|answer| self.protocol.report_answer(&answer.head, &answer.body)),
            },
        }
    }
}
