//! Which engine runs an item, through which gateway, and what follows from its end.

use super::engines::{Engine, slow_down};
use super::items::{Progress, Rank, Running};
use super::{CoordinationLeader, Decision, Effect, Outputs, Waiter, log};
use crate::configuration::{Route, SiteConfiguration};
use crate::ids::{GatewayId, InstanceId, ItemKey, ModelName, ServiceName};
use crate::jobs::{ItemState, Job, JobItem, ListedResult};
use crate::messages::{
    AssignmentId, CoordinatorMessage, DurablePrefix, ItemAssignment, ItemOutcome, ItemText,
    NotRunReason, RunningItem,
};
use crate::routes::RouteTable;
use crate::state::{Command, CoordinationState};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::machine::LeaderOutput;

/// An item that was not run is not placed again for this long.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(30);
/// An item that failed is not placed again for this long.
const FAILED_PAUSE: Duration = Duration::from_millis(100);
/// Most items that one gateway runs at once.
const MOST_ITEMS_OF_A_GATEWAY: usize = 96;

impl CoordinationLeader {
    /// Places as many waiting items as engines and gateways take.
    pub(crate) fn place_items(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if self.items.none_waits() || self.gateways.is_empty() || now < self.place_from {
            return;
        }
        let Some(configuration) = state.configuration() else {
            return;
        };
        let routes = RouteTable::new(configuration);
        for (rank, item) in self.items.waiting() {
            let Some(job) = state.jobs().get(&item.job) else {
                self.items.take(&rank);
                continue;
            };
            self.place(now, &rank, &item, job, &routes, configuration, state, out);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one step of `place_items`")]
    fn place(
        &mut self,
        now: Instant,
        rank: &Rank,
        key: &ItemKey,
        job: &Job,
        routes: &RouteTable,
        configuration: &SiteConfiguration,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(item) = job.submission.items.get(key.index as usize) else {
            return self.items.take(rank);
        };
        let Some(progress) = self.items.progress(key) else {
            return self.items.take(rank);
        };
        if progress.not_before.is_some_and(|earliest| now < earliest) {
            return;
        }
        let host = &job.submission.host;
        let Some(route) = routes.find(host, &item.path).cloned() else {
            return;
        };
        let Some(service) = route.target_for(stable_hash(&item.group)) else {
            return;
        };
        let mut progress = progress.clone();
        // The log may hold more than this leader was told: what it had from a gateway that is gone.
        if let Some(durable) = job.kept(key.index)
            && durable.events > progress.kept.events
        {
            progress.kept = durable.clone();
        }
        let Some(instance) =
            self.choose_engine(now, service, job, item, &progress, configuration, state)
        else {
            return;
        };
        let zone = self
            .engines
            .get(&instance)
            .map(|engine| engine.record.zone.clone());
        let Some(gateway) = self.choose_gateway(zone.as_deref()) else {
            return;
        };
        self.items.take(rank);
        self.assign(
            gateway, instance, key, job, item, &route, &progress, now, out,
        );
    }

    #[expect(clippy::too_many_arguments, reason = "one step of `place`")]
    fn choose_engine(
        &self,
        now: Instant,
        service: &ServiceName,
        job: &Job,
        item: &JobItem,
        progress: &Progress,
        configuration: &SiteConfiguration,
        state: &CoordinationState,
    ) -> Option<InstanceId> {
        let model = job.submission.model.as_ref();
        let min_version = job.submission.min_version;
        let home = self.group_engine(job, item);
        let profile = configuration.service(service)?.engine.as_ref();
        let slots = profile.map_or(usize::MAX, |profile| profile.slots as usize);
        let best_pace = self.engines.best_pace(service).unwrap_or(1.0);
        self.engines
            .of_service(service)
            .filter(|(instance, _)| progress.avoid.as_ref() != Some(*instance))
            .filter(|(_, engine)| engine.takes(now, model, min_version) && engine.running < slots)
            .map(|(instance, engine)| {
                let is_home = home.as_ref() == Some(instance);
                let same_version = keeps_version(model, progress, engine.version_of_any(model));
                let is_newest = model.is_none_or(|model| {
                    let named = state.named_versions().get(model).copied();
                    engine.version_of(model) >= named.unwrap_or(0)
                });
                let cost = if progress.is_long {
                    long_cost(engine, best_pace, is_newest)
                } else {
                    short_cost(engine, best_pace, is_home)
                };
                let cost = cost + if same_version { 0.0 } else { OTHER_VERSION };
                (cost, instance)
            })
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, instance)| instance.clone())
    }

    /// The engine that most probably holds the prompt of the item's group.
    fn group_engine(&self, job: &Job, item: &JobItem) -> Option<InstanceId> {
        self.items
            .group_home(&job.submission.id, &item.group)
            .cloned()
    }

    fn choose_gateway(&self, zone: Option<&str>) -> Option<GatewayId> {
        self.gateways
            .iter()
            .filter(|(_, gateway)| gateway.introduced && gateway.status.takes_items)
            .filter(|(_, gateway)| gateway.running < MOST_ITEMS_OF_A_GATEWAY)
            .min_by_key(|(_, gateway)| {
                let far = zone != Some(gateway.zone.as_str());
                gateway.running + if far { 4 } else { 0 }
            })
            .map(|(id, _)| *id)
    }

    #[expect(clippy::too_many_arguments, reason = "one step of `place`")]
    fn assign(
        &mut self,
        gateway: GatewayId,
        instance: InstanceId,
        key: &ItemKey,
        job: &Job,
        item: &JobItem,
        route: &Route,
        progress: &Progress,
        now: Instant,
        out: &mut Outputs,
    ) {
        let Some(engine) = self.engines.get(&instance) else {
            return;
        };
        let version = engine.version_of_any(job.submission.model.as_ref());
        let kept_version = progress.kept.versions.last().copied();
        // Where versions must not mix, an engine at another one begins anew.
        let begins_anew = route.single_version && kept_version.is_some_and(|kept| kept != version);
        let (kept, durable) = if begins_anew {
            (ItemText::default(), DurablePrefix::default())
        } else {
            let durable = job.kept(key.index).map(ItemText::extent);
            (progress.kept.clone(), durable.unwrap_or_default())
        };
        let expected_version = route
            .single_version
            .then(|| kept.versions.last().copied())
            .flatten();
        let address = engine.record.address;
        let assignment = self.items.next_assignment();
        let message = CoordinatorMessage::Assign(ItemAssignment {
            assignment,
            item: key.clone(),
            request: item.id.clone(),
            instance: instance.clone(),
            address,
            host: job.submission.host.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: item.body.clone(),
            kept,
            durable,
            expected_version,
            priority: route.priority,
        });
        out.push(LeaderOutput::Effect(Effect::ToGateway(gateway, message)));
        let decision = Decision::ItemAssigned {
            assignment,
            job: job.submission.id.clone(),
            item: item.id.clone(),
            instance: instance.clone(),
            engine_running: engine.running + 1,
            engine_version: engine.version_of_any(job.submission.model.as_ref()),
            engine_pace_us: engine.pace.map(|pace| (pace * 1000.0) as u64),
            is_long: progress.is_long,
            gateway,
            after_event: progress.kept.last_event,
        };
        log(decision, out);
        self.engines.started(&instance);
        if let Some(known) = self.gateways.get_mut(&gateway) {
            known.running += 1;
        }
        self.items
            .set_group_home(&job.submission.id, &item.group, &instance);
        let running = Running {
            item: key.clone(),
            gateway,
            instance,
            seen: None,
            interrupted: false,
            heard: now,
        };
        self.items.start(assignment, running);
    }

    /// A gateway runs an item that an earlier leader assigned.
    pub(crate) fn adopt(
        &mut self,
        gateway: GatewayId,
        now: Instant,
        running: RunningItem,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let RunningItem {
            assignment,
            item,
            instance,
        } = running;
        // A gateway that was welcomed twice tells twice.
        if self.items.is_running(assignment) {
            return;
        }
        let is_open = state
            .jobs()
            .get(&item.job)
            .is_some_and(|job| !job.ended && !job.is_listed(item.index));
        let is_free = self
            .items
            .progress(&item)
            .is_some_and(|progress| progress.assignment.is_none() && !progress.ended);
        if !is_open || !is_free {
            return release(gateway, assignment, out);
        }
        self.items.take_item(&item);
        self.engines.started(&instance);
        if let Some(known) = self.gateways.get_mut(&gateway) {
            known.running += 1;
        }
        let running = Running {
            item,
            gateway,
            instance,
            seen: None,
            interrupted: false,
            heard: now,
        };
        self.items.start(assignment, running);
    }

    /// Makes events of a long item durable.
    pub(crate) fn keep_text(
        &mut self,
        assignment: AssignmentId,
        after_events: u64,
        text: ItemText,
        out: &mut Outputs,
    ) {
        let Some(item) = self.items.item_of(assignment) else {
            return;
        };
        let command = Command::KeepText {
            item,
            after_events,
            text,
        };
        self.propose(command, Waiter::Nobody, out);
    }

    /// Tries that their gateways do not speak of any more are over.
    pub(crate) fn end_silent_items(&mut self, now: Instant, out: &mut Outputs) {
        let limit = self.settings.item_silence;
        let silent: Vec<AssignmentId> = self
            .items
            .running()
            .filter(|(_, running)| now.since(running.heard) > limit)
            .map(|(assignment, _)| *assignment)
            .collect();
        for assignment in silent {
            let Some(running) = self.items.end(assignment) else {
                continue;
            };
            self.engines.ended(&running.instance);
            if let Some(known) = self.gateways.get_mut(&running.gateway) {
                known.running = known.running.saturating_sub(1);
            }
            release(running.gateway, assignment, out);
            let decision = Decision::ItemRetried {
                assignment,
                job: running.item.job.clone(),
                index: running.item.index,
                instance: running.instance,
                reason: "the gateway does not speak of it any more",
            };
            log(decision, out);
            self.items.wait(running.item);
        }
    }

    pub(crate) fn on_item_ended(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        assignment: AssignmentId,
        outcome: ItemOutcome,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(running) = self.items.end(assignment) else {
            return release(gateway, assignment, out);
        };
        if let Some(known) = self.gateways.get_mut(&gateway) {
            known.running = known.running.saturating_sub(1);
        }
        self.engines.ended(&running.instance);
        let has_ended = self
            .items
            .progress(&running.item)
            .is_none_or(|progress| progress.ended);
        match outcome {
            ItemOutcome::Finished(text) if !has_ended => {
                self.engines.succeeded(&running.instance);
                let finished = (gateway, assignment);
                self.list_success(&running.item, text, finished, out);
            }
            outcome => {
                release(gateway, assignment, out);
                if !has_ended {
                    let decision = Decision::ItemRetried {
                        assignment,
                        job: running.item.job.clone(),
                        index: running.item.index,
                        instance: running.instance.clone(),
                        reason: outcome.name(),
                    };
                    log(decision, out);
                    self.take_outcome(now, &running, outcome, state, out);
                }
            }
        }
        self.place_items(now, state, out);
    }

    fn take_outcome(
        &mut self,
        now: Instant,
        running: &Running,
        outcome: ItemOutcome,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        match outcome {
            ItemOutcome::Interrupted {
                text,
                engine_suspect,
            } => {
                if engine_suspect {
                    self.pause_engine(now, &running.instance);
                }
                if let Some(progress) = self.items.progress_mut(&running.item) {
                    progress.kept = text;
                }
                self.items.wait(running.item.clone());
            }
            ItemOutcome::NotRun(reason) => self.not_run(now, running, reason),
            ItemOutcome::Failed => self.failed(now, running, state, out),
            ItemOutcome::Impossible | ItemOutcome::Finished(_) => {
                self.abandon(
                    &running.item,
                    "the engine says that it can never be done",
                    out,
                );
            }
        }
    }

    fn pause_engine(&mut self, now: Instant, instance: &InstanceId) {
        let settings = &self.settings;
        let (first, most) = (settings.engine_pause, settings.most_engine_pause);
        self.engines.pause(now, instance, first, most);
    }

    fn not_run(&mut self, now: Instant, running: &Running, reason: NotRunReason) {
        match reason {
            NotRunReason::Unreachable => self.pause_engine(now, &running.instance),
            NotRunReason::Full | NotRunReason::Mismatch => {
                if let Some(engine) = self.engines.get_mut(&running.instance) {
                    engine.paused_until = engine.paused_until.max(now + NOT_RUN_PAUSE * 3);
                }
            }
            NotRunReason::Stopping => {}
        }
        if let Some(progress) = self.items.progress_mut(&running.item) {
            progress.not_before = Some(now + NOT_RUN_PAUSE);
        }
        self.items.wait(running.item.clone());
    }

    fn failed(
        &mut self,
        now: Instant,
        running: &Running,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let most = self.most_attempts(&running.item, state);
        let Some(progress) = self.items.progress_mut(&running.item) else {
            return;
        };
        progress.failures += 1;
        progress.not_before = Some(now + FAILED_PAUSE);
        if progress.failures >= most {
            return self.abandon(&running.item, "it failed as often as its route allows", out);
        }
        self.items.wait(running.item.clone());
    }

    fn most_attempts(&self, item: &ItemKey, state: &CoordinationState) -> u32 {
        let attempts = state.configuration().and_then(|configuration| {
            let job = state.jobs().get(&item.job)?;
            let path = &job.submission.items.get(item.index as usize)?.path;
            let routes = RouteTable::new(configuration);
            Some(routes.find(&job.submission.host, path)?.max_attempts)
        });
        attempts.unwrap_or(1).max(1)
    }

    fn list_success(
        &mut self,
        item: &ItemKey,
        text: ItemText,
        finished: (GatewayId, AssignmentId),
        out: &mut Outputs,
    ) {
        let result = ListedResult {
            index: item.index,
            state: ItemState::Succeeded,
            text: text.text,
            versions: text.versions,
        };
        self.list(item, result, Some(finished), out);
    }

    /// Gives an item up.
    pub(crate) fn abandon(&mut self, item: &ItemKey, reason: &'static str, out: &mut Outputs) {
        let decision = Decision::ItemAbandoned {
            job: item.job.clone(),
            index: item.index,
            reason,
        };
        log(decision, out);
        let result = ListedResult {
            index: item.index,
            state: ItemState::Abandoned,
            text: String::new(),
            versions: Vec::new(),
        };
        self.list(item, result, None, out);
    }

    /// Proposes a result; the gateway that made it keeps it until it is committed.
    fn list(
        &mut self,
        item: &ItemKey,
        result: ListedResult,
        finished: Option<(GatewayId, AssignmentId)>,
        out: &mut Outputs,
    ) {
        self.items.finish(item);
        let job = item.job.clone();
        let command = Command::ListResult {
            job: job.clone(),
            result,
        };
        self.propose(command, Waiter::Result { job, finished }, out);
    }
}

impl super::engines::Engine {
    fn version_of_any(&self, model: Option<&ModelName>) -> u64 {
        model.map_or(0, |model| self.version_of(model))
    }
}

/// Tells a gateway that a try is of no more use.
pub(crate) fn release(gateway: GatewayId, assignment: AssignmentId, out: &mut Outputs) {
    let message = CoordinatorMessage::Release { assignment };
    out.push(LeaderOutput::Effect(Effect::ToGateway(gateway, message)));
}

/// What it costs to go on with an item under another version than before.
const OTHER_VERSION: f64 = 0.05;

/// What a long item costs on an engine: the time that it takes there, and the standing still while
/// the engine loads weights that it still lacks.
fn long_cost(engine: &Engine, best_pace: f64, is_newest: bool) -> f64 {
    const LOAD_TO_COME: f64 = 0.1;
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let load_to_come = if is_newest { 0.0 } else { LOAD_TO_COME };
    pace * slow_down(engine.running) + load_to_come
}

/// What a short item costs on an engine: mostly that it slows others down.
fn short_cost(engine: &Engine, best_pace: f64, is_home: bool) -> f64 {
    /// What each item that runs there counts.
    const LOAD: f64 = 0.04;
    /// What the shared part of a prompt is worth that need not be read again.
    const HOME: f64 = 0.06;
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let home = if is_home { HOME } else { 0.0 };
    pace.sqrt() + LOAD * engine.running as f64 - home
}

/// Whether an engine at `version` goes on with the version that made the last event.
fn keeps_version(model: Option<&ModelName>, progress: &Progress, version: u64) -> bool {
    model.is_none()
        || progress
            .kept
            .versions
            .last()
            .is_none_or(|last| *last == version)
}

/// The same number for the same text in every process (FNV-1a).
fn stable_hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
