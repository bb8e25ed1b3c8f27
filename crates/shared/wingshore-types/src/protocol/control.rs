//! Requests to the control group.

use crate::configuration::{Configuration, ConfigurationChange};
use crate::ids::{
    Epoch, IntentId, NodeId, PlanId, PoolId, ReplicaId, Revision, ServerId, WeightVersion,
};
use serde::{Deserialize, Serialize};

/// What an operator wants. It gives a plan; nothing happens until the plan is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Change the configuration.
    Apply(Vec<ConfigurationChange>),
    /// Move all engines of a pool to a version.
    MovePool {
        /// Which pool.
        pool: PoolId,
        /// The version to serve.
        version: WeightVersion,
    },
    /// Give a server no new work and wait until it is idle.
    Drain(ServerId),
    /// Open a drained server again.
    Restore(ServerId),
}

/// One move of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// Commit a change of configuration.
    Change(ConfigurationChange),
    /// Order an engine to take a version and wait for its own report.
    Swap {
        /// Which engine.
        server: ServerId,
        /// The version.
        version: WeightVersion,
    },
    /// Wait until the configuration so far is in force on every node.
    AwaitInForce,
    /// Wait until a server reports nothing in flight.
    AwaitIdle(ServerId),
}

/// What carrying out a plan costs, as far as known when it was made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanCost {
    /// Servers that take no new work at some time.
    pub servers_affected: u32,
    /// Maximal number of servers away at once.
    pub servers_away_at_once: u32,
    /// Slots away at once, of all slots of the service.
    pub slots_away_at_once: u32,
    /// All slots of the services concerned.
    pub slots_total: u32,
    /// Estimated time to carry it out, in milliseconds.
    pub duration_ms: u64,
    /// Estimated trainer idle time it causes, in milliseconds.
    pub trainer_idle_ms: u64,
    /// Versions by which engines lag until it is done, at most.
    pub staleness_versions: u64,
}

/// Status of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// Waiting for the operator.
    Proposed,
    /// Being carried out; steps below `next_step` are done.
    Running {
        /// The step to do next.
        next_step: u32,
    },
    /// All steps are done.
    Done,
    /// What it was based on has changed; it can no longer be confirmed.
    Stale {
        /// What changed.
        reason: String,
    },
    /// Stopped at a step.
    Failed {
        /// The step that failed.
        step: u32,
        /// Why.
        reason: String,
    },
    /// Withdrawn by an operator.
    Cancelled,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Its number.
    pub id: PlanId,
    /// The intent that led to it.
    pub intent_id: IntentId,
    /// What the operator intends.
    pub intent: Intent,
    /// The revision it was made against.
    pub base_revision: Revision,
    /// The moves, in order.
    pub steps: Vec<PlanStep>,
    /// What they cost.
    pub cost: PlanCost,
    /// Its status.
    pub state: PlanState,
}

/// A node's report of the configuration that it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAcknowledgement {
    /// Which node.
    pub node: NodeId,
    /// Drawn at each start of its process.
    pub boot_id: u64,
    /// The revision in force there.
    pub in_force: Revision,
}

/// A long poll for configuration; also an acknowledgement and the renewal of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The revision the watcher holds; the answer comes at once when there is a later one.
    pub have: Revision,
    /// The watcher's own acknowledgement, or those a relay has gathered.
    pub acknowledgements: Vec<NodeAcknowledgement>,
    /// Answer by then even without news, in milliseconds.
    pub wait_ms: u64,
}

/// What has changed since the revision a watcher holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// Nothing.
    Unchanged,
    /// Changes in commit order, the first one being revision `from + 1`.
    Delta {
        /// The revision they build on.
        from: Revision,
        /// The changes.
        changes: Vec<ConfigurationChange>,
    },
    /// The whole, where the changes are no longer kept.
    Snapshot(Box<Configuration>),
}

/// How far a revision has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The newest committed revision.
    pub committed: Revision,
    /// The newest revision in force everywhere: every node has acknowledged it or holds no lease.
    pub everywhere: Revision,
    /// Nodes that hold a lease and have not acknowledged `committed`.
    pub waiting_for: Vec<NodeId>,
}

/// One engine as the control group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Which engine.
    pub server: ServerId,
    /// The version by its own newest report; `None` is unknown.
    pub version: Option<WeightVersion>,
    /// The version it was last ordered to take.
    pub ordered: Option<WeightVersion>,
    /// Failed swaps in a row.
    pub failures: u32,
}

/// The whole site at a glance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The answering leader.
    pub leader: ReplicaId,
    /// Its leadership.
    pub epoch: Epoch,
    /// How far the configuration has come.
    pub in_force: InForce,
    /// Nodes that hold a lease, with what they have in force.
    pub nodes: Vec<NodeAcknowledgement>,
    /// Engines.
    pub engines: Vec<EngineStatus>,
    /// Plans that are proposed or running.
    pub open_plans: Vec<Plan>,
}

/// A request to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Configuration, acknowledgement and lease in one.
    Watch(WatchRequest),
    /// Make a plan.
    Propose {
        /// Drawn by the client; a resend carries the same and gets the first answer.
        intent_id: IntentId,
        /// The revision the operator saw; `None` takes the newest.
        base_revision: Option<Revision>,
        /// What the operator intends.
        intent: Intent,
    },
    /// Carry a plan out.
    Confirm {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which plan.
        plan: PlanId,
    },
    /// Withdraw a plan that is proposed, or stop a running one where it is.
    Cancel {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which plan.
        plan: PlanId,
    },
    /// One plan.
    ShowPlan(PlanId),
    /// Open plans and the newest closed ones.
    ListPlans,
    /// The site at a glance.
    Status,
    /// The configuration.
    ReadConfiguration,
    /// A trainer has published a version.
    Publish {
        /// Drawn by the client, as above.
        intent_id: IntentId,
        /// Which pool.
        pool: PoolId,
        /// The version.
        version: WeightVersion,
    },
}

/// Why the control group refuses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRefusal {
    /// The base is no longer what the operator saw: someone else was first.
    Conflict {
        /// The newest revision.
        current: Revision,
        /// What changed in between.
        message: String,
    },
    /// The request is invalid; names what, where and what is allowed.
    Invalid {
        /// What is wrong.
        message: String,
    },
    /// No such plan.
    UnknownPlan(PlanId),
    /// The plan is not in a state that allows it.
    WrongState {
        /// Its status.
        state: PlanState,
    },
}

/// The control group's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// To a watch.
    Update {
        /// News.
        update: ConfigurationUpdate,
        /// The lease, counted from when the watcher sent its request, in milliseconds.
        lease_ms: u64,
    },
    /// A plan, as of now.
    Plan(Box<Plan>),
    /// Plans.
    Plans(Vec<Plan>),
    /// The site.
    Status(Box<Status>),
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The publication is committed at this revision.
    Published(Revision),
    /// Refused; nothing was changed.
    Refused(ControlRefusal),
}
