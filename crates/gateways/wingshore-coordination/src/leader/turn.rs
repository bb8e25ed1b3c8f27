//! One turn of the leader machine: the input's time, the replicated state, and where outputs go.

use super::decision_log::Decision;
use super::interface::Effect;
use crate::ids::{AssignmentId, GatewayId};
use crate::messages::{CoordinatorMessage, Reply};
use crate::state::{Command, CoordinationState};
use wingshore_types::Instant;
use wingshore_types::machine::{LeaderOutput, RequestTag};

/// Outputs of the leader machine.
pub(crate) type Outputs = Vec<LeaderOutput<Command, Reply, Effect>>;

/// One input is being handled.
pub(crate) struct Turn<'a> {
    /// When the input came.
    pub(crate) now: Instant,
    /// The replicated state, as applied so far.
    pub(crate) state: &'a CoordinationState,
    /// What is to be done, in order.
    pub(crate) out: &'a mut Outputs,
}

impl Turn<'_> {
    /// Has something done outside the group.
    pub(crate) fn effect(&mut self, effect: Effect) {
        self.out.push(LeaderOutput::Effect(effect));
    }

    /// Logs a decision.
    pub(crate) fn log(&mut self, decision: Decision) {
        self.effect(Effect::Log(decision));
    }

    /// Answers a request.
    pub(crate) fn reply(&mut self, tag: RequestTag, reply: Reply) {
        self.out.push(LeaderOutput::Reply { tag, reply });
    }

    /// Sends a message to a gateway.
    pub(crate) fn send(&mut self, gateway: GatewayId, message: CoordinatorMessage) {
        self.effect(Effect::ToGateway(gateway, message));
    }

    /// Tells a gateway that an attempt is of no more use.
    pub(crate) fn release_attempt(&mut self, gateway: GatewayId, assignment: AssignmentId) {
        self.send(gateway, CoordinatorMessage::Release { assignment });
    }

    /// Tells a gateway that a scoring is of no more use.
    pub(crate) fn release_scoring(&mut self, gateway: GatewayId, scoring: AssignmentId) {
        self.send(gateway, CoordinatorMessage::ReleaseScoring { scoring });
    }
}
