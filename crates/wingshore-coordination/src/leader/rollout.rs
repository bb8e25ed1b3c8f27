//! Bringing engines to the versions that trainers named.
//!
//! One machine gives orders at a time. A new leader claims that in the log before its first
//! order; where another machine held it before, only after
//! [`LeaderSettings::order_handover`](super::LeaderSettings::order_handover). Orders carry the
//! leadership as their fence and the engine's count of orders, so that one that is carried out
//! late does nothing.

use super::engines::Engine;
use super::{CoordinationLeader, Decision, Effect, Outputs, Waiter, log};
use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::messages::ViewChange;
use crate::registry::ModelVersion;
use crate::state::{Command, CoordinationState, OrderHolder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wingshore_types::machine::LeaderOutput;
use wingshore_types::{Epoch, Instant};

/// Looks without an answer, or orders without effect, after which an engine is left alone.
const MOST_TRIES: u32 = 6;
/// An engine that was left alone is tried again after this many report intervals.
const LEFT_ALONE_INTERVALS: u32 = 20;

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The engine.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// Name of the machine that gives the order.
    pub holder: String,
    /// Its leadership; engines refuse lower ones.
    pub fence: Epoch,
    /// Orders that the engine had taken when it was looked at.
    pub expected_sequence: u64,
    /// Whether runs go on under the new version, rather than end first.
    pub keep_running: bool,
}

/// How an engine stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Its models and their versions.
    pub models: Vec<ModelVersion>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken.
    pub sequence: u64,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Accepted,
    /// It holds already.
    AlreadyHeld,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// A higher fence was seen.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// No answer: it may be done, or be done later.
    Unknown,
}

/// How far the loading of one engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It was asked how it stands, at this time.
    Asked(Instant),
    /// It was given an order, at this time.
    Ordered(Instant),
    /// It is to be looked at from this time on.
    LookFrom(Instant),
    /// It does not answer: nothing before this time.
    LeftAlone(Instant),
}

#[derive(Clone, Debug)]
struct Load {
    model: ModelName,
    version: u64,
    phase: Phase,
    tries: u32,
}

/// All loading that is under way.
#[derive(Default)]
pub(crate) struct Rollout {
    claim_at: Option<Instant>,
    may_order: bool,
    loads: BTreeMap<InstanceId, Load>,
    /// The model that each engine is kept up to date with, where a service has several.
    homes: BTreeMap<InstanceId, ModelName>,
}

impl Rollout {
    /// The claim is committed.
    pub(crate) fn may_order(&mut self) {
        self.may_order = true;
    }

    fn active(&self) -> usize {
        self.loads
            .values()
            .filter(|load| !matches!(load.phase, Phase::LeftAlone(_)))
            .count()
    }
}

impl CoordinationLeader {
    pub(crate) fn begin_rollout(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let holder = state.order_holder();
        let is_own = holder.is_none_or(|holder| holder.node == self.settings.node);
        let wait = if is_own {
            std::time::Duration::ZERO
        } else {
            self.settings.order_handover
        };
        self.rollout.claim_at = Some(now + wait);
        self.drive_rollout(now, state, out);
    }

    /// Claims, looks and orders what is due.
    pub(crate) fn drive_rollout(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if self.rollout.claim_at.is_some_and(|at| now >= at) {
            self.rollout.claim_at = None;
            let holder = OrderHolder {
                node: self.settings.node.clone(),
                epoch: self.epoch,
            };
            self.propose(Command::HoldOrders(holder), Waiter::Orders, out);
        }
        if !self.rollout.may_order || state.named_versions().is_empty() {
            return;
        }
        self.drop_finished_loads(state);
        self.continue_loads(now, out);
        self.choose_homes(state);
        self.begin_loads(now, state, out);
    }

    fn drop_finished_loads(&mut self, state: &CoordinationState) {
        let servers = state.servers();
        let engines = &mut self.engines;
        self.rollout.loads.retain(|instance, load| {
            let server = servers.get(instance).filter(|server| !server.draining);
            let reached = engines
                .get(instance)
                .is_some_and(|engine| engine.version_of(&load.model) >= load.version);
            let keep = server.is_some() && !reached;
            if !keep && let Some(engine) = engines.get_mut(instance) {
                engine.loading = None;
            }
            keep
        });
    }

    fn continue_loads(&mut self, now: Instant, out: &mut Outputs) {
        let timeout = self.settings.engine_timeout;
        let interval = self.settings.report_interval;
        let mut look_at = Vec::new();
        for (instance, load) in &mut self.rollout.loads {
            let is_due = match load.phase {
                Phase::LookFrom(from) => now >= from,
                Phase::Asked(at) | Phase::Ordered(at) => now.since(at) >= timeout,
                Phase::LeftAlone(_) => false,
            };
            if !is_due {
                continue;
            }
            if !matches!(load.phase, Phase::LookFrom(_)) {
                load.tries += 1;
            }
            if load.tries > MOST_TRIES {
                load.phase = Phase::LeftAlone(now + interval * LEFT_ALONE_INTERVALS);
                continue;
            }
            load.phase = Phase::Asked(now);
            look_at.push(instance.clone());
        }
        self.rollout
            .loads
            .retain(|_, load| !matches!(load.phase, Phase::LeftAlone(until) if now >= until));
        for instance in look_at {
            self.ask_report(&instance, out);
        }
    }

    fn ask_report(&self, instance: &InstanceId, out: &mut Outputs) {
        if let Some(engine) = self.engines.get(instance) {
            let effect = Effect::AskReport {
                instance: instance.clone(),
                address: engine.record.address,
            };
            out.push(LeaderOutput::Effect(effect));
        }
    }

    fn begin_loads(&mut self, now: Instant, state: &CoordinationState, out: &mut Outputs) {
        let mut behind: Vec<(u64, InstanceId, ModelName, u64)> = self
            .engines
            .iter()
            .filter(|(instance, engine)| {
                !engine.record.draining && !self.rollout.loads.contains_key(*instance)
            })
            .filter_map(|(instance, engine)| self.lag(instance, engine, state))
            .collect();
        behind.sort_by_key(|(lag, instance, ..)| (std::cmp::Reverse(*lag), instance.clone()));
        for (_, instance, model, version) in behind {
            if self.rollout.active() >= self.settings.concurrent_loads {
                return;
            }
            let phase = Phase::Asked(now);
            self.ask_report(&instance, out);
            let load = Load {
                model,
                version,
                phase,
                tries: 0,
            };
            self.rollout.loads.insert(instance, load);
        }
    }

    /// How far an engine is behind with the model it is kept up to date with.
    fn lag(
        &self,
        instance: &InstanceId,
        engine: &Engine,
        state: &CoordinationState,
    ) -> Option<(u64, InstanceId, ModelName, u64)> {
        let home = self.rollout.homes.get(instance);
        let candidates = engine
            .record
            .models
            .iter()
            .filter(|entry| home.is_none_or(|home| entry.model == *home));
        candidates
            .filter_map(|entry| {
                let named = *state.named_versions().get(&entry.model)?;
                let lag = named.checked_sub(entry.version).filter(|lag| *lag > 0)?;
                Some((lag, instance.clone(), entry.model.clone(), named))
            })
            .max_by_key(|(lag, ..)| *lag)
    }

    /// Shares the engines of each service out among its models, by the tokens that are asked of
    /// each; an engine stays with its model as long as the shares are about right.
    fn choose_homes(&mut self, state: &CoordinationState) {
        let mut services: BTreeMap<ServiceName, Vec<InstanceId>> = BTreeMap::new();
        for (instance, engine) in self.engines.iter() {
            if engine.record.models.len() > 1 && !engine.record.draining {
                let service = engine.record.service.clone();
                services.entry(service).or_default().push(instance.clone());
            }
        }
        let demand = demand(state);
        let mut homes = BTreeMap::new();
        for instances in services.into_values() {
            self.share_out(&instances, &demand, &mut homes);
        }
        self.rollout.homes = homes;
    }

    fn share_out(
        &self,
        instances: &[InstanceId],
        demand: &BTreeMap<ModelName, u64>,
        homes: &mut BTreeMap<InstanceId, ModelName>,
    ) {
        let models = self.models_of(instances);
        if models.is_empty() {
            return;
        }
        let quotas = quotas(&models, instances.len(), demand);
        let mut counts = vec![0_usize; models.len()];
        let mut free = Vec::new();
        for instance in instances {
            let known = self.rollout.homes.get(instance);
            let place = known.and_then(|home| models.iter().position(|model| model == home));
            match place.filter(|place| counts[*place] <= quotas[*place]) {
                Some(place) => {
                    counts[place] += 1;
                    homes.insert(instance.clone(), models[place].clone());
                }
                None => free.push(instance),
            }
        }
        for instance in free {
            let deficit = |place: &usize| quotas[*place] as i64 - counts[*place] as i64;
            let Some(place) = (0..models.len()).max_by_key(deficit) else {
                return;
            };
            counts[place] += 1;
            homes.insert(instance.clone(), models[place].clone());
        }
    }

    fn models_of(&self, instances: &[InstanceId]) -> Vec<ModelName> {
        let first = instances
            .first()
            .and_then(|instance| self.engines.get(instance));
        let mut models: Vec<ModelName> = first
            .map(|engine| engine.record.models.iter())
            .into_iter()
            .flatten()
            .map(|entry| entry.model.clone())
            .collect();
        models.sort();
        models
    }

    pub(crate) fn on_reported(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        report: Option<EngineReport>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let interval = self.settings.report_interval;
        if let Some(report) = &report {
            self.note_versions(now, instance, report, state, out);
        }
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        if !matches!(load.phase, Phase::Asked(_)) {
            return;
        }
        let Some(report) = report else {
            load.tries += 1;
            load.phase = Phase::LookFrom(now + interval);
            return;
        };
        let version = report
            .models
            .iter()
            .find(|entry| entry.model == load.model)
            .map_or(0, |entry| entry.version);
        if report.busy {
            load.phase = Phase::LookFrom(now + interval);
            return;
        }
        if version >= load.version {
            return self.drive_rollout(now, state, out);
        }
        load.phase = Phase::Ordered(now);
        load.tries += 1;
        self.order(instance, report.sequence, state, out);
    }

    fn order(
        &mut self,
        instance: &InstanceId,
        sequence: u64,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(load) = self.rollout.loads.get(instance) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(instance) else {
            return;
        };
        engine.loading = Some(load.model.clone());
        let order = WeightOrder {
            instance: instance.clone(),
            address: engine.record.address,
            model: load.model.clone(),
            version: load.version,
            holder: self.settings.node.clone(),
            fence: self.epoch,
            expected_sequence: sequence,
            keep_running: !any_single_version(&engine.record.service, state),
        };
        out.push(LeaderOutput::Effect(Effect::Order(order)));
    }

    pub(crate) fn on_ordered(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        answer: OrderAnswer,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let settings = &self.settings;
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        load.phase = match answer {
            OrderAnswer::Accepted => Phase::LookFrom(now + settings.load_time),
            OrderAnswer::AlreadyHeld | OrderAnswer::Conflict => Phase::LookFrom(now),
            OrderAnswer::Unknown => Phase::LookFrom(now + settings.report_interval),
            OrderAnswer::Fenced | OrderAnswer::Refused => {
                Phase::LookFrom(now + settings.engine_timeout)
            }
        };
        let is_loading = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Unknown);
        if !is_loading && let Some(engine) = self.engines.get_mut(instance) {
            engine.loading = None;
        }
        self.drive_rollout(now, state, out);
    }

    /// An engine has told its versions: they are kept, and what waits for them is placed.
    fn note_versions(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        report: &EngineReport,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(engine) = self.engines.get_mut(instance) else {
            return;
        };
        let mut has_risen = false;
        for entry in &report.models {
            if engine.record.raise_version(&entry.model, entry.version) {
                has_risen = true;
                let decision = Decision::VersionReached {
                    instance: instance.clone(),
                    model: entry.model.clone(),
                    version: entry.version,
                };
                log(decision, out);
            }
        }
        if !report.busy {
            engine.loading = None;
        }
        if has_risen {
            let change = ViewChange::Server(engine.record.clone());
            self.change_view(change, out);
            self.place_items(now, state, out);
        }
    }
}

/// Tokens that the known jobs ask of each model.
fn demand(state: &CoordinationState) -> BTreeMap<ModelName, u64> {
    let mut demand = BTreeMap::new();
    for job in state.jobs().values() {
        let submission = &job.submission;
        if let Some(model) = &submission.model {
            let tokens: u64 = submission.items.iter().map(|item| item.tokens).sum();
            *demand.entry(model.clone()).or_default() += tokens;
        }
    }
    demand
}

/// How many of `engines` each model gets: in proportion to its demand, at least one where there
/// are enough.
fn quotas(models: &[ModelName], engines: usize, demand: &BTreeMap<ModelName, u64>) -> Vec<usize> {
    let wanted: Vec<u64> = models
        .iter()
        .map(|model| demand.get(model).copied().unwrap_or(0) + 1)
        .collect();
    let total: u64 = wanted.iter().sum();
    let mut quotas = vec![usize::from(engines >= models.len()); models.len()];
    while quotas.iter().sum::<usize>() < engines {
        let deficit = |place: &usize| {
            let fair = wanted[*place] as f64 * engines as f64 / total as f64;
            ((fair - quotas[*place] as f64) * 1000.0) as i64
        };
        let Some(place) = (0..models.len()).max_by_key(deficit) else {
            break;
        };
        quotas[place] += 1;
    }
    quotas
}

/// Whether a route to this service wants all events of a result from one version.
fn any_single_version(service: &ServiceName, state: &CoordinationState) -> bool {
    state.configuration().is_some_and(|configuration| {
        configuration.routes.iter().any(|route| {
            let leads_there = route
                .targets
                .iter()
                .any(|target| target.service == *service);
            leads_there && route.single_version
        })
    })
}
