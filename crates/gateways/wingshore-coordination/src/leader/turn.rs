//! The context of one step of the leader machine: time of the input, replicated state, outputs.

use super::decision_log::Decision;
use super::interface::Effect;
use crate::ids::{AssignmentId, GatewayId};
use crate::messages::{CoordinatorMessage, Reply};
use crate::state::{Command, CoordinationState};
use wingshore_types::Instant;
use wingshore_types::machine::{LeaderOutput, RequestTag};

/// Outputs of the leader machine.
pub(crate) type Outputs = Vec<LeaderOutput<Command, Reply, Effect>>;

/// Context in which the leader handles one input.
pub(crate) struct Turn<'a> {
    /// Time of the input.
    pub(crate) now: Instant,
    /// The replicated state with all entries applied so far.
    pub(crate) state: &'a CoordinationState,
    /// Collected outputs, in the order in which they take effect.
    pub(crate) out: &'a mut Outputs,
}

impl Turn<'_> {
    /// Emits an effect outside the group.
    pub(crate) fn effect(&mut self, effect: Effect) {
        self.out.push(LeaderOutput::Effect(effect));
    }

    /// Logs a decision.
    pub(crate) fn log(&mut self, decision: Decision) {
        self.effect(Effect::Log(decision));
    }

    /// Replies to a request.
    pub(crate) fn reply(&mut self, tag: RequestTag, reply: Reply) {
        self.out.push(LeaderOutput::Reply { tag, reply });
    }

    /// Sends a message to a gateway.
    pub(crate) fn send(&mut self, gateway: GatewayId, message: CoordinatorMessage) {
        self.effect(Effect::ToGateway(gateway, message));
    }

    /// Tells a gateway to drop an attempt, with its result if it has ended.
    pub(crate) fn release_attempt(&mut self, gateway: GatewayId, assignment: AssignmentId) {
        self.send(gateway, CoordinatorMessage::Release { assignment });
    }

    /// Tells a gateway to drop a scoring, with its result if it has ended.
    pub(crate) fn release_scoring(&mut self, gateway: GatewayId, scoring: AssignmentId) {
        self.send(gateway, CoordinatorMessage::ReleaseScoring { scoring });
    }
}
