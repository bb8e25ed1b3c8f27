//! Which engine runs an item, and through which gateway.

use super::decision_log::Decision;
use super::decisions::crash_evidence;
use super::decisions::gateway_choice::gateway_for_item;
use super::machine::CoordinationLeader;
use super::tables::engine::Engine;
use super::tables::free_slots::{EngineQuery, Look};
use super::tables::items::{Progress, Running};
use super::tables::pace::slow_down;
use super::turn::Turn;
use crate::configuration::Route;
use crate::ids::{GatewayId, InstanceId, ItemKey, JobId, ModelName, ServiceName};
use crate::jobs::{Job, JobItem};
use crate::messages::{CoordinatorMessage, ItemAssignment};
use crate::state::CoordinationState;
use crate::text::{DurablePrefix, ItemText};
use std::collections::BTreeSet;
use std::sync::Arc;
use wingshore_types::Instant;

/// An item that can be placed, with all that decides where.
struct Candidate<'a> {
    key: ItemKey,
    job: &'a Job,
    item: &'a JobItem,
    route: Arc<Route>,
    service: ServiceName,
    progress: Progress,
}

/// Why an item was not placed.
enum NotPlaced {
    /// It cannot be placed now; others of its job may be.
    NotNow,
    /// No engine takes items of its job.
    NoEngine {
        /// The service whose engines were looked at.
        service: ServiceName,
    },
}

impl Candidate<'_> {
    fn model(&self) -> Option<&ModelName> {
        self.job.submission.model.as_ref()
    }
}

impl CoordinationLeader {
    /// Places as many waiting items as engines and gateways take.
    pub(crate) fn place_items(&mut self, turn: &mut Turn<'_>) {
        if self.items.none_waits() || self.gateways.is_empty() || turn.now < self.place_from {
            return;
        }
        for job in self.jobs_by_rank(turn.state) {
            if !self.engines.has_free_slots() {
                return;
            }
            self.place_job(&job, turn);
        }
    }

    /// Jobs with waiting items: those of the most urgent tenants first, then in the order of their
    /// acceptance.
    fn jobs_by_rank(&self, state: &CoordinationState) -> Vec<JobId> {
        let mut jobs = self.items.waiting_jobs();
        if !self.ranks.is_empty() {
            jobs.sort_by_key(|job| self.job_rank(job, state));
        }
        jobs
    }

    fn job_rank(&self, id: &JobId, state: &CoordinationState) -> u8 {
        let route = self.route_of_job(id, state);
        let of_route = route.map_or(u8::MAX, |route| route.priority);
        self.ranks.rank(id.tenant(), of_route)
    }

    /// The route of a job's first item.
    pub(super) fn route_of_job(
        &self,
        id: &JobId,
        state: &CoordinationState,
    ) -> Option<&Arc<Route>> {
        let job = &state.jobs().get(id)?.submission;
        self.routes.find(&job.host, &job.items.first()?.path)
    }

    /// Places waiting items of one job while any engine takes such ones.
    fn place_job(&mut self, id: &JobId, turn: &mut Turn<'_>) {
        let mut full_services = BTreeSet::new();
        let mut last = None;
        while let Some(rank) = self.items.next_waiting(id, last) {
            last = Some(rank);
            let key = ItemKey {
                job: id.clone(),
                index: rank.index,
            };
            let placed = self.place(key, &full_services, turn);
            if let Err(NotPlaced::NoEngine { service }) = placed {
                full_services.insert(service);
                if full_services.len() >= self.engines.services_with_free_slots() {
                    return;
                }
            }
        }
    }

    /// Places an item, unless its service is known to be full.
    fn place(
        &mut self,
        key: ItemKey,
        full_services: &BTreeSet<ServiceName>,
        turn: &mut Turn<'_>,
    ) -> Result<(), NotPlaced> {
        let candidate = self
            .candidate(turn.now, key, turn.state)
            .ok_or(NotPlaced::NotNow)?;
        if full_services.contains(&candidate.service) {
            return Err(NotPlaced::NotNow);
        }
        let Some(instance) = self.choose_engine(turn.now, &candidate, turn.state) else {
            // One that it is to avoid may take others.
            let progress = &candidate.progress;
            if progress.avoided(turn.now).is_some() || is_suspect(progress, turn.state) {
                return Err(NotPlaced::NotNow);
            }
            let service = candidate.service;
            return Err(NotPlaced::NoEngine { service });
        };
        let engine = self.engines.get(&instance);
        let gateway = gateway_for_item(&self.gateways, engine).ok_or(NotPlaced::NotNow)?;
        self.items.take(&candidate.key);
        self.assign(gateway, &instance, &candidate, turn);
        Ok(())
    }

    /// The item, if it may run now.
    fn candidate<'a>(
        &self,
        now: Instant,
        key: ItemKey,
        state: &'a CoordinationState,
    ) -> Option<Candidate<'a>> {
        let job = state.jobs().get(&key.job)?;
        let item = job.submission.items.get(key.index as usize)?;
        let known = self.items.progress(&key)?;
        if known.not_before.is_some_and(|earliest| now < earliest) {
            return None;
        }
        let route = self.routes.find(&job.submission.host, &item.path)?;
        let service = route
            .target_for(u64::from(crc32fast::hash(item.group.as_bytes())))?
            .clone();
        let mut progress = known.clone();
        // The log may hold more than this leader was told: what it had from a gateway that is gone.
        if let Some(durable) = job.kept(key.index)
            && durable.events > progress.kept.events
        {
            progress.kept = durable.clone();
        }
        if !progress.kept.is_made_since(job.submission.min_version) {
            progress.kept = ItemText::default();
        }
        Some(Candidate {
            key,
            job,
            item,
            route: Arc::clone(route),
            service,
            progress,
        })
    }

    fn choose_engine(
        &self,
        now: Instant,
        candidate: &Candidate<'_>,
        state: &CoordinationState,
    ) -> Option<InstanceId> {
        let model = candidate.model();
        let progress = &candidate.progress;
        let min_version = candidate.job.submission.min_version;
        let home = self
            .items
            .group_home(&candidate.job.submission.id, &candidate.item.group)
            .filter(|_| self.settings.policy.prompt_homes);
        let best_pace = self.engines.best_pace(&candidate.service).unwrap_or(1.0);
        let newest = model.and_then(|model| state.named_versions().get(model).copied());
        let avoid = progress.avoided(now);
        let is_suspect = |progress: &Progress| is_suspect(progress, state);
        let has_to_be_apart = is_suspect(progress);
        let is_apart = |instance: &InstanceId| {
            !has_to_be_apart || !self.items.has_suspect_on(instance, is_suspect)
        };
        let at_home = home
            .filter(|home| avoid != Some(*home))
            .and_then(|home| Some((home, self.engines.get(home)?)))
            .filter(|(_, engine)| engine.record.service == candidate.service)
            .filter(|(_, engine)| engine.takes(now, model, min_version))
            .filter(|(home, _)| is_apart(home));
        let query = EngineQuery {
            service: &candidate.service,
            model,
            min_version,
            look: Look::Any,
        };
        self.engines
            .best_of_each(query, |instance, engine| {
                avoid != Some(instance)
                    && engine.takes(now, model, min_version)
                    && is_apart(instance)
            })
            .into_iter()
            .chain(at_home)
            .map(|(instance, engine)| {
                let version = engine.version_of_any(model);
                let cost = if progress.is_long && self.settings.policy.long_items_first {
                    let is_newest = version >= newest.unwrap_or(0);
                    long_cost(engine, best_pace, is_newest)
                } else {
                    let is_spare = version > min_version;
                    short_cost(engine, best_pace, home == Some(instance), is_spare)
                };
                (cost + version_cost(model, progress, version), instance)
            })
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, instance)| instance.clone())
    }

    fn assign(
        &mut self,
        gateway: GatewayId,
        instance: &InstanceId,
        candidate: &Candidate<'_>,
        turn: &mut Turn<'_>,
    ) {
        let Some(engine) = self.engines.get(instance) else {
            return;
        };
        let (job, item) = (candidate.job, candidate.item);
        let version = engine.version_of_any(candidate.model());
        let (kept, durable) = start_of(candidate, version);
        let expected_version = candidate
            .route
            .single_version
            .then(|| kept.versions.last().copied())
            .flatten();
        let assignment = self.items.next_assignment();
        let decision = Decision::ItemAssigned {
            assignment,
            job: job.submission.id.clone(),
            item: item.id.clone(),
            instance: instance.clone(),
            engine_running: engine.running + 1,
            engine_version: version,
            engine_pace_us: engine.pace.map(|pace| (pace * 1000.0) as u64),
            is_long: candidate.progress.is_long,
            gateway,
            after_event: kept.last_event,
        };
        let message = CoordinatorMessage::Assign(Box::new(ItemAssignment {
            assignment,
            item: candidate.key.clone(),
            request: item.id.clone(),
            instance: instance.clone(),
            address: engine.record.address,
            host: job.submission.host.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: item.body.clone(),
            kept,
            durable,
            expected_version,
            priority: self
                .ranks
                .rank(job.submission.id.tenant(), candidate.route.priority),
            scorer: item.scorer.as_deref().cloned(),
            is_long: candidate.progress.is_long,
        }));
        turn.send(gateway, message);
        turn.log(decision);
        let (key, model) = (candidate.key.clone(), candidate.model().cloned());
        let running = Running::new(turn.now, key, gateway, instance.clone(), model);
        self.start(assignment, running);
        self.items
            .set_group_home(&job.submission.id, &item.group, instance);
    }

    /// A try begins, or is known to be under way.
    pub(crate) fn start(&mut self, assignment: crate::AssignmentId, running: Running) {
        self.engines.started(&running.instance, running.gateway);
        self.gateways.item_started(running.gateway);
        self.items.start(assignment, running);
    }
}

/// Whether several servers have ended under an item. Such items run on engines apart from each
/// other: the next ending then tells which of them is the cause.
fn is_suspect(progress: &Progress, state: &CoordinationState) -> bool {
    let request = progress.request;
    request.is_some_and(|request| crash_evidence::is_suspect(state.evidence().ended_under(request)))
}

/// With which text a try begins. Where versions must not mix, an engine at another one begins anew.
fn start_of(candidate: &Candidate<'_>, version: u64) -> (ItemText, DurablePrefix) {
    let kept = &candidate.progress.kept;
    let kept_version = kept.versions.last().copied();
    let would_mix = kept_version.is_some_and(|kept| kept != version);
    let durable = candidate.job.kept(candidate.key.index);
    let durable = durable.map(ItemText::extent).unwrap_or_default();
    if candidate.route.single_version && would_mix {
        return (ItemText::default(), durable);
    }
    (kept.clone(), durable)
}

/// What a long item costs on an engine: the time that it takes there, and the standing still while
/// the engine loads weights that it still lacks.
fn long_cost(engine: &Engine, best_pace: f64, is_newest: bool) -> f64 {
    /// What a load to come costs: 0.9 s of the 7 to 9 s that the longest texts take.
    const LOAD_TO_COME: f64 = 0.1;
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let load_to_come = if is_newest { 0.0 } else { LOAD_TO_COME };
    pace * slow_down(engine.running) + load_to_come
}

/// What a short item costs on an engine: mostly that it slows others down.
fn short_cost(engine: &Engine, best_pace: f64, is_home: bool, is_spare: bool) -> f64 {
    /// What each item that runs there counts.
    const LOAD: f64 = 0.04;
    /// What the shared part of a prompt is worth that need not be read again.
    const HOME: f64 = 0.06;
    /// What it costs to take a slot on an engine with newer weights than the item needs: few engines
    /// have them yet, and the next job can run on no other. As much as three items that run there.
    const NEWER_THAN_NEEDED: f64 = 0.12;
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let home = if is_home { HOME } else { 0.0 };
    let newer = if is_spare { NEWER_THAN_NEEDED } else { 0.0 };
    pace.sqrt() + LOAD * engine.running as f64 + newer - home
}

/// What it costs to go on with an item under another version than before.
fn version_cost(model: Option<&ModelName>, progress: &Progress, version: u64) -> f64 {
    /// What another version costs: a little more than one item that runs there, so that it decides
    /// only between engines that are as good otherwise.
    const OTHER_VERSION: f64 = 0.05;
    let last = progress.kept.versions.last().copied();
    let goes_on = model.is_none() || last.is_none_or(|last| last == version);
    if goes_on { 0.0 } else { OTHER_VERSION }
}
