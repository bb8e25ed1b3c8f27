//! The replicated state as a whole, and its queries.

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

/// Configuration, registry, batch jobs and published weight versions of a site.
///
/// Snapshots contain the fields in this order, without their names.
///
/// Invariants: the configuration's version never decreases; a departed incarnation of a server
/// never returns; published weight versions never decrease; results of jobs are only appended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationState {
    pub(super) configuration: Option<Arc<SiteConfiguration>>,
    pub(super) registry: ServerRegistry,
    pub(super) named_versions: BTreeMap<ModelName, u64>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) orders: OrderState,
    /// Machine names of coordinators, as they report them.
    pub(super) member_nodes: BTreeMap<ReplicaId, String>,
    /// Coordinators that are to leave, or have left, permanently; the newest one of each machine.
    pub(super) retired_members: BTreeMap<String, ReplicaId>,
    /// Counts of started requests, for billing by the provider.
    pub(super) usage: SiteUsage,
    /// Target number of servers of each pool.
    pub(super) capacity: BTreeMap<CapacityPool, u32>,
    /// Evidence against requests from failed attempts; a separate record in snapshots.
    #[serde(skip)]
    pub(super) evidence: RequestEvidence,
    /// Store for result texts that exceed the memory budget.
    #[serde(skip)]
    pub(super) texts: TextStoreHandle,
    /// History of changes to the gateways' view.
    #[serde(skip)]
    pub(super) view_history: ViewHistory,
}

impl CoordinationState {
    /// Sets the store for the texts of results.
    pub fn set_text_store(&mut self, store: Arc<dyn TextStore>) {
        self.texts = TextStoreHandle(Some(store));
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<SiteConfiguration>> {
        self.configuration.as_ref()
    }

    /// Returns the evidence against requests from failed attempts.
    pub fn evidence(&self) -> &RequestEvidence {
        &self.evidence
    }

    /// Returns the target number of servers of each pool.
    pub fn capacity(&self) -> &BTreeMap<CapacityPool, u32> {
        &self.capacity
    }

    /// Returns the counts of started requests, for billing by the provider.
    pub fn usage(&self) -> &SiteUsage {
        &self.usage
    }

    /// Returns all registered servers.
    pub fn servers(&self) -> &BTreeMap<InstanceId, ServerRecord> {
        &self.registry.servers
    }

    /// Returns all registered incarnations of a server in the order of their start times: usually
    /// one.
    pub(crate) fn incarnations_of<'a>(
        &'a self,
        name: &'a ServerName,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a ServerRecord)> + 'a {
        self.registry.incarnations_of(name)
    }

    /// Returns whether this incarnation of a server has departed.
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.registry.departed.contains(instance)
    }

    /// Returns the newest published version of each model.
    pub fn named_versions(&self) -> &BTreeMap<ModelName, u64> {
        &self.named_versions
    }

    /// Returns all jobs that have not been forgotten.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Returns the job that a caller refers to. A job submitted before the site had tenants belongs
    /// to no tenant and stays accessible to all callers that know its name.
    pub fn find_job(&self, id: &JobId) -> Option<(&JobId, &Job)> {
        let own = self.jobs.get_key_value(id);
        own.or_else(|| self.jobs.get_key_value(&id.clone().of_tenant(None)))
    }

    /// Returns the machine names of coordinators, as they report them.
    pub fn member_nodes(&self) -> &BTreeMap<ReplicaId, String> {
        &self.member_nodes
    }

    /// Returns the coordinators that are to leave, or have left, permanently, by machine name.
    pub fn retired_members(&self) -> &BTreeMap<String, ReplicaId> {
        &self.retired_members
    }

    /// Returns the holder that gave the latest orders to engines.
    pub fn order_holder(&self) -> Option<&OrderHolder> {
        self.orders.holder.as_ref()
    }

    /// Returns whether the machine that gives orders has been the holder for the duration of a
    /// handover: if it is lost now, no orders of a third machine are recent enough that engines
    /// could see orders of three machines alternate.
    pub(crate) fn orders_are_settled(&self) -> bool {
        self.orders.settled
    }
}
