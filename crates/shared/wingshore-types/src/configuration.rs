//! The replicated configuration: pools, services, servers, and changes to them.
//!
//! A configuration of revision `r` is the result of applying `r` changes, in commit order, to the
//! empty one. Nodes hold a copy and apply the same changes, so a delta carries changes only.

use crate::ids::{PoolId, Revision, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Thousandths of a whole; shares and weights are whole numbers so that every member computes
/// the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u16);

impl Permille {
    /// The whole.
    pub const WHOLE: Self = Self(1000);

    /// As a fraction of one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What kind of back end a service's servers are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that serve `model`: completions and rollouts.
    Engines {
        /// The base model's name.
        model: String,
    },
    /// Servers that answer any HTTP request, forwarded as it is.
    Live,
}

/// A service and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name; the first path element of forwarded requests.
    pub id: ServiceId,
    /// Kind of its servers.
    pub kind: ServiceKind,
    /// Maximal number of requests in flight on one server, over all callers' classes.
    pub slots_per_server: u32,
    /// Share of the slots guaranteed to live requests; the rest is guaranteed to rollouts. Either
    /// class borrows what the other does not use.
    pub live_share: Permille,
    /// Longest time a request may take when the caller states no deadline, in milliseconds.
    pub default_deadline_ms: u64,
}

/// Whether new work may go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// New work is welcome.
    Open,
    /// No new work; what runs may finish.
    Draining,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether new work may go to it.
    pub admission: Admission,
}

/// How a pool's engines take a newly published version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapPolicy {
    /// Engines move to each published version by themselves.
    Automatic,
    /// Engines move only by a confirmed plan.
    Planned,
}

/// A rollout pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// The service whose engines generate its samples.
    pub service: ServiceId,
    /// The trainer its samples go to.
    pub trainer: TrainerId,
    /// Maximal number of versions by which a delivered sample's oldest segment may lag the trainer's
    /// version.
    pub staleness_bound: u64,
    /// Weight between the two measures: 0 counts staleness only, 1000 trainer idle time only.
    /// Default 500, 0 to 1000. The ledger lets at most `1 + 3 (weight / 1000)^2` steps be generated
    /// ahead of the trainer, and any number at 1000.
    pub idle_weight: Permille,
    /// The ledger group that holds its samples.
    pub ledger: u16,
    /// Where samples are scored.
    pub scorer: SocketAddr,
    /// Where weights are fetched.
    pub weight_store: SocketAddr,
    /// How engines take new versions.
    pub swap: SwapPolicy,
    /// Maximal number of samples submitted and not yet acknowledged; more are refused as not run.
    pub max_open_samples: u32,
    /// How long a node may hold a sample without renewing its lease, in milliseconds.
    pub sample_lease_ms: u64,
    /// The version its engines are to serve.
    pub target_version: WeightVersion,
}

/// One change of configuration. Each committed change is one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service without servers and pools.
    RemoveService(ServiceId),
    /// Adds or replaces a server.
    PutServer(Server),
    /// Removes a server.
    RemoveServer(ServerId),
    /// Opens or closes a server to new work.
    SetAdmission {
        /// Which server.
        server: ServerId,
        /// Its new admission.
        admission: Admission,
    },
    /// Adds or replaces a pool.
    PutPool(Pool),
    /// Removes a pool.
    RemovePool(PoolId),
    /// Sets the version a pool's engines are to serve; never lowers a published one by accident:
    /// an operator's confirmed plan may.
    SetTargetVersion {
        /// Which pool.
        pool: PoolId,
        /// The version.
        version: WeightVersion,
    },
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of changes that led here.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Servers by name.
    pub servers: BTreeMap<ServerId, Server>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
}

/// Why a change does not fit the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeError {
    /// What is wrong, where, and what is allowed.
    pub message: String,
}

impl Configuration {
    /// Checks that `change` fits: every name it uses exists, nothing used is removed.
    ///
    /// # Errors
    /// Says which name is missing or still in use.
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

    /// Checks and applies `change`; on success the revision has grown by one.
    ///
    /// # Errors
    /// As [`Configuration::check`]; the configuration is then unchanged.
    pub fn apply(&mut self, change: &ConfigurationChange) -> Result<(), ChangeError> {
        self.check(change)?;
        self.apply_checked(change);
        self.revision.0 += 1;
        Ok(())
    }

    /// The servers of a service.
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
        exists(self.services.contains_key(id), "service", id.as_str())
    }

    fn check_server_exists(&self, id: &ServerId) -> Result<(), ChangeError> {
        exists(self.servers.contains_key(id), "server", id.as_str())
    }

    fn check_pool_exists(&self, id: &PoolId) -> Result<(), ChangeError> {
        exists(self.pools.contains_key(id), "pool", id.as_str())
    }
}

fn exists(found: bool, kind: &str, name: &str) -> Result<(), ChangeError> {
    if found {
        return Ok(());
    }
    Err(ChangeError {
        message: format!("{kind} `{name}` does not exist in the configuration"),
    })
}
