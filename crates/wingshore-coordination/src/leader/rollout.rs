//! Bringing engines to the versions that trainers named.
//!
//! One machine gives orders at a time. A new leader claims that in the log before its first
//! order; where another machine held it before, only after
//! [`LeaderSettings::order_handover`](super::LeaderSettings::order_handover). Only where engines
//! refuse lower fences, and the connection to that machine was lost, it need not wait. Orders carry
//! the leadership as their fence and the engine's count of orders, so that one that is carried out
//! late does nothing.

use super::decision_log::Decision;
use super::decisions::capacity_plan::Peak;
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::registry::ModelVersion;
use crate::state::{Command, CoordinationState, OrderHolder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Epoch, Instant};

/// Time between further looks at an engine that loads. Not measured.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// An order or look without an answer is over after this time. Not measured.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Looks without an answer, or orders without effect, after which an engine is left alone.
const MOST_TRIES: u32 = 6;
/// An engine that was left alone is tried again after this many report intervals.
const LEFT_ALONE_INTERVALS: u32 = 20;

/// After a look at all engines for loads, answers of single ones bring on the next look only after
/// this time for each engine beyond [`ENGINES_LOOKED_AT_ALWAYS`]; a tick always does. A look takes
/// 0.5 to 2 us an engine: so that answers cost at most a tenth of a core, whatever their number.
const LOOK_INTERVAL_OF_AN_ENGINE: Duration = Duration::from_micros(20);
/// So many engines are looked at after each answer: that takes 0.2 ms.
const ENGINES_LOOKED_AT_ALWAYS: usize = 100;

/// Streams of an engine that has loaded weights are steady again after this time.
const AFTER_LOAD: Duration = Duration::from_millis(500);

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

impl OrderAnswer {
    /// The answer in a word.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyHeld => "already_held",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
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
    /// When the orders of this leadership count as settled.
    settle_at: Option<Instant>,
    loads: BTreeMap<InstanceId, Load>,
    /// When all engines were last looked at for loads.
    looked_at: Instant,
    /// The most items of each model that were open at once lately.
    peaks: BTreeMap<ModelName, Peak>,
}

impl Rollout {
    /// The claim is committed.
    pub(crate) fn may_order(&mut self, settle_at: Instant) {
        self.may_order = true;
        self.settle_at = Some(settle_at);
    }

    /// Whether this machine may act: its claim is committed, and the time of the holder before is
    /// over.
    pub(super) fn holds_orders(&self) -> bool {
        self.may_order
    }

    /// The model whose weights an engine is to load.
    pub(super) fn model_loaded_by(&self, instance: &InstanceId) -> Option<&ModelName> {
        self.loads.get(instance).map(|load| &load.model)
    }

    /// An engine is to load a version: it is looked at first.
    pub(super) fn begin_load(
        &mut self,
        now: Instant,
        instance: InstanceId,
        model: ModelName,
        version: u64,
    ) {
        let load = Load {
            model,
            version,
            phase: Phase::Asked(now),
            tries: 0,
        };
        self.loads.insert(instance, load);
    }

    /// The most items of a model that were open at once lately.
    pub(super) fn peak_of(&mut self, model: &ModelName) -> &mut Peak {
        self.peaks.entry(model.clone()).or_default()
    }

    /// Engines that are loading.
    pub(super) fn active(&self) -> usize {
        self.loads
            .values()
            .filter(|load| !matches!(load.phase, Phase::LeftAlone(_)))
            .count()
    }
}

impl CoordinationLeader {
    pub(crate) fn begin_rollout(&mut self, turn: &mut Turn<'_>) {
        let holder = turn.state.order_holder();
        let is_own = holder.is_none_or(|holder| holder.node == self.settings.node);
        let wait = if is_own {
            Duration::ZERO
        } else {
            self.settings.order_handover
        };
        self.rollout.claim_at = Some(turn.now + wait);
        self.drive_rollout(turn);
    }

    /// The claim is committed: this machine gives orders from here on.
    pub(super) fn orders_held(&mut self, turn: &mut Turn<'_>) {
        self.rollout
            .may_order(turn.now + self.settings.order_handover);
        self.drive_rollout(turn);
    }

    /// Notes in the log that this machine has held orders for the time of a handover.
    fn settle_orders(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.settle_at.is_none_or(|at| turn.now < at) {
            return;
        }
        self.rollout.settle_at = None;
        if !turn.state.orders_are_settled() {
            self.propose(Command::SettleOrders(self.epoch), FollowUp::Nothing, turn);
        }
    }

    /// Machines have gone out of touch. Where the one that gave orders before is among them, its
    /// leadership ended with a loss that all sides know of: nothing more is to come from it, and
    /// engines refuse its fence once they have seen a higher one. Its time need not be waited out,
    /// unless it has held orders only since a short while: machines that fall one after the other,
    /// and come back, would take turns.
    pub(crate) fn on_coordinators_lost(&mut self, nodes: &[String], turn: &mut Turn<'_>) {
        if !self.settings.engines_check_fences || !turn.state.orders_are_settled() {
            return;
        }
        let holder = turn.state.order_holder();
        let is_lost = holder.is_some_and(|holder| nodes.contains(&holder.node));
        if is_lost && let Some(claim_at) = &mut self.rollout.claim_at {
            *claim_at = turn.now.min(*claim_at);
            self.drive_rollout(turn);
        }
    }

    /// As [`CoordinationLeader::drive_rollout`], after the answer of one engine; not too often.
    fn drive_rollout_soon(&mut self, turn: &mut Turn<'_>) {
        let engines = self
            .engines
            .count()
            .saturating_sub(ENGINES_LOOKED_AT_ALWAYS);
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        let interval = LOOK_INTERVAL_OF_AN_ENGINE.saturating_mul(engines);
        if turn.now.since(self.rollout.looked_at) >= interval {
            self.drive_rollout(turn);
        }
    }

    /// Claims, looks and orders what is due.
    pub(crate) fn drive_rollout(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.claim_at.is_some_and(|at| turn.now >= at) {
            self.rollout.claim_at = None;
            let holder = OrderHolder {
                node: self.settings.node.clone(),
                epoch: self.epoch,
            };
            self.propose(Command::HoldOrders(holder), FollowUp::Orders, turn);
        }
        self.settle_orders(turn);
        if !self.rollout.may_order || turn.state.named_versions().is_empty() {
            return;
        }
        self.rollout.looked_at = turn.now;
        self.drop_finished_loads(turn.state);
        self.continue_loads(turn);
        self.begin_loads(turn);
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
            if !keep {
                engines.set_loading(instance, None);
            }
            keep
        });
    }

    fn continue_loads(&mut self, turn: &mut Turn<'_>) {
        let mut look_at = Vec::new();
        for (instance, load) in &mut self.rollout.loads {
            let is_due = match load.phase {
                Phase::LookFrom(from) => turn.now >= from,
                Phase::Asked(at) | Phase::Ordered(at) => turn.now.since(at) >= ENGINE_TIMEOUT,
                Phase::LeftAlone(_) => false,
            };
            if !is_due {
                continue;
            }
            if !matches!(load.phase, Phase::LookFrom(_)) {
                load.tries += 1;
            }
            if load.tries > MOST_TRIES {
                load.phase = Phase::LeftAlone(turn.now + REPORT_INTERVAL * LEFT_ALONE_INTERVALS);
                continue;
            }
            load.phase = Phase::Asked(turn.now);
            look_at.push(instance.clone());
        }
        self.rollout
            .loads
            .retain(|_, load| !matches!(load.phase, Phase::LeftAlone(until) if turn.now >= until));
        for instance in look_at {
            self.ask_report(&instance, turn);
        }
    }

    pub(super) fn ask_report(&self, instance: &InstanceId, turn: &mut Turn<'_>) {
        if let Some(engine) = self.engines.get(instance) {
            let effect = Effect::AskReport {
                instance: instance.clone(),
                address: engine.record.address,
            };
            turn.effect(effect);
        }
    }

    pub(crate) fn on_reported(
        &mut self,
        instance: &InstanceId,
        report: Option<EngineReport>,
        turn: &mut Turn<'_>,
    ) {
        if let Some(report) = &report {
            self.note_versions(instance, report, turn);
        }
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        if !matches!(load.phase, Phase::Asked(_)) {
            return;
        }
        let Some(report) = report else {
            load.tries += 1;
            load.phase = Phase::LookFrom(turn.now + REPORT_INTERVAL);
            return;
        };
        let version = report
            .models
            .iter()
            .find(|entry| entry.model == load.model)
            .map_or(0, |entry| entry.version);
        if report.busy {
            load.phase = Phase::LookFrom(turn.now + REPORT_INTERVAL);
            return;
        }
        if version >= load.version {
            return self.drive_rollout_soon(turn);
        }
        load.phase = Phase::Ordered(turn.now);
        load.tries += 1;
        self.order(instance, report.sequence, turn);
    }

    fn order(&mut self, instance: &InstanceId, sequence: u64, turn: &mut Turn<'_>) {
        let Some(load) = self.rollout.loads.get(instance) else {
            return;
        };
        let Some(engine) = self.engines.get(instance) else {
            return;
        };
        let order = WeightOrder {
            instance: instance.clone(),
            address: engine.record.address,
            model: load.model.clone(),
            version: load.version,
            holder: self.settings.node.clone(),
            fence: self.epoch,
            expected_sequence: sequence,
            keep_running: !any_single_version(&engine.record.service, turn.state),
        };
        let model = Some(order.model.clone());
        self.engines.set_loading(instance, model);
        turn.effect(Effect::Order(order));
    }

    pub(crate) fn on_ordered(
        &mut self,
        instance: &InstanceId,
        answer: OrderAnswer,
        turn: &mut Turn<'_>,
    ) {
        let load_time = self.settings.load_time;
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        load.phase = match answer {
            OrderAnswer::Accepted => Phase::LookFrom(turn.now + load_time),
            OrderAnswer::AlreadyHeld | OrderAnswer::Conflict => Phase::LookFrom(turn.now),
            OrderAnswer::Unknown => Phase::LookFrom(turn.now + REPORT_INTERVAL),
            OrderAnswer::Fenced | OrderAnswer::Refused => {
                Phase::LookFrom(turn.now + ENGINE_TIMEOUT)
            }
        };
        let is_loading = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Unknown);
        if !is_loading {
            self.engines.set_loading(instance, None);
        }
        self.drive_rollout_soon(turn);
    }

    /// An engine has told its versions: they are kept, and what waits for them is placed.
    fn note_versions(&mut self, instance: &InstanceId, report: &EngineReport, turn: &mut Turn<'_>) {
        let risen = self.engines.raise_versions(instance, &report.models);
        let has_risen = !risen.is_empty();
        for ModelVersion { model, version } in risen {
            let decision = Decision::VersionReached {
                instance: instance.clone(),
                model,
                version,
            };
            turn.log(decision);
        }
        if !report.busy {
            self.engines.loaded(instance, turn.now + AFTER_LOAD);
        }
        if has_risen {
            self.place_items(turn);
        }
    }
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
