//! The replicated state.

mod command;
mod earlier;
mod evidence;
mod snapshot;
mod usage;
mod view;
mod view_history;

pub use command::Command;
pub use earlier::{EarlierConfiguration, EarlierServer, EarlierState};
pub(crate) use evidence::TOLD_FROM;
pub use evidence::{MOST_ENDINGS, MOST_SUSPECTS, REJECTED_FROM, RequestEvidence};
pub use usage::SiteUsage;
pub use view::KnownChanges;

pub(crate) use crate::evidence::{CrashEvidence, Suspect};

use crate::configuration::SiteConfiguration;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{InstanceId, JobId, ModelName, ServerName};
use crate::jobs::Job;
use crate::registry::ServerRecord;
use crate::scaling::CapacityPool;
use crate::text_store::{TextStore, TextStoreHandle};
use serde::{Deserialize, Serialize};
use snapshot::FrozenCoordination;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Read;
use std::sync::Arc;
use view_history::{ViewHistory, ViewPart};
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{Epoch, LogIndex, ReplicaId};

/// Departed runs of servers that are remembered, so that a late heartbeat does not bring one back.
const MOST_DEPARTED: usize = 8192;

/// Who gave the last orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// Name of its machine.
    pub node: String,
    /// Its leadership; the fence of its orders.
    pub epoch: Epoch,
}

/// Configuration, registry, batch jobs and named versions of a site.
///
/// Invariants: the configuration's version never falls; a departed run of a server never comes
/// back; named versions never fall; results of jobs are only added to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationState {
    configuration: Option<Arc<SiteConfiguration>>,
    servers: BTreeMap<InstanceId, ServerRecord>,
    departed: BTreeSet<InstanceId>,
    /// In the order of departure, oldest first.
    departures: VecDeque<InstanceId>,
    named_versions: BTreeMap<ModelName, u64>,
    jobs: BTreeMap<JobId, Job>,
    order_holder: Option<OrderHolder>,
    /// Whether the machine that gives orders has held them for the time of a handover.
    orders_settled: bool,
    /// Machines of coordinators, as they named themselves.
    member_nodes: BTreeMap<ReplicaId, String>,
    /// Coordinators that are to leave, or have left, for good; the newest of each machine.
    retired_members: BTreeMap<String, ReplicaId>,
    /// Requests that began to run, for the provider's bill.
    usage: SiteUsage,
    /// Numbers of servers that are wanted.
    capacity: BTreeMap<CapacityPool, u32>,
    /// What failed attempts say of requests; a record of its own in snapshots.
    #[serde(skip)]
    evidence: RequestEvidence,
    /// Where texts of results go that memory has no room for.
    #[serde(skip)]
    texts: TextStoreHandle,
    /// Which parts of the gateways' view changed when.
    #[serde(skip)]
    view_history: ViewHistory,
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

    /// Numbers of servers that are wanted.
    pub fn capacity(&self) -> &BTreeMap<CapacityPool, u32> {
        &self.capacity
    }

    /// Requests that began to run, for the provider's bill.
    pub fn usage(&self) -> &SiteUsage {
        &self.usage
    }

    /// All registered servers.
    pub fn servers(&self) -> &BTreeMap<InstanceId, ServerRecord> {
        &self.servers
    }

    /// All registered runs of a server, in the order of their starts: usually one.
    pub fn runs_of<'a>(
        &'a self,
        name: &'a ServerName,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a ServerRecord)> + 'a {
        let first = InstanceId::new(name.clone(), None);
        let runs = self.servers.range(first..);
        runs.take_while(move |(instance, _)| instance.name() == name)
    }

    /// Whether this run of a server has departed.
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.departed.contains(instance)
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
        self.order_holder.as_ref()
    }

    /// Whether the machine that gives orders has held them for the time of a handover: if it is
    /// lost now, no other machine's orders are so young that engines could see three machines take
    /// turns.
    pub fn orders_are_settled(&self) -> bool {
        self.orders_settled
    }

    fn hold_orders(&mut self, holder: OrderHolder) {
        let before = self.order_holder.as_ref();
        // The first holder follows no other one, and one machine is one holder over all its terms.
        let is_same = before.is_some_and(|before| before.node == holder.node);
        self.orders_settled = before.is_none() || (is_same && self.orders_settled);
        self.order_holder = Some(holder);
    }

    fn settle_orders(&mut self, epoch: Epoch) {
        let holder = self.order_holder.as_ref();
        self.orders_settled |= holder.is_some_and(|holder| holder.epoch == epoch);
    }

    fn configure(&mut self, index: LogIndex, configuration: Arc<SiteConfiguration>) {
        let held = self.configuration.as_ref().map(|held| held.version);
        if held.is_none_or(|held| configuration.version > held) {
            self.configuration = Some(configuration);
            self.view_history.note(index, ViewPart::Configuration);
        }
    }

    fn register(&mut self, index: LogIndex, server: ServerRecord) {
        let instance = server.instance.clone();
        self.change_server(index, instance, |state| state.hold_server(server));
    }

    fn hold_server(&mut self, mut server: ServerRecord) {
        if self.departed.contains(&server.instance) {
            return;
        }
        if let Some(held) = self.servers.get(&server.instance) {
            server.draining |= held.draining;
            for entry in &held.models {
                server.raise_version(&entry.model, entry.version);
            }
        }
        self.servers.insert(server.instance.clone(), server);
    }

    fn depart(&mut self, instance: InstanceId) {
        self.servers.remove(&instance);
        if !self.departed.insert(instance.clone()) {
            return;
        }
        self.departures.push_back(instance);
        if self.departures.len() > MOST_DEPARTED
            && let Some(oldest) = self.departures.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }

    fn name_version(&mut self, model: ModelName, version: u64) {
        let named = self.named_versions.entry(model).or_default();
        *named = version.max(*named);
    }

    /// Changes what is known of each of these requests.
    fn change_each(
        &mut self,
        index: LogIndex,
        requests: Vec<RequestFingerprint>,
        change: impl Fn(&mut RequestEvidence, RequestFingerprint),
    ) {
        self.change_evidence(index, requests.clone(), |state| {
            for request in requests {
                change(&mut state.evidence, request);
            }
        });
    }

    /// Changes a job by `list`, which says whether it has listed a result.
    fn list(&mut self, job: &JobId, list: impl FnOnce(&mut Job) -> bool) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if list(job)
            && let Some(result) = job.results.last()
        {
            self.texts.hold(result.text.packed());
        }
    }

    /// All but its jobs.
    fn without_jobs(&self) -> Self {
        Self {
            configuration: self.configuration.clone(),
            servers: self.servers.clone(),
            departed: self.departed.clone(),
            departures: self.departures.clone(),
            named_versions: self.named_versions.clone(),
            jobs: BTreeMap::new(),
            order_holder: self.order_holder.clone(),
            orders_settled: self.orders_settled,
            member_nodes: self.member_nodes.clone(),
            retired_members: self.retired_members.clone(),
            usage: self.usage.clone(),
            capacity: self.capacity.clone(),
            evidence: RequestEvidence::default(),
            texts: TextStoreHandle::default(),
            view_history: ViewHistory::default(),
        }
    }

    fn add_job(&mut self, job: Option<Box<Job>>) {
        if let Some(job) = job {
            self.jobs.insert(job.submission.id.clone(), *job);
        }
    }
}

impl ReplicatedState for CoordinationState {
    type Command = Command;
    type Reply = ();

    fn apply(&mut self, index: LogIndex, command: Command) {
        self.view_history.begin(index);
        match command {
            Command::ConfigureEarlier(configuration) => {
                let configuration = Arc::unwrap_or_clone(configuration);
                self.configure(index, Arc::new(configuration.into()));
            }
            Command::RegisterEarlier(server) => self.register(index, server.into()),
            Command::Configure(configuration) => self.configure(index, configuration),
            Command::Register(server) => self.register(index, server),
            Command::Depart(instance) => self.change_server(index, instance.clone(), |state| {
                state.depart(instance);
            }),
            Command::Expire(instance) => self.change_server(index, instance.clone(), |state| {
                state.servers.remove(&instance);
            }),
            Command::NameVersion { model, version } => self.name_version(model, version),
            Command::AcceptJob(submission) => {
                let id = submission.id.clone();
                self.jobs.entry(id).or_insert_with(|| Job::new(submission));
            }
            Command::ListResult { job, result } => self.list(&job, |job| job.list(result)),
            Command::EndJob(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.end();
                }
            }
            Command::KeepText {
                item,
                after_events,
                text,
            } => {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.keep(item.index, after_events, text);
                }
            }
            Command::KeepUnscored {
                item,
                made_by,
                text,
            } => {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.keep_unscored(item.index, made_by, text);
                }
            }
            Command::ListScored {
                item,
                made_by,
                score,
            } => self.list(&item.job, |job| job.list_scored(item.index, made_by, score)),
            Command::CountScoringFailures {
                item,
                made_by,
                failures,
            } => {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.count_scoring_failures(item.index, made_by, failures);
                }
            }
            Command::ForgetJob(id) => {
                self.jobs.remove(&id);
            }
            Command::DescribeMember { member, node } => {
                self.member_nodes.insert(member, node);
            }
            Command::RetireMember { member, node } => {
                self.retired_members.insert(node, member);
            }
            Command::HoldOrders(holder) => self.hold_orders(holder),
            Command::SettleOrders(epoch) => self.settle_orders(epoch),
            Command::WantCapacity { pool, count } => {
                self.capacity.insert(pool, count);
            }
            Command::KeepUsage { gateway, usage } => self.usage.keep(gateway, usage),
            Command::CloseUsageWindow { window, counts } => self.usage.close(window, counts),
            Command::UsageReported(window) => self.usage.reported(window),
            Command::SetFingerprintKey(key) => {
                self.evidence.set_key(key);
                self.view_history.note(index, ViewPart::FingerprintKey);
            }
            Command::NoteCrashes(news) => {
                let requests = news.iter().map(|news| news.fingerprint).collect();
                self.change_evidence(index, requests, |state| {
                    news.into_iter().for_each(|news| state.evidence.note(news));
                });
            }
            Command::RejectRequests(requests) => {
                self.change_each(index, requests, RequestEvidence::reject);
            }
            Command::RelieveRequests(requests) => {
                self.change_each(index, requests, RequestEvidence::relieve);
            }
            Command::ClearRequests(requests) => {
                self.change_each(index, requests, RequestEvidence::clear);
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Only a disk that fails keeps a state from being encoded.
        let bytes = self.freeze().to_bytes();
        bytes.map(Into::into).unwrap_or_default()
    }

    fn freeze(&self) -> SnapshotState {
        SnapshotState::Frozen(Arc::new(FrozenCoordination::of(self)))
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let mut state = Self::default();
        state.restore_from(&mut &*bytes)?;
        Ok(state)
    }

    fn restore_from(&mut self, reader: &mut dyn Read) -> Result<(), RestoreError> {
        *self = snapshot::restore(&self.texts, reader)?;
        Ok(())
    }
}
