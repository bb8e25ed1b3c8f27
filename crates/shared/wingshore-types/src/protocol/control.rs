//! Requests to the control group.

use crate::configuration::{Configuration, ConfigurationChange};
use crate::ids::{
    Epoch, IntentId, NodeId, PlanId, PoolId, ReplicaId, Revision, ServerId, WeightVersion,
};
use serde::{Deserialize, Serialize};

/// An operator's intent. It results in a plan, which takes no effect until it is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Changes the configuration.
    Apply(Vec<ConfigurationChange>),
    /// Moves all engines of a pool to a version.
    MovePool {
        /// The pool.
        pool: PoolId,
        /// The target version.
        version: WeightVersion,
    },
    /// Stops sending new work to a server and waits until it is idle.
    Drain(ServerId),
    /// Readmits a drained server.
    Restore(ServerId),
}

/// A step of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// Commits a change of the configuration.
    Change(ConfigurationChange),
    /// Orders an engine to load a version and waits until the engine reports it.
    Swap {
        /// The engine.
        server: ServerId,
        /// The version.
        version: WeightVersion,
    },
    /// Waits until all configuration changes so far are in force on every node.
    AwaitInForce,
    /// Waits until a server reports no requests in flight.
    AwaitIdle(ServerId),
}

/// The estimated cost of executing a plan, as of its creation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanCost {
    /// Number of servers that accept no new work at some time during the plan.
    pub servers_affected: u32,
    /// Maximum number of servers that are unavailable at the same time.
    pub servers_away_at_once: u32,
    /// Number of slots that are unavailable at the same time, among all slots of the service.
    pub slots_away_at_once: u32,
    /// Total number of slots of the affected services.
    pub slots_total: u32,
    /// Estimated duration of the execution, in milliseconds.
    pub duration_ms: u64,
    /// Estimated trainer idle time caused by the plan, in milliseconds.
    pub trainer_idle_ms: u64,
    /// Maximum number of versions by which engines lag behind until the plan is done.
    pub staleness_versions: u64,
}

/// The state of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// The plan awaits confirmation by an operator.
    Proposed,
    /// The plan is being executed; steps before `next_step` are done.
    Running {
        /// The index of the next step.
        next_step: u32,
    },
    /// All steps are done.
    Done,
    /// The state that the plan was based on has changed; the plan can no longer be confirmed.
    Stale {
        /// The change that made the plan stale.
        reason: String,
    },
    /// The execution stopped at a step that failed.
    Failed {
        /// The index of the failed step.
        step: u32,
        /// The reason of the failure.
        reason: String,
    },
    /// The plan was withdrawn by an operator.
    Cancelled,
}

/// A plan: the steps that carry out an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The number of the plan.
    pub id: PlanId,
    /// The id of the intent that the plan was made for.
    pub intent_id: IntentId,
    /// The operator's intent.
    pub intent: Intent,
    /// The revision that the plan is based on.
    pub base_revision: Revision,
    /// The steps, in order.
    pub steps: Vec<PlanStep>,
    /// The estimated cost of the steps.
    pub cost: PlanCost,
    /// The state of the plan.
    pub state: PlanState,
}

/// A node's report of the configuration revision that is in force there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAcknowledgement {
    /// The node.
    pub node: NodeId,
    /// Random id drawn at each start of the node process.
    pub boot_id: u64,
    /// The revision in force on the node.
    pub in_force: Revision,
}

/// A long poll for configuration changes, which also acknowledges the current revision and renews
/// the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The revision that the watcher holds. The reply is immediate if there is a later one.
    pub have: Revision,
    /// The watcher's own acknowledgement, or those that a relay has collected.
    pub acknowledgements: Vec<NodeAcknowledgement>,
    /// Maximum time until a reply without changes, in milliseconds.
    pub wait_ms: u64,
}

/// The changes since the revision that a watcher holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// No changes.
    Unchanged,
    /// The changes in commit order; the first one makes revision `from + 1`.
    Delta {
        /// The revision that the changes build on.
        from: Revision,
        /// The changes.
        changes: Vec<ConfigurationChange>,
    },
    /// The complete configuration, if the changes are no longer stored.
    Snapshot(Box<Configuration>),
}

/// The rollout progress of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The newest committed revision.
    pub committed: Revision,
    /// The newest revision in force on all nodes: each has acknowledged it or holds no lease.
    pub everywhere: Revision,
    /// Nodes that hold a lease and have not yet acknowledged `committed`.
    pub waiting_for: Vec<NodeId>,
}

/// The state of an engine as known to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub server: ServerId,
    /// The version in the engine's latest report; `None` if unknown.
    pub version: Option<WeightVersion>,
    /// The version that the engine was last ordered to load.
    pub ordered: Option<WeightVersion>,
    /// Number of consecutive failed swaps.
    pub failures: u32,
}

/// An overview of the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The leader that answers.
    pub leader: ReplicaId,
    /// The epoch of the leader.
    pub epoch: Epoch,
    /// The rollout progress of the configuration.
    pub in_force: InForce,
    /// Nodes that hold a lease, with the revisions in force there.
    pub nodes: Vec<NodeAcknowledgement>,
    /// The engines.
    pub engines: Vec<EngineStatus>,
    /// Plans that are proposed or running.
    pub open_plans: Vec<Plan>,
}

/// A request to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Polls for configuration changes, acknowledges a revision and renews the lease.
    Watch(WatchRequest),
    /// Creates a plan.
    Propose {
        /// Random id drawn by the client; a retry with the same id gets the first answer again.
        intent_id: IntentId,
        /// The revision that the operator saw; `None` stands for the newest one.
        base_revision: Option<Revision>,
        /// The operator's intent.
        intent: Intent,
    },
    /// Starts the execution of a plan.
    Confirm {
        /// Random id drawn by the client, as in [`ControlRequest::Propose`].
        intent_id: IntentId,
        /// The plan.
        plan: PlanId,
    },
    /// Withdraws a proposed plan, or stops a running one at its current step.
    Cancel {
        /// Random id drawn by the client, as in [`ControlRequest::Propose`].
        intent_id: IntentId,
        /// The plan.
        plan: PlanId,
    },
    /// Returns a plan.
    ShowPlan(PlanId),
    /// Returns the open plans and the newest closed ones.
    ListPlans,
    /// Returns an overview of the site.
    Status,
    /// Returns the configuration.
    ReadConfiguration,
    /// Records that a trainer published a version.
    Publish {
        /// Random id drawn by the client, as in [`ControlRequest::Propose`].
        intent_id: IntentId,
        /// The pool.
        pool: PoolId,
        /// The version.
        version: WeightVersion,
    },
}

/// The reason why the control group refuses a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRefusal {
    /// The configuration has changed since the revision that the operator saw.
    Conflict {
        /// The newest revision.
        current: Revision,
        /// The changes since then.
        message: String,
    },
    /// The request is invalid.
    Invalid {
        /// The invalid name or value, its location and the accepted values.
        message: String,
    },
    /// The plan does not exist.
    UnknownPlan(PlanId),
    /// The state of the plan does not allow the request.
    WrongState {
        /// The state of the plan.
        state: PlanState,
    },
}

/// A reply of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The reply to a watch.
    Update {
        /// The configuration changes.
        update: ConfigurationUpdate,
        /// Duration of the lease from the time the watcher sent its request, in milliseconds.
        lease_ms: u64,
    },
    /// The current state of a plan.
    Plan(Box<Plan>),
    /// The requested plans.
    Plans(Vec<Plan>),
    /// An overview of the site.
    Status(Box<Status>),
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The publication is committed at this revision.
    Published(Revision),
    /// The request was refused and had no effect.
    Refused(ControlRefusal),
}
