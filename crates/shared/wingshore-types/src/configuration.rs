//! The replicated configuration of pools, services and servers, and its changes.
//!
//! The configuration at revision `r` is the result of applying `r` changes, in commit order, to the
//! empty configuration. Nodes hold a copy and apply the same changes, so an update contains only
//! the changes.

use crate::ids::{PoolId, Revision, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A share or weight in thousandths. It is an integer so that every member computes the same
/// results.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u16);

impl Permille {
    /// 1000 thousandths, a share of 100 percent.
    pub const WHOLE: Self = Self(1000);

    /// Returns the value as a fraction of 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// The kind of the servers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which serve completions and rollouts of `model`.
    Engines {
        /// The name of the base model.
        model: String,
    },
    /// Servers of any HTTP requests, which are forwarded unchanged.
    Live,
}

/// A service and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name, which is the first path segment of forwarded requests.
    pub id: ServiceId,
    /// The kind of the servers.
    pub kind: ServiceKind,
    /// Maximum number of requests in flight on one server, over all request classes.
    pub slots_per_server: u32,
    /// Share of the slots that is guaranteed to live requests; the rest is guaranteed to rollouts.
    /// Each class may borrow the unused slots of the other.
    pub live_share: Permille,
    /// Timeout of a request without a deadline from the caller, in milliseconds.
    pub default_deadline_ms: u64,
}

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The server accepts new work.
    Open,
    /// The server accepts no new work; running work may finish.
    Draining,
}

/// A back-end server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The name.
    pub id: ServerId,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The zone of the server.
    pub zone: ZoneId,
    /// Whether the server accepts new work.
    pub admission: Admission,
}

/// How the engines of a pool move to a newly published version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapPolicy {
    /// Engines move to each published version automatically.
    Automatic,
    /// Engines move only when a plan is confirmed.
    Planned,
}

/// A rollout pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The name.
    pub id: PoolId,
    /// The service whose engines generate the samples.
    pub service: ServiceId,
    /// The trainer that receives the samples.
    pub trainer: TrainerId,
    /// Maximum number of versions by which the oldest segment of a delivered sample may lag behind
    /// the trainer's version.
    pub staleness_bound: u64,
    /// Trade-off between staleness and trainer idle time, 0 to 1000, default 500: 0 considers only
    /// staleness, 1000 only idle time. The ledger lets at most `1 + 3 (weight / 1000)^2` steps be
    /// generated ahead of the trainer, and any number of steps at 1000.
    pub idle_weight: Permille,
    /// The number of the ledger group that holds the samples.
    pub ledger: u16,
    /// The address of the scorer.
    pub scorer: SocketAddr,
    /// The address of the weight store.
    pub weight_store: SocketAddr,
    /// How engines move to new versions.
    pub swap: SwapPolicy,
    /// Maximum number of submitted samples that are not yet acknowledged. Further samples are
    /// rejected as not run.
    pub max_open_samples: u32,
    /// Duration of a node's lease on a sample, in milliseconds. The lease expires unless the node
    /// renews it.
    pub sample_lease_ms: u64,
    /// The version that the engines should serve.
    pub target_version: WeightVersion,
}

/// A change of the configuration. Each committed change increments the revision by one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service that has no servers and pools.
    RemoveService(ServiceId),
    /// Adds or replaces a server.
    PutServer(Server),
    /// Removes a server.
    RemoveServer(ServerId),
    /// Sets whether a server accepts new work.
    SetAdmission {
        /// The server.
        server: ServerId,
        /// The new admission state.
        admission: Admission,
    },
    /// Adds or replaces a pool.
    PutPool(Pool),
    /// Removes a pool.
    RemovePool(PoolId),
    /// Sets the version that the engines of a pool should serve. Only a plan confirmed by an
    /// operator may lower a published version.
    SetTargetVersion {
        /// The pool.
        pool: PoolId,
        /// The version.
        version: WeightVersion,
    },
}

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of changes applied so far.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Servers by name.
    pub servers: BTreeMap<ServerId, Server>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
}

/// The reason why a change is invalid for the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeError {
    /// The invalid name or value, its location and the accepted values.
    pub message: String,
}

impl Configuration {
    /// Checks that `change` is valid: every name that it refers to exists, and nothing that is in
    /// use is removed.
    ///
    /// # Errors
    /// Returns the name that does not exist or is still in use.
    pub fn check(&self, change: &ConfigurationChange) -> Result<(), ChangeError> {
        match change {
            ConfigurationChange::PutService(_) => Ok(()),
            ConfigurationChange::RemoveService(id) => self.check_remove_service(id),
            ConfigurationChange::PutServer(server) => self.check_service_exists(&server.service),
            ConfigurationChange::RemoveServer(id) => self.check_server_exists(id),
            ConfigurationChange::SetAdmission { server, .. } => self.check_server_exists(server),
            ConfigurationChange::PutPool(pool) => self.check_pool(pool),
            ConfigurationChange::RemovePool(id)
            | ConfigurationChange::SetTargetVersion { pool: id, .. } => self.check_pool_exists(id),
        }
    }

    /// Checks and applies `change`, and increments the revision by one.
    ///
    /// # Errors
    /// Returns the errors of [`Configuration::check`]; the configuration is then unchanged.
    pub fn apply(&mut self, change: &ConfigurationChange) -> Result<(), ChangeError> {
        self.check(change)?;
        self.apply_checked(change);
        self.revision.0 += 1;
        Ok(())
    }

    /// Returns the servers of a service.
    pub fn servers_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Server> {
        self.servers
            .values()
            .filter(move |server| &server.service == service)
    }

    fn apply_checked(&mut self, change: &ConfigurationChange) {
        match change {
            ConfigurationChange::PutService(service) => {
                self.services.insert(service.id.clone(), service.clone());
            }
            ConfigurationChange::RemoveService(id) => {
                self.services.remove(id);
            }
            ConfigurationChange::PutServer(server) => {
                self.servers.insert(server.id.clone(), server.clone());
            }
            ConfigurationChange::RemoveServer(id) => {
                self.servers.remove(id);
            }
            ConfigurationChange::SetAdmission { server, admission } => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.admission = *admission;
                }
            }
            ConfigurationChange::PutPool(pool) => {
                self.pools.insert(pool.id.clone(), pool.clone());
            }
            ConfigurationChange::RemovePool(id) => {
                self.pools.remove(id);
            }
            ConfigurationChange::SetTargetVersion { pool, version } => {
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.target_version = *version;
                }
            }
        }
    }

    fn check_remove_service(&self, id: &ServiceId) -> Result<(), ChangeError> {
        self.check_service_exists(id)?;
        let server = self.servers_of(id).next().map(|server| server.id.as_str());
        let pool = self.pools.values().find(|pool| &pool.service == id);
        match server.or(pool.map(|pool| pool.id.as_str())) {
            Some(user) => Err(ChangeError {
                message: format!("service `{id}` is still used by `{user}`; remove that first"),
            }),
            None => Ok(()),
        }
    }

    fn check_pool(&self, pool: &Pool) -> Result<(), ChangeError> {
        self.check_service_exists(&pool.service)?;
        match &self.services[&pool.service].kind {
            ServiceKind::Engines { .. } => Ok(()),
            ServiceKind::Live => Err(ChangeError {
                message: format!(
                    "pool `{}` names service `{}`, whose kind is live; a pool needs engines",
                    pool.id, pool.service
                ),
            }),
        }
    }

    fn check_service_exists(&self, id: &ServiceId) -> Result<(), ChangeError> {
        check_exists(self.services.contains_key(id), "service", id.as_str())
    }

    fn check_server_exists(&self, id: &ServerId) -> Result<(), ChangeError> {
        check_exists(self.servers.contains_key(id), "server", id.as_str())
    }

    fn check_pool_exists(&self, id: &PoolId) -> Result<(), ChangeError> {
        check_exists(self.pools.contains_key(id), "pool", id.as_str())
    }
}

fn check_exists(found: bool, kind: &str, name: &str) -> Result<(), ChangeError> {
    if found {
        return Ok(());
    }
    Err(ChangeError {
        message: format!("{kind} `{name}` does not exist in the configuration"),
    })
}
