//! Calls to the provider of the site's machines: reports of usage, orders for servers.
//!
//! Only the holder of orders calls, so that what it sends is what the whole site sends: it keeps
//! within the rate that the provider takes from all together.

use crate::outgoing_calls::{EndedCall, OutgoingCalls};
use crate::protocol::{OutgoingCall, ProviderProtocol};
use crate::settings::ProviderSettings;
use std::time::Duration;
use wingshore_coordination::{
    CapacityOrder, CapacityPool, Event, ProviderAnswer, UsageReport, UsageWindow,
};
use wingshore_net::{ConnectionId, Reactor};
use wingshore_types::Instant;

/// A call without an answer is over after this time: a slow provider takes some tens of times its
/// usual milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the rate that the provider takes: a holder before may have used some of it.
const OWN_RATE_PART: f64 = 0.5;
/// Calls that may go out at once after a pause, as time at that rate.
const BURST: Duration = Duration::from_millis(500);

/// What was asked.
#[derive(Clone, PartialEq, Eq)]
enum Question {
    Usage(UsageWindow),
    Capacity(CapacityPool, u32),
}

/// All calls to the provider under way.
pub(crate) struct ProviderCalls {
    protocol: Box<dyn ProviderProtocol>,
    settings: ProviderSettings,
    calls: OutgoingCalls<(), Question>,
    /// When the calls made so far have used up the rate.
    paid_until: Instant,
}

impl ProviderCalls {
    /// No calls yet.
    pub(crate) fn new(protocol: Box<dyn ProviderProtocol>, settings: ProviderSettings) -> Self {
        Self {
            protocol,
            settings,
            calls: OutgoingCalls::new(CALL_TIMEOUT),
            paid_until: Instant::ZERO,
        }
    }

    /// Whether a connection is one of these.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.calls.owns(connection)
    }

    /// Reports the usage of a window.
    pub(crate) fn report_usage(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        report: &UsageReport,
    ) -> Option<Event> {
        let call = self.protocol.usage(report);
        self.begin(now, reactor, &call, Question::Usage(report.window))
    }

    /// Orders the number of servers in a pool.
    pub(crate) fn order_capacity(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        order: &CapacityOrder,
    ) -> Option<Event> {
        let call = self.protocol.capacity(order);
        let question = Question::Capacity(order.pool.clone(), order.count);
        self.begin(now, reactor, &call, question)
    }

    fn begin(
        &mut self,
        now: Instant,
        reactor: &mut Reactor,
        call: &OutgoingCall,
        question: Question,
    ) -> Option<Event> {
        if !self.may_call(now) {
            return Some(event(question, ProviderAnswer::Busy));
        }
        let provider = (&(), self.settings.address);
        let ended = self.calls.begin(now, reactor, provider, call, question);
        ended.map(|ended| self.event(ended))
    }

    /// Whether one more call keeps within the rate; counts it if so.
    fn may_call(&mut self, now: Instant) -> bool {
        let rate = (self.settings.calls_per_second * OWN_RATE_PART).max(f64::MIN_POSITIVE);
        let price = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        if self.paid_until > now + BURST {
            return false;
        }
        self.paid_until = self.paid_until.max(now) + price;
        true
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

    /// Gives up all calls without an answer; what has not left of them does not leave.
    pub(crate) fn drop_all(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        let ended = self.calls.give_up(reactor, |_| true);
        ended.into_iter().map(|ended| self.event(ended)).collect()
    }

    /// Gives up calls without an answer and closes idle connections.
    pub(crate) fn expire(&mut self, now: Instant, reactor: &mut Reactor) -> Vec<Event> {
        let ended = self.calls.expire(now, reactor);
        ended.into_iter().map(|ended| self.event(ended)).collect()
    }

    fn event(&self, ended: EndedCall<(), Question>) -> Event {
        let answer = ended.answer.map_or(ProviderAnswer::Unknown, |answer| {
            self.protocol.answer(&answer.head)
        });
        event(ended.question, answer)
    }
}

fn event(question: Question, answer: ProviderAnswer) -> Event {
    match question {
        Question::Usage(window) => Event::UsageAnswered { window, answer },
        Question::Capacity(pool, count) => Event::CapacityAnswered {
            pool,
            count,
            answer,
        },
    }
}
