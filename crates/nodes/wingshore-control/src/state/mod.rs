//! The replicated part of the control group.

mod answers;
mod apply;
mod checks;
mod describe;
mod estimate;
mod execution;
mod footprint;
mod history;
mod plan_table;
mod planner;

use crate::command::{CommandReply, ControlCommand};
use crate::faults::Faults;
use answers::IntentAnswers;
use history::ChangeHistory;
use plan_table::PlanTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::configuration::{Configuration, ServiceKind};
use wingshore_types::ids::{
    LogIndex, PlanId, PoolId, Revision, ServerId, ServiceId, WeightVersion,
};
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::protocol::control::{ConfigurationUpdate, Plan};
use wingshore_types::snapshot;

pub use answers::ANSWERS_KEPT;
pub use estimate::ASSUMED_SWAP_MS;
pub use history::CHANGES_KEPT;
pub use plan_table::{CLOSED_PLANS_KEPT, OPEN_PLANS_LIMIT, OPEN_STEPS_LIMIT};
pub use planner::CHANGES_PER_INTENT;

/// Version of the snapshot format; the first byte of each snapshot.
const SNAPSHOT_FORMAT: u8 = 1;

/// Replicated state: the configuration, plans, first answers to intents and published versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: Configuration,
    history: ChangeHistory,
    plans: PlanTable,
    answers: IntentAnswers,
    /// The newest version published for each pool.
    published: BTreeMap<PoolId, WeightVersion>,
    /// Engines that a stopped plan did not move: they stay at their version until the target
    /// version of a pool of their service is set again.
    held: BTreeSet<ServerId>,
    /// Mean measured duration of a swap by service, in milliseconds.
    swap_times: BTreeMap<ServiceId, u64>,
    /// The newest revision that a leader has proved to be in force on every node.
    proven_in_force: Revision,
    #[serde(skip)]
    faults: Faults,
}

impl ControlState {
    /// Creates an empty state with injected faults, for tests.
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Sets the injected faults, for tests that restore a snapshot.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the committed configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the update that brings a watcher from revision `have` to the newest one.
    pub fn update_since(&self, have: Revision) -> ConfigurationUpdate {
        self.history.update(have, &self.configuration)
    }

    /// Returns a plan, unless it is unknown or has been evicted.
    pub fn plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(id).map(|record| &record.plan)
    }

    /// Returns all plans that are kept, in the order of their ids.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.all()
    }

    /// Returns the plans that are proposed or running.
    pub fn open_plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.open().map(|record| &record.plan)
    }

    /// Returns the plans that are running.
    pub fn running_plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.running().map(|record| &record.plan)
    }

    /// Returns the revision of the newest change that a plan has committed, or of its proposal if
    /// it has committed none; revision 0 for an unknown plan.
    pub fn changed_at(&self, id: PlanId) -> Revision {
        self.plans
            .get(id)
            .map(|record| record.changed_at)
            .unwrap_or_default()
    }

    /// Returns the newest version published for a pool.
    pub fn published(&self, pool: &PoolId) -> Option<WeightVersion> {
        self.published.get(pool).copied()
    }

    /// Returns whether a stopped plan left this engine at its version.
    pub fn is_held(&self, server: &ServerId) -> bool {
        self.held.contains(server)
    }

    /// Returns the mean measured duration of a service's swaps, in milliseconds.
    pub fn swap_time(&self, service: &ServiceId) -> Option<u64> {
        self.swap_times.get(service).copied()
    }

    /// Returns the newest revision that a leader has proved to be in force on every node.
    pub fn proven_in_force(&self) -> Revision {
        self.proven_in_force
    }

    /// Returns the version that a service's engines should serve and the store that has it: the
    /// highest target version among the service's pools, since an engine serves one version at a
    /// time.
    pub fn wanted_weights(
        &self,
        service: &ServiceId,
    ) -> Option<(WeightVersion, std::net::SocketAddr)> {
        self.configuration
            .pools
            .values()
            .filter(|pool| &pool.service == service)
            .map(|pool| (pool.target_version, pool.weight_store))
            .max_by_key(|(version, _)| *version)
    }
}

/// Returns whether the servers of a service are engines; false if the service does not exist.
pub(crate) fn is_engine_service(configuration: &Configuration, id: &ServiceId) -> bool {
    configuration
        .services
        .get(id)
        .is_some_and(|service| matches!(service.kind, ServiceKind::Engines { .. }))
}

impl ReplicatedState for ControlState {
    type Command = ControlCommand;
    type Reply = CommandReply;

    fn apply(&mut self, _index: LogIndex, command: ControlCommand) -> CommandReply {
        self.apply_command(command)
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(SNAPSHOT_FORMAT, self)
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        snapshot::decode("control", SNAPSHOT_FORMAT, bytes)
    }
}
