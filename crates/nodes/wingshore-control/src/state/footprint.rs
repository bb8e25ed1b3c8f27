//! Decision: does a change, or another plan, conflict with a plan?
//!
//! Inputs: the resources of the configuration that either uses (services, their sets of servers,
//! their weights, servers, pools), each with its kind of access: read, join or write.
//!
//! Rule: two accesses to one resource conflict unless both read it or both join it, which adds to
//! or removes from a set. A proposed plan becomes stale when a committed change conflicts with it;
//! a plan cannot be confirmed while a running plan conflicts with it.
//!
//! Why: an operator confirms the steps and costs of a plan, which hold for the configuration that
//! it was made from. Unrelated changes are frequent: rejection at any new revision would make most
//! plans stale.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::ids::{PoolId, ServerId, ServiceId};

/// A part of the configuration that changes and plans use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Resource {
    /// A service's own settings.
    Service(ServiceId),
    /// The set of servers of a service.
    Members(ServiceId),
    /// The weight version that a service's engines should serve.
    Weights(ServiceId),
    /// A server's own settings.
    Server(ServerId),
    /// A pool.
    Pool(PoolId),
}

impl fmt::Display for Resource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(id) => write!(formatter, "service `{id}`"),
            Self::Members(id) => write!(formatter, "the servers of service `{id}`"),
            Self::Weights(id) => write!(formatter, "the weights of service `{id}`"),
            Self::Server(id) => write!(formatter, "server `{id}`"),
            Self::Pool(id) => write!(formatter, "pool `{id}`"),
        }
    }
}

/// Kind of access to a resource, ordered from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Access {
    /// Depends on the resource.
    Read,
    /// Adds to or removes from a set; two such accesses do not conflict.
    Join,
    /// Changes the resource.
    Write,
}

impl Access {
    fn conflicts_with(self, other: Self) -> bool {
        match (self, other) {
            (Self::Read, Self::Read) | (Self::Join, Self::Join) => false,
            (Self::Write | Self::Join, _) | (_, Self::Write | Self::Join) => true,
        }
    }
}

/// All resources that a plan or a batch of changes uses, each with its strongest access.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Footprint {
    uses: BTreeMap<Resource, Access>,
}

impl Footprint {
    /// Returns the resources that `changes` use when applied to `before`.
    pub(crate) fn of_changes<'a>(
        before: &Configuration,
        changes: impl IntoIterator<Item = &'a ConfigurationChange>,
    ) -> Self {
        let mut footprint = Self::default();
        for change in changes {
            footprint.add_change(before, change);
        }
        footprint
    }

    /// Adds an access; the strongest access to each resource is kept.
    pub(crate) fn add(&mut self, resource: Resource, access: Access) {
        let strongest = self.uses.entry(resource).or_insert(access);
        *strongest = access.max(*strongest);
    }

    /// Returns the first resource on which the two footprints conflict.
    pub(crate) fn conflict<'a>(&'a self, other: &'a Self) -> Option<&'a Resource> {
        let (small, large) = if self.uses.len() <= other.uses.len() {
            (self, other)
        } else {
            (other, self)
        };
        small.uses.iter().find_map(|(resource, access)| {
            let against = large.uses.get(resource)?;
            access.conflicts_with(*against).then_some(resource)
        })
    }

    fn add_change(&mut self, before: &Configuration, change: &ConfigurationChange) {
        match change {
            ConfigurationChange::PutService(service) => {
                self.add(Resource::Service(service.id.clone()), Access::Write);
            }
            ConfigurationChange::RemoveService(id) => {
                self.add(Resource::Service(id.clone()), Access::Write);
                self.add(Resource::Members(id.clone()), Access::Write);
            }
            ConfigurationChange::PutServer(server) => {
                self.add(Resource::Service(server.service.clone()), Access::Read);
                self.add(Resource::Members(server.service.clone()), Access::Join);
                self.add_server(before, &server.id);
            }
            ConfigurationChange::RemoveServer(id) => self.add_server(before, id),
            ConfigurationChange::SetAdmission { server, .. } => {
                self.add(Resource::Server(server.clone()), Access::Write);
            }
            ConfigurationChange::PutPool(pool) => {
                self.add(Resource::Service(pool.service.clone()), Access::Read);
                self.add(Resource::Weights(pool.service.clone()), Access::Write);
                self.add_pool(before, &pool.id);
            }
            ConfigurationChange::RemovePool(id)
            | ConfigurationChange::SetTargetVersion { pool: id, .. } => self.add_pool(before, id),
        }
    }

    /// Adds a server that is added, removed or moved from its present service.
    fn add_server(&mut self, before: &Configuration, id: &ServerId) {
        self.add(Resource::Server(id.clone()), Access::Write);
        if let Some(present) = before.servers.get(id) {
            self.add(Resource::Members(present.service.clone()), Access::Join);
        }
    }

    /// Adds a pool that is added, removed or changed, and the weights of its present service.
    fn add_pool(&mut self, before: &Configuration, id: &PoolId) {
        self.add(Resource::Pool(id.clone()), Access::Write);
        if let Some(present) = before.pools.get(id) {
            self.add(Resource::Weights(present.service.clone()), Access::Write);
        }
    }
}
