//! Bringing engines to the versions that trainers named.
//!
//! One machine gives orders at a time ([`super::decisions::order_rights`]). Orders carry the leadership
//! as their fence and the engine's count of orders, so that one that is carried out late does nothing.

use super::decision_log::Decision;
use super::decisions::load_progress::{EngineStatus, LoadStep, OrderAnswer};
use super::decisions::order_rights::{claim_delay, may_claim_at_once};
use super::interface::{Effect, WeightOrder};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::{InstanceId, ServiceName};
use crate::registry::ModelVersion;
use crate::state::{Command, CoordinationState, OrderHolder};
use std::time::Duration;

/// After a scan of all engines for loads, answers of single ones bring on the next scan only after
/// this time for each engine beyond [`ENGINES_SCANNED_ALWAYS`]; a tick always does. So answers cost
/// at most a tenth of a core, whatever their number.
const SCAN_INTERVAL_OF_AN_ENGINE: Duration = Duration::from_micros(20);
/// So many engines are scanned after each answer: their scan is short.
const ENGINES_SCANNED_ALWAYS: usize = 100;

/// Streams of an engine that has loaded weights are steady again after this time.
const UNSTEADY_AFTER_LOAD: Duration = Duration::from_millis(500);

impl CoordinationLeader {
    pub(crate) fn begin_rollout(&mut self, turn: &mut Turn<'_>) {
        let (node, handover) = (&self.settings.node, self.settings.order_handover);
        let delay = claim_delay(turn.state.order_holder(), node, handover);
        self.rollout.claim_at = Some(turn.now + delay);
        self.drive_rollout(turn);
    }

    /// The claim is committed: this machine gives orders from here on.
    pub(super) fn orders_held(&mut self, turn: &mut Turn<'_>) {
        self.rollout
            .claimed(turn.now + self.settings.order_handover);
        self.drive_rollout(turn);
    }

    /// Notes in the log that this machine has held orders for the time of a handover.
    fn settle_orders(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.take_settled(turn.now) && !turn.state.orders_are_settled() {
            self.propose(Command::SettleOrders(self.epoch), FollowUp::Nothing, turn);
        }
    }

    /// Connections to machines were lost.
    pub(crate) fn on_coordinators_lost(&mut self, nodes: &[String], turn: &mut Turn<'_>) {
        let state = turn.state;
        let may_claim = may_claim_at_once(
            state.order_holder(),
            state.orders_are_settled(),
            self.settings.engines_check_fences,
            nodes,
        );
        if may_claim && self.rollout.claim_now(turn.now) {
            self.drive_rollout(turn);
        }
    }

    /// As [`CoordinationLeader::drive_rollout`], after the answer of one engine; not too often.
    fn drive_rollout_soon(&mut self, turn: &mut Turn<'_>) {
        let engines = self.engines.count().saturating_sub(ENGINES_SCANNED_ALWAYS);
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        let interval = SCAN_INTERVAL_OF_AN_ENGINE.saturating_mul(engines);
        if self.rollout.since_scan(turn.now) >= interval {
            self.drive_rollout(turn);
        }
    }

    /// Claims, polls and orders what is due.
    pub(crate) fn drive_rollout(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.take_claim(turn.now) {
            let holder = OrderHolder {
                node: self.settings.node.clone(),
                epoch: self.epoch,
            };
            self.propose(Command::HoldOrders(holder), FollowUp::Orders, turn);
        }
        self.settle_orders(turn);
        if !self.rollout.holds_orders() || turn.state.named_versions().is_empty() {
            return;
        }
        self.rollout.scanned(turn.now);
        self.drop_finished_loads(turn.state);
        for instance in self.rollout.on_time(turn.now) {
            self.ask_report(&instance, turn);
        }
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

    /// Polls an engine.
    pub(super) fn ask_report(&self, instance: &InstanceId, turn: &mut Turn<'_>) {
        if let Some(engine) = self.engines.get(instance) {
            turn.effect(Effect::PollEngine {
                instance: instance.clone(),
                address: engine.record.address,
            });
        }
    }

    /// An engine has answered a poll, or has not.
    pub(crate) fn on_reported(
        &mut self,
        instance: &InstanceId,
        report: Option<EngineStatus>,
        turn: &mut Turn<'_>,
    ) {
        if let Some(report) = &report {
            self.note_versions(instance, report, turn);
        }
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        match load.on_report(turn.now, report.as_ref()) {
            LoadStep::Wait => {}
            LoadStep::Reached => self.drive_rollout_soon(turn),
            LoadStep::Order { sequence } => self.order(instance, sequence, turn),
        }
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

    /// An engine has answered an order, or has not.
    pub(crate) fn on_ordered(
        &mut self,
        instance: &InstanceId,
        answer: OrderAnswer,
        turn: &mut Turn<'_>,
    ) {
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        load.on_answer(turn.now, answer, self.settings.load_time);
        if !answer.may_load() {
            self.engines.set_loading(instance, None);
        }
        self.drive_rollout_soon(turn);
    }

    /// An engine has reported its versions: they are noted, and what waits for them is placed.
    fn note_versions(&mut self, instance: &InstanceId, report: &EngineStatus, turn: &mut Turn<'_>) {
        let risen = self.engines.raise_versions(instance, &report.models);
        let has_risen = !risen.is_empty();
        for ModelVersion { model, version } in risen {
            turn.log(Decision::VersionReached {
                instance: instance.clone(),
                model,
                version,
            });
        }
        if !report.busy {
            self.engines
                .loaded(instance, turn.now + UNSTEADY_AFTER_LOAD);
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
            let mut targets = route.targets.iter();
            let leads_there = targets.any(|target| target.service == *service);
            leads_there && route.single_version
        })
    })
}
