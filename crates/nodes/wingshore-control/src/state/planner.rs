//! Translation of an intent to the steps, cost and footprint of a plan.

use super::checks;
use super::estimate;
use super::footprint::{Access, Footprint, Resource};
use std::collections::BTreeMap;
use wingshore_types::configuration::{Admission, Configuration, ConfigurationChange, Pool, Server};
use wingshore_types::ids::{PoolId, ServerId, ServiceId, WeightVersion};
use wingshore_types::protocol::control::{Intent, PlanCost, PlanStep};

/// Most changes in one `Apply` intent.
pub const CHANGES_PER_INTENT: usize = 50_000;

/// Inputs from which plans are made.
pub(crate) struct Planner<'a> {
    /// Committed configuration.
    pub(crate) configuration: &'a Configuration,
    /// The newest version published for each pool.
    pub(crate) published: &'a BTreeMap<PoolId, WeightVersion>,
    /// Mean measured duration of a swap by service, in milliseconds.
    pub(crate) swap_times: &'a BTreeMap<ServiceId, u64>,
}

/// A plan without id and state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlanDraft {
    /// Steps in order of execution.
    pub(crate) steps: Vec<PlanStep>,
    /// Estimated cost of the steps.
    pub(crate) cost: PlanCost,
    /// Resources that the plan reads or changes.
    pub(crate) footprint: Footprint,
}

impl Planner<'_> {
    /// Makes the draft of a plan for an intent.
    ///
    /// # Errors Returns a message that names the invalid part of the intent, its place and the
    /// allowed values.
    pub(crate) fn draft(&self, intent: &Intent) -> Result<PlanDraft, String> {
        match intent {
            Intent::Apply(changes) => self.apply(changes),
            Intent::MovePool { pool, version } => self.move_pool(pool, *version),
            Intent::Drain(server) => self.drain(server),
            Intent::Restore(server) => self.restore(server),
        }
    }

    fn apply(&self, changes: &[ConfigurationChange]) -> Result<PlanDraft, String> {
        if changes.is_empty() || changes.len() > CHANGES_PER_INTENT {
            return Err(format!(
                "apply has {} changes; 1 to {CHANGES_PER_INTENT} are allowed",
                changes.len()
            ));
        }
        let changes: Vec<_> = changes
            .iter()
            .map(|change| self.preserve_operational_fields(change))
            .collect();
        for change in &changes {
            self.check_target(change)?;
        }
        checks::check_in_order(self.configuration, &changes)?;
        let mut steps: Vec<_> = changes.iter().cloned().map(PlanStep::Change).collect();
        steps.push(PlanStep::AwaitInForce);
        Ok(PlanDraft {
            steps,
            cost: estimate::apply_cost(self.configuration, &changes),
            footprint: Footprint::of_changes(self.configuration, &changes),
        })
    }

    /// Returns the change with the present target version of its pool or the present admission of
    /// its server: only publications, moves, drains and restores change these.
    fn preserve_operational_fields(&self, change: &ConfigurationChange) -> ConfigurationChange {
        let mut change = change.clone();
        match &mut change {
            ConfigurationChange::PutPool(pool) => {
                if let Some(present) = self.configuration.pools.get(&pool.id) {
                    pool.target_version = present.target_version;
                }
            }
            ConfigurationChange::PutServer(server) => {
                if let Some(present) = self.configuration.servers.get(&server.id) {
                    server.admission = present.admission;
                }
            }
            _ => {}
        }
        change
    }

    fn move_pool(&self, id: &PoolId, version: WeightVersion) -> Result<PlanDraft, String> {
        let pool = self.pool(id)?;
        self.check_published(pool, version)?;
        if version == pool.target_version {
            return Err(format!(
                "pool `{id}` has target version {version} already; give a lower or a published higher one"
            ));
        }
        let change = ConfigurationChange::SetTargetVersion {
            pool: id.clone(),
            version,
        };
        let mut footprint = Footprint::of_changes(self.configuration, [&change]);
        footprint.add(Resource::Service(pool.service.clone()), Access::Read);
        footprint.add(Resource::Members(pool.service.clone()), Access::Read);
        let servers = self.servers_to_swap(pool, version);
        let swap_ms = self.swap_times.get(&pool.service).copied();
        let cost = estimate::move_cost(self.configuration, pool, version, servers.len(), swap_ms);
        let mut steps = vec![PlanStep::Change(change)];
        steps.extend(servers.into_iter().map(|server| PlanStep::Swap {
            server: server.id.clone(),
            version,
        }));
        Ok(PlanDraft {
            steps,
            cost,
            footprint,
        })
    }

    fn check_target(&self, change: &ConfigurationChange) -> Result<(), String> {
        let ConfigurationChange::SetTargetVersion { pool, version } = change else {
            return Ok(());
        };
        match self.configuration.pools.get(pool) {
            Some(pool) => self.check_published(pool, *version),
            None => Ok(()),
        }
    }

    /// Checks that a version is known to exist: published, or at most the pool's target version.
    fn check_published(&self, pool: &Pool, version: WeightVersion) -> Result<(), String> {
        let published = self.published.get(&pool.id).copied().unwrap_or_default();
        let newest = published.max(pool.target_version);
        if version > newest {
            return Err(format!(
                "pool `{}`: version {version} has not been published; the newest is {newest}",
                pool.id
            ));
        }
        Ok(())
    }

    /// Returns the service's engines in use, or none if the move does not change the version that
    /// they should serve because another pool of the service has a higher target.
    fn servers_to_swap<'a>(&'a self, pool: &'a Pool, version: WeightVersion) -> Vec<&'a Server> {
        let others = self.configuration.pools.values();
        let highest_other = others
            .filter(|other| other.service == pool.service && other.id != pool.id)
            .map(|other| other.target_version)
            .max();
        if highest_other.is_some_and(|other| other > version) {
            return Vec::new();
        }
        self.configuration
            .servers_of(&pool.service)
            .filter(|server| server.admission == Admission::Open)
            .collect()
    }

    fn drain(&self, id: &ServerId) -> Result<PlanDraft, String> {
        let server = self.server(id)?;
        let change = ConfigurationChange::SetAdmission {
            server: id.clone(),
            admission: Admission::Draining,
        };
        let mut steps = Vec::new();
        let mut footprint = Footprint::of_changes(self.configuration, [&change]);
        footprint.add(Resource::Service(server.service.clone()), Access::Read);
        if server.admission == Admission::Open {
            steps.push(PlanStep::Change(change));
        }
        steps.push(PlanStep::AwaitInForce);
        steps.push(PlanStep::AwaitIdle(id.clone()));
        Ok(PlanDraft {
            steps,
            cost: estimate::drain_cost(self.configuration, server),
            footprint,
        })
    }

    fn restore(&self, id: &ServerId) -> Result<PlanDraft, String> {
        let server = self.server(id)?;
        if server.admission == Admission::Open {
            return Err(format!(
                "server `{id}` is open already; only a draining one can be restored"
            ));
        }
        let change = ConfigurationChange::SetAdmission {
            server: id.clone(),
            admission: Admission::Open,
        };
        let mut footprint = Footprint::of_changes(self.configuration, [&change]);
        footprint.add(Resource::Service(server.service.clone()), Access::Read);
        Ok(PlanDraft {
            steps: vec![PlanStep::Change(change), PlanStep::AwaitInForce],
            cost: estimate::restore_cost(self.configuration, server),
            footprint,
        })
    }

    fn pool(&self, id: &PoolId) -> Result<&Pool, String> {
        let pools = &self.configuration.pools;
        pools
            .get(id)
            .ok_or_else(|| unknown("pool", id.as_str(), pools.keys().map(PoolId::as_str)))
    }

    fn server(&self, id: &ServerId) -> Result<&Server, String> {
        let servers = &self.configuration.servers;
        servers
            .get(id)
            .ok_or_else(|| unknown("server", id.as_str(), servers.keys().map(ServerId::as_str)))
    }
}

/// Most existing names listed in the message about an unknown name.
const MAX_LISTED_NAMES: usize = 10;

fn unknown<'a>(kind: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = known.take(MAX_LISTED_NAMES + 1).collect();
    if names.len() > MAX_LISTED_NAMES {
        names[MAX_LISTED_NAMES] = "…";
    }
    if names.is_empty() {
        return format!("{kind} `{name}` does not exist; the configuration has none");
    }
    format!(
        "{kind} `{name}` does not exist; there are: {}",
        names.join(", ")
    )
}
