//! The replicated state as a whole, and what it answers.

use super::evidence::RequestEvidence;
use super::orders::{OrderHolder, OrderState};
use super::servers::ServerRegistry;
use super::usage::SiteUsage;
use super::view_history::ViewHistory;
use crate::configuration::SiteConfiguration;
use crate::ids::{InstanceId, JobId, ModelName, ServerName};
use crate::jobs::Job;
use crate::registry::ServerRecord;
use crate::scaling::CapacityPool;
use crate::text::{TextStore, TextStoreHandle};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_types::ReplicaId;

/// Configuration, registry, batch jobs and named versions of a site.
///
/// Snapshots hold its fields in this order, without their names.
///
/// Invariants: the configuration's version never falls; a departed incarnation of a server never comes
/// back; named versions never fall; results of jobs are only added to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationState {
    pub(super) configuration: Option<Arc<SiteConfiguration>>,
    pub(super) registry: ServerRegistry,
    pub(super) named_versions: BTreeMap<ModelName, u64>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) orders: OrderState,
    /// Machines of coordinators, as they named themselves.
    pub(super) member_nodes: BTreeMap<ReplicaId, String>,
    /// Coordinators that are to leave, or have left, for good; the newest of each machine.
    pub(super) retired_members: BTreeMap<String, ReplicaId>,
    /// Requests that began to run, for the provider's bill.
    pub(super) usage: SiteUsage,
    /// Target numbers of servers.
    pub(super) capacity: BTreeMap<CapacityPool, u32>,
    /// What failed attempts say of requests; a record of its own in snapshots.
    #[serde(skip)]
    pub(super) evidence: RequestEvidence,
    /// Where texts of results go that memory has no room for.
    #[serde(skip)]
    pub(super) texts: TextStoreHandle,
    /// Which parts of the gateways' view changed when.
    #[serde(skip)]
    pub(super) view_history: ViewHistory,
}

impl CoordinationState {
    /// Gives the state a store for the texts of its results.
    pub fn keep_texts_in(&mut self, store: Arc<dyn TextStore>) {
        self.texts = TextStoreHandle(Some(store));
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<SiteConfiguration>> {
        self.configuration.as_ref()
    }

    /// What failed attempts say of requests.
    pub fn evidence(&self) -> &RequestEvidence {
        &self.evidence
    }

    /// Target numbers of servers.
    pub fn capacity(&self) -> &BTreeMap<CapacityPool, u32> {
        &self.capacity
    }

    /// Requests that began to run, for the provider's bill.
    pub fn usage(&self) -> &SiteUsage {
        &self.usage
    }

    /// All registered servers.
    pub fn servers(&self) -> &BTreeMap<InstanceId, ServerRecord> {
        &self.registry.servers
    }

    /// All registered incarnations of a server, in the order of their starts: usually one.
    pub(crate) fn incarnations_of<'a>(
        &'a self,
        name: &'a ServerName,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a ServerRecord)> + 'a {
        self.registry.incarnations_of(name)
    }

    /// Whether this incarnation of a server has departed.
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.registry.departed.contains(instance)
    }

    /// The newest named version of each model.
    pub fn named_versions(&self) -> &BTreeMap<ModelName, u64> {
        &self.named_versions
    }

    /// All jobs that are remembered.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The job that a caller means. One that was submitted before the site had tenants belongs to
    /// nobody: it stays open to all that know its name.
    pub fn find_job(&self, id: &JobId) -> Option<(&JobId, &Job)> {
        let own = self.jobs.get_key_value(id);
        own.or_else(|| self.jobs.get_key_value(&id.clone().of_tenant(None)))
    }

    /// Machines of coordinators, as they named themselves.
    pub fn member_nodes(&self) -> &BTreeMap<ReplicaId, String> {
        &self.member_nodes
    }

    /// Coordinators that are to leave, or have left, for good, by their machines.
    pub fn retired_members(&self) -> &BTreeMap<String, ReplicaId> {
        &self.retired_members
    }

    /// Who gave the last orders to engines.
    pub fn order_holder(&self) -> Option<&OrderHolder> {
        self.orders.holder.as_ref()
    }

    /// Whether the machine that gives orders has held them for the time of a handover: if it is
    /// lost now, no other machine's orders are so young that engines could see three machines take
    /// turns.
    pub(crate) fn orders_are_settled(&self) -> bool {
        self.orders.settled
    }
}
