//! The interface of the state to the replicated group: commands are applied, snapshots taken and
//! restored.

use super::command::Command;
use super::evidence::RequestEvidence;
use super::site::CoordinationState;
use super::snapshot::{FrozenCoordination, restore};
use super::view_history::ViewPart;
use crate::configuration::SiteConfiguration;
use crate::evidence::CrashEvidence;
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::{InstanceId, JobId, ModelName};
use crate::jobs::{Job, JobSubmission};
use crate::registry::ServerRecord;
use crate::scaling::CapacityPool;
use std::io::Read;
use std::sync::Arc;
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{LogIndex, ReplicaId};

impl CoordinationState {
    fn configure(&mut self, index: LogIndex, configuration: Arc<SiteConfiguration>) {
        let held = self.configuration.as_ref().map(|held| held.version);
        if held.is_none_or(|held| configuration.version > held) {
            self.configuration = Some(configuration);
            self.view_history
                .record_change(index, ViewPart::Configuration);
        }
    }

    fn register(&mut self, index: LogIndex, server: ServerRecord) {
        let instance = server.instance.clone();
        self.change_server(index, instance, |registry| registry.register(server));
    }

    fn depart(&mut self, index: LogIndex, instance: InstanceId) {
        let departed = instance.clone();
        self.change_server(index, instance, |registry| registry.depart(departed));
    }

    fn expire(&mut self, index: LogIndex, instance: InstanceId) {
        let expired = instance.clone();
        self.change_server(index, instance, |registry| registry.expire(&expired));
    }

    fn name_version(&mut self, model: ModelName, version: u64) {
        let named = self.named_versions.entry(model).or_default();
        *named = version.max(*named);
    }

    fn accept_job(&mut self, submission: Arc<JobSubmission>) {
        let id = submission.id.clone();
        self.jobs.entry(id).or_insert_with(|| Job::new(submission));
    }

    fn forget_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    fn change_job(&mut self, job: &JobId, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.jobs.get_mut(job) {
            change(job);
        }
    }

    /// Changes a job with `list`, which returns whether it has listed a result.
    fn list(&mut self, job: &JobId, list: impl FnOnce(&mut Job) -> bool) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if list(job)
            && let Some(result) = job.results.last()
        {
            self.texts.track(result.text.packed());
        }
    }

    fn describe_member(&mut self, member: ReplicaId, node: String) {
        self.member_nodes.insert(member, node);
    }

    fn retire_member(&mut self, member: ReplicaId, node: String) {
        self.retired_members.insert(node, member);
    }

    fn want_capacity(&mut self, pool: CapacityPool, count: u32) {
        self.capacity.insert(pool, count);
    }

    fn set_fingerprint_key(&mut self, index: LogIndex, key: FingerprintKey) {
        self.evidence.set_key(key);
        self.view_history
            .record_change(index, ViewPart::FingerprintKey);
    }

    fn note_crashes(&mut self, index: LogIndex, crashes: Vec<CrashEvidence>) {
        let requests = crashes.iter().map(|crash| crash.fingerprint).collect();
        self.change_evidence(index, requests, |evidence| {
            crashes
                .into_iter()
                .for_each(|crash| evidence.record_crash(crash));
        });
    }

    fn reject_requests(&mut self, index: LogIndex, requests: Vec<RequestFingerprint>) {
        self.change_each_request(index, requests, RequestEvidence::reject);
    }

    fn relieve_requests(&mut self, index: LogIndex, requests: Vec<RequestFingerprint>) {
        self.change_each_request(index, requests, RequestEvidence::drop_oldest_crash);
    }

    fn clear_requests(&mut self, index: LogIndex, requests: Vec<RequestFingerprint>) {
        self.change_each_request(index, requests, RequestEvidence::clear);
    }

    /// Applies `change` to the evidence of each of these requests.
    fn change_each_request(
        &mut self,
        index: LogIndex,
        requests: Vec<RequestFingerprint>,
        change: impl Fn(&mut RequestEvidence, RequestFingerprint),
    ) {
        self.change_evidence(index, requests.clone(), |evidence| {
            for request in requests {
                change(evidence, request);
            }
        });
    }
}

impl ReplicatedState for CoordinationState {
    type Command = Command;
    type Reply = ();

    fn apply(&mut self, index: LogIndex, command: Command) {
        self.view_history.begin_entry(index);
        match command {
            Command::ConfigureEarlier(earlier) => self.configure(index, earlier.upgrade()),
            Command::RegisterEarlier(earlier) => self.register(index, earlier.into()),
            Command::Configure(configuration) => self.configure(index, configuration),
            Command::Register(server) => self.register(index, server),
            Command::Depart(instance) => self.depart(index, instance),
            Command::Expire(instance) => self.expire(index, instance),
            Command::NameVersion { model, version } => self.name_version(model, version),
            Command::AcceptJob(submission) => self.accept_job(submission),
            Command::ListResult { job, result } => self.list(&job, |job| job.list(result)),
            Command::EndJob(id) => self.change_job(&id, Job::end),
            Command::ForgetJob(id) => self.forget_job(&id),
            Command::KeepText {
                item,
                after_events,
                text,
            } => self.change_job(&item.job, |job| {
                job.append_partial_text(item.index, after_events, text)
            }),
            Command::KeepUnscored {
                item,
                made_by,
                text,
            } => self.change_job(&item.job, |job| {
                job.keep_unscored(item.index, made_by, text)
            }),
            Command::ListScored {
                item,
                made_by,
                score,
            } => self.list(&item.job, |job| job.list_scored(item.index, made_by, score)),
            Command::CountScoringFailures {
                item,
                made_by,
                failures,
            } => self.change_job(&item.job, |job| {
                job.count_scoring_failures(item.index, made_by, failures);
            }),
            Command::DescribeMember { member, node } => self.describe_member(member, node),
            Command::RetireMember { member, node } => self.retire_member(member, node),
            Command::HoldOrders(holder) => self.orders.set_holder(holder),
            Command::SettleOrders(epoch) => self.orders.mark_settled(epoch),
            Command::WantCapacity { pool, count } => self.want_capacity(pool, count),
            Command::KeepUsage { gateway, usage } => self.usage.store_lost_gateway(gateway, usage),
            Command::CloseUsageWindow { window, counts } => self.usage.close_window(window, counts),
            Command::UsageReported(window) => self.usage.acknowledge(window),
            Command::SetFingerprintKey(key) => self.set_fingerprint_key(index, key),
            Command::NoteCrashes(crashes) => self.note_crashes(index, crashes),
            Command::RejectRequests(requests) => self.reject_requests(index, requests),
            Command::RelieveRequests(requests) => self.relieve_requests(index, requests),
            Command::ClearRequests(requests) => self.clear_requests(index, requests),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Encoding fails only if the disk fails.
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
        *self = restore(&self.texts, reader)?;
        Ok(())
    }
}
