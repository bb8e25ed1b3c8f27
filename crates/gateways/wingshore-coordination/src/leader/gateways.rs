//! Connects, reports and disconnects of gateways.

use super::decisions::expiry::gateway_lost_at;
use super::machine::CoordinationLeader;
use super::tables::item::Attempt;
use super::turn::Turn;
use crate::ids::GatewayId;
use crate::messages::{CoordinatorMessage, GatewayHello, GatewayStatus, RunningItem};
use crate::scoring::RunningScoring;
use std::time::Duration;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Handles a gateway that connected: announces this leader, which asks the gateway to report
    /// what it runs.
    pub(super) fn on_gateway_connected(&mut self, hello: GatewayHello, turn: &mut Turn<'_>) {
        let gateway = hello.gateway;
        let epoch = self.epoch;
        turn.send(gateway, CoordinatorMessage::Leading { epoch });
        for lost in self.gateways.connect(hello) {
            self.requeue_items_of_gateway(turn.now, lost);
        }
        self.requeue_scorings_of_gateway(turn.now, gateway);
    }

    /// Records the status that a gateway reports.
    pub(super) fn on_gateway_status(&mut self, gateway: GatewayId, status: GatewayStatus) {
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.status = status;
        }
    }

    /// Gives up gateways that were disconnected for too long, with all attempts that they ran.
    pub(super) fn expire_disconnected_gateways(&mut self, now: Instant) {
        for lost in self.gateways.take_lost(now) {
            self.requeue_items_of_gateway(now, lost);
        }
    }

    fn requeue_items_of_gateway(&mut self, now: Instant, gateway: GatewayId) {
        let lost = self.items.remove_gateway(gateway);
        self.count_lost_attempts(now, &lost);
    }

    fn count_lost_attempts(&mut self, now: Instant, lost: &[Attempt]) {
        for attempt in lost {
            self.correct_share(now, attempt);
            self.engines.item_ended(&attempt.instance);
        }
    }

    /// Handles a gateway's report of everything that it runs.
    pub(super) fn on_gateway_running(
        &mut self,
        gateway: GatewayId,
        items: Vec<RunningItem>,
        scorings: Vec<RunningScoring>,
        turn: &mut Turn<'_>,
    ) {
        let Some(is_first) = self.gateways.record_report(gateway) else {
            return;
        };
        // A gateway to which this leader was announced twice reports twice; the second report lacks
        // the items assigned since the first.
        if is_first {
            self.on_first_report(turn.now, gateway, &items);
        }
        for item in items {
            self.adopt_attempt(gateway, item, turn);
        }
        for scoring in scorings {
            self.adopt_scoring(gateway, scoring, turn);
        }
        self.place_items(turn);
    }

    /// Queues those items of a gateway again that are missing in its first report.
    fn on_first_report(&mut self, now: Instant, gateway: GatewayId, items: &[RunningItem]) {
        let reported = items.iter().map(|item| item.assignment).collect();
        let (kept, lost) = self.items.reconcile_gateway(gateway, &reported);
        self.count_lost_attempts(now, &lost);
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.running = kept;
        }
    }

    /// Handles the loss of a gateway's connection; `silence` is the time since its last message.
    pub(super) fn on_gateway_disconnected(
        &mut self,
        gateway: GatewayId,
        silence: Duration,
        turn: &mut Turn<'_>,
    ) {
        let lost_at = gateway_lost_at(turn.now, silence);
        if !self.gateways.disconnect(gateway, lost_at) {
            return;
        }
        self.store_usage_of(gateway, turn);
        self.expire_disconnected_gateways(turn.now);
        self.requeue_scorings_of_gateway(turn.now, gateway);
        self.place_items(turn);
        self.place_scorings(turn);
    }
}
