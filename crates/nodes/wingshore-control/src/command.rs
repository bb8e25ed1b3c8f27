//! Commands of the control group's log.

use serde::{Deserialize, Serialize};
use wingshore_types::ids::{IntentId, PlanId, PoolId, Revision, ServiceId, WeightVersion};
use wingshore_types::protocol::control::{ControlReply, Intent};

/// A change of the control group's state, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Make a plan.
    Propose {
        /// Drawn by the client; a resend carries the same and gets the first answer.
        intent_id: IntentId,
        /// The revision the operator saw; `None` takes the newest.
        base_revision: Option<Revision>,
        /// What is wanted.
        intent: Intent,
    },
    /// Begin to carry a plan out.
    Confirm {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which plan.
        plan: PlanId,
    },
    /// Withdraw a plan, or stop it where it is.
    Cancel {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which plan.
        plan: PlanId,
    },
    /// A trainer has published a version.
    Publish {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which pool.
        pool: PoolId,
        /// The version.
        version: WeightVersion,
    },
    /// The leader has carried out steps of a running plan.
    AdvancePlan {
        /// Which plan.
        plan: PlanId,
        /// The first of the steps; ignored unless it is the plan's next one.
        step: u32,
        /// What came of it.
        result: StepResult,
    },
    /// The leader has measured how long engines of a service take for a swap.
    RecordSwapTime {
        /// Which service.
        service: ServiceId,
        /// From order to report, in milliseconds.
        milliseconds: u64,
    },
}

/// What came of a step of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepResult {
    /// This many consecutive steps are done.
    Done {
        /// How many, at least one.
        steps: u32,
    },
    /// An `AwaitInForce` step is done: this revision was in force everywhere.
    InForce(Revision),
    /// The step cannot be done; the plan stops there.
    Failed {
        /// Why.
        reason: String,
    },
}

/// What a command answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// The answer to a client's request.
    Answer(Box<ControlReply>),
    /// A command of the leader's own was taken in, or had become pointless.
    Recorded,
}
