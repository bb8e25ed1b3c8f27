//! Rollout of the model versions that trainers named to the engines.
//!
//! Only one machine at a time gives orders ([`super::decisions::order_rights`]). Each order carries
//! the leader's epoch as its fencing token and the number of orders that the engine has accepted,
//! so that an order that arrives late has no effect.

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

/// Minimum time between two scans of all engines that are triggered by answers, for each engine
/// beyond [`ENGINES_SCANNED_ALWAYS`]; ticks always scan. This limits the cost of answers to a
/// tenth of a core, whatever their number.
const SCAN_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(20);
/// Up to this number of engines, every answer triggers a scan, because the scan is short.
const ENGINES_SCANNED_UNTHROTTLED: usize = 100;

/// Time after a load of weights until the pace of an engine's streams is steady again.
const UNSTEADY_AFTER_LOAD: Duration = Duration::from_millis(500);

impl CoordinationLeader {
    pub(crate) fn begin_rollout(&mut self, turn: &mut Turn<'_>) {
        let (node, handover) = (&self.settings.node, self.settings.order_handover);
        let delay = claim_delay(turn.state.order_holder(), node, handover);
        self.rollout.claim_at = Some(turn.now + delay);
        self.drive_rollout(turn);
    }

    /// Starts to give orders after the claim to do so was committed.
    pub(super) fn on_orders_claimed(&mut self, turn: &mut Turn<'_>) {
        self.rollout
            .claimed(turn.now + self.settings.order_handover);
        self.drive_rollout(turn);
    }

    /// Proposes to record that this machine has held the right to give orders for the handover
    /// time.
    fn settle_orders(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.take_settled(turn.now) && !turn.state.orders_are_settled() {
            self.propose(Command::SettleOrders(self.epoch), FollowUp::Nothing, turn);
        }
    }

    /// Claims the right to give orders at once if the machine that held it is among the lost ones
    /// and the handover time need not be waited for.
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

    /// Calls [`CoordinationLeader::drive_rollout`] after an answer of one engine, at a limited
    /// rate.
    fn drive_rollout_throttled(&mut self, turn: &mut Turn<'_>) {
        let engines = self
            .engines
            .count()
            .saturating_sub(ENGINES_SCANNED_UNTHROTTLED);
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        let interval = SCAN_INTERVAL_PER_ENGINE.saturating_mul(engines);
        if self.rollout.since_scan(turn.now) >= interval {
            self.drive_rollout(turn);
        }
    }

    /// Claims the right to give orders, polls engines and starts loads, each when it is due.
    pub(crate) fn drive_rollout(&mut self, turn: &mut Turn<'_>) {
        if self.rollout.take_claim(turn.now) {
            let holder = OrderHolder {
                node: self.settings.node.clone(),
                epoch: self.epoch,
            };
            self.propose(Command::HoldOrders(holder), FollowUp::OrdersClaimed, turn);
        }
        self.settle_orders(turn);
        if !self.rollout.holds_orders() || turn.state.named_versions().is_empty() {
            return;
        }
        self.rollout.scanned(turn.now);
        self.drop_finished_loads(turn.state);
        for instance in self.rollout.on_time(turn.now) {
            self.poll_engine(&instance, turn);
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

    /// Requests the status of an engine.
    pub(super) fn poll_engine(&self, instance: &InstanceId, turn: &mut Turn<'_>) {
        if let Some(engine) = self.engines.get(instance) {
            turn.effect(Effect::PollEngine {
                instance: instance.clone(),
                address: engine.record.address,
            });
        }
    }

    /// Handles an engine's answer to a status poll, or the lack of one.
    pub(crate) fn on_engine_polled(
        &mut self,
        instance: &InstanceId,
        report: Option<EngineStatus>,
        turn: &mut Turn<'_>,
    ) {
        if let Some(report) = &report {
            self.record_versions(instance, report, turn);
        }
        let Some(load) = self.rollout.loads.get_mut(instance) else {
            return;
        };
        match load.on_report(turn.now, report.as_ref()) {
            LoadStep::Wait => {}
            LoadStep::Reached => self.drive_rollout_throttled(turn),
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
            keep_running: !requires_single_version(&engine.record.service, turn.state),
        };
        let model = Some(order.model.clone());
        self.engines.set_loading(instance, model);
        turn.effect(Effect::Order(order));
    }

    /// Handles an engine's answer to an order, or the lack of one.
    pub(crate) fn on_order_answered(
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
        self.drive_rollout_throttled(turn);
    }

    /// Records the versions that an engine reports, and places the items that waited for them.
    fn record_versions(
        &mut self,
        instance: &InstanceId,
        report: &EngineStatus,
        turn: &mut Turn<'_>,
    ) {
        let raised = self.engines.raise_versions(instance, &report.models);
        let is_any_raised = !raised.is_empty();
        for ModelVersion { model, version } in raised {
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
        if is_any_raised {
            self.place_items(turn);
        }
    }
}

/// Returns whether a route to this service requires each result to come from a single version.
fn requires_single_version(service: &ServiceName, state: &CoordinationState) -> bool {
    state.configuration().is_some_and(|configuration| {
        configuration.routes.iter().any(|route| {
            let mut targets = route.targets.iter();
            let is_target = targets.any(|target| target.service == *service);
            is_target && route.single_version
        })
    })
}
