//! Traits that translate the wire protocols of a deployment.
//!
//! The rest of this crate knows only the protocol between the site's own processes. An adapter
//! implements these traits, and the names of its protocol stay within it.

use crate::directory::GatewayAddress;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CapacityOrder, EngineStatus, InstanceId, OrderAnswer, ProviderAnswer, Reply, Request,
    UsageReport, WeightOrder,
};
use wingshore_net::http::{AnswerHead, HttpAnswer, WholeRequest};

/// Request that each coordinator answers from its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalRequest {
    /// Ask which gateways a client may use.
    Gateways {
        /// The client's zone.
        zone: String,
    },
    /// Start to retire the machine of a coordinator, so that it can be removed.
    Retire {
        /// Name of the machine.
        node: String,
    },
    /// Ask for the progress of that.
    RetireProgress {
        /// Name of the machine.
        node: String,
    },
}

/// Call of an operator, trainer, server or client.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Request for the leader of the group.
    Group(Request),
    /// Request for this coordinator.
    Local(LocalRequest),
    /// Unknown call, or one that cannot be parsed.
    Invalid {
        /// Answer to the caller.
        answer: HttpAnswer,
        /// What is wrong, for the log.
        reason: String,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAnswer {
    /// The group's answer.
    Reply(Reply),
    /// Gateways that a client may use.
    Gateways {
        /// Gateways in the order of preference.
        gateways: Vec<GatewayAddress>,
        /// How long the client may use them.
        ttl: Duration,
    },
    /// The caller must ask the leader.
    Redirect {
        /// Control address of the leader.
        leader: SocketAddr,
        /// Path and query of the call.
        target: String,
    },
    /// No coordinator can answer now; the call had no effect.
    Unavailable,
    /// The outcome is unknown: the call may or may not take effect.
    Unknown,
    /// The machine is being retired.
    Retiring,
    /// The machine can be removed.
    Retired,
    /// Too few coordinators would be left.
    TooFewLeft,
    /// There is no such machine.
    NoSuchMachine,
}

/// Translation of the control interface.
pub trait ControlProtocol {
    /// Parses a call.
    fn read(&self, request: &WholeRequest) -> ControlCall;
    /// Encodes an answer.
    fn write(&self, answer: &ControlAnswer) -> HttpAnswer;
}

/// HTTP call to an engine or to the provider.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers besides those that frame the body.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Translation of calls to engines.
pub trait EngineProtocol {
    /// Encodes an order to load weights.
    fn order(&self, order: &WeightOrder) -> OutgoingCall;
    /// Decodes the answer of an engine to an order.
    fn order_answer(&self, head: &AnswerHead) -> OrderAnswer;
    /// Encodes the request for the status of an engine.
    fn report(&self, instance: &InstanceId) -> OutgoingCall;
    /// Decodes the answer to that request.
    fn report_answer(&self, head: &AnswerHead, body: &[u8]) -> Option<EngineStatus>;
}

/// Translation of calls to the provider of the site's machines.
pub trait ProviderProtocol {
    /// Encodes a report of usage.
    fn usage(&self, report: &UsageReport) -> OutgoingCall;
    /// Encodes an order for servers.
    fn capacity(&self, order: &CapacityOrder) -> OutgoingCall;
    /// Decodes the answer of the provider to a call.
    fn answer(&self, head: &AnswerHead) -> ProviderAnswer;
}
