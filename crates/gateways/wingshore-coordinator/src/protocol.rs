//! What a deployment's wire must translate.
//!
//! The rest of this crate knows no wire but that of the site's own processes: an adapter implements
//! these traits, and its names do not go further.

use crate::directory::GatewayAddress;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CapacityOrder, EngineStatus, InstanceId, OrderAnswer, ProviderAnswer, Reply, Request,
    UsageReport, WeightOrder,
};
use wingshore_net::http::{AnswerHead, HttpAnswer, WholeRequest};

/// A question that each coordinator answers from what it knows itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalRequest {
    /// Which gateways a client in this place may use.
    Gateways {
        /// The client's zone.
        zone: String,
    },
    /// Begin to empty a coordinator's machine, so that it can be removed.
    Retire {
        /// The machine.
        node: String,
    },
    /// How far that is.
    RetireProgress {
        /// The machine.
        node: String,
    },
}

/// A call of an operator, trainer, server or client.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// For the group's leader.
    Group(Request),
    /// For this coordinator.
    Local(LocalRequest),
    /// No call, or one that cannot be read.
    Invalid {
        /// What to answer.
        answer: HttpAnswer,
        /// What is wrong, for the log.
        reason: String,
    },
}

/// What to answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAnswer {
    /// The group's answer.
    Reply(Reply),
    /// Gateways for a client.
    Gateways {
        /// They, in the order of preference.
        gateways: Vec<GatewayAddress>,
        /// How long the client may use them.
        ttl: Duration,
    },
    /// The leader is there: ask it.
    Redirect {
        /// Its control address.
        leader: SocketAddr,
        /// The path and query that were asked for.
        target: String,
    },
    /// Nobody can answer now; the call had no effect.
    Unavailable,
    /// The call may or may not take effect.
    Unknown,
    /// The machine is being emptied.
    Retiring,
    /// The machine can be taken away.
    Retired,
    /// Too few machines would be left.
    TooFewLeft,
    /// There is no such machine.
    NoSuchMachine,
}

/// Translates the control interface.
pub trait ControlProtocol {
    /// Reads a call.
    fn read(&self, request: &WholeRequest) -> ControlCall;
    /// Writes the answer.
    fn write(&self, answer: &ControlAnswer) -> HttpAnswer;
}

/// A call to an engine or to the provider.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingCall {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header lines besides those that frame the body.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Translates calls to engines.
pub trait EngineProtocol {
    /// An order.
    fn order(&self, order: &WeightOrder) -> OutgoingCall;
    /// What an engine answered to an order.
    fn order_answer(&self, head: &AnswerHead) -> OrderAnswer;
    /// The question for the status of an engine.
    fn report(&self, instance: &InstanceId) -> OutgoingCall;
    /// What an engine answered to it.
    fn report_answer(&self, head: &AnswerHead, body: &[u8]) -> Option<EngineStatus>;
}

/// Translates calls to the provider of the site's machines.
pub trait ProviderProtocol {
    /// A report of usage.
    fn usage(&self, report: &UsageReport) -> OutgoingCall;
    /// An order for servers.
    fn capacity(&self, order: &CapacityOrder) -> OutgoingCall;
    /// What the provider answered to a call.
    fn answer(&self, head: &AnswerHead) -> ProviderAnswer;
}
