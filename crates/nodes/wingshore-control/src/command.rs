//! Commands of the control group's log.

use serde::{Deserialize, Serialize};
use wingshore_types::ids::{IntentId, PlanId, PoolId, Revision, ServiceId, WeightVersion};
use wingshore_types::protocol::control::{ControlReply, Intent};

/// A change of the control group's state, stored as a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Creates a plan for an intent.
    Propose {
        /// Chosen by the client; a retry carries the same id and gets the first answer.
        intent_id: IntentId,
        /// The revision that the operator saw; `None` means the newest.
        base_revision: Option<Revision>,
        /// The change that the client requests.
        intent: Intent,
    },
    /// Starts the execution of a proposed plan.
    Confirm {
        /// Chosen by the client; see [`ControlCommand::Propose`].
        intent_id: IntentId,
        /// Id of the plan.
        plan: PlanId,
    },
    /// Withdraws a proposed plan, or stops a running plan at its current step.
    Cancel {
        /// Chosen by the client; see [`ControlCommand::Propose`].
        intent_id: IntentId,
        /// Id of the plan.
        plan: PlanId,
    },
    /// Records that a trainer has published a weight version.
    Publish {
        /// Chosen by the client; see [`ControlCommand::Propose`].
        intent_id: IntentId,
        /// Pool that the version belongs to.
        pool: PoolId,
        /// Published version.
        version: WeightVersion,
    },
    /// Records the result of one or more steps of a running plan, proposed by the leader.
    AdvancePlan {
        /// Id of the plan.
        plan: PlanId,
        /// Index of the first of the steps; the command is ignored unless it is the plan's next
        /// one.
        step: u32,
        /// Result of the steps.
        result: StepResult,
    },
    /// Records the leader's mean of how long a weight swap of a service's engines takes.
    RecordSwapTime {
        /// Service whose engines were measured.
        service: ServiceId,
        /// Time from the order to the report that shows the new version, in milliseconds.
        milliseconds: u64,
    },
}

/// Result of one or more steps of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepResult {
    /// Consecutive steps are done.
    Done {
        /// Number of steps, at least one.
        steps: u32,
    },
    /// An `AwaitInForce` step is done: this revision is in force on every node.
    InForce(Revision),
    /// The step cannot be done; the plan stops at it.
    Failed {
        /// Reason for the failure, shown to operators.
        reason: String,
    },
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// The answer to a client's request.
    Answer(Box<ControlReply>),
    /// A command proposed by the leader itself was applied, or ignored because it was outdated.
    Recorded,
}
