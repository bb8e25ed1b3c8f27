//! Gateways that connect, report what they run, and go.

use super::decisions::expiry::gateway_lost_at;
use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::ids::GatewayId;
use crate::messages::{CoordinatorMessage, GatewayHello, GatewayStatus, RunningItem};
use crate::scoring::RunningScoring;
use std::time::Duration;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// A gateway has connected: it is asked what it runs.
    pub(super) fn on_gateway(&mut self, hello: GatewayHello, turn: &mut Turn<'_>) {
        let gateway = hello.gateway;
        let epoch = self.epoch;
        turn.send(gateway, CoordinatorMessage::Leading { epoch });
        for lost in self.gateways.connect(hello) {
            self.gateway_items_lost(lost);
        }
        self.scoring_gateway_lost(turn.now, gateway);
    }

    /// A gateway says how it is.
    pub(super) fn on_gateway_status(&mut self, gateway: GatewayId, status: GatewayStatus) {
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.status = status;
        }
    }

    /// Gateways that were away for too long are lost with all that they ran.
    pub(super) fn away_gateways_lost(&mut self, now: Instant) {
        for lost in self.gateways.take_lost(now) {
            self.gateway_items_lost(lost);
        }
    }

    fn gateway_items_lost(&mut self, gateway: GatewayId) {
        for instance in self.items.remove_gateway(gateway) {
            self.engines.item_ended(&instance);
        }
    }

    /// A gateway reports all that it runs.
    pub(super) fn on_running(
        &mut self,
        gateway: GatewayId,
        items: Vec<RunningItem>,
        scorings: Vec<RunningScoring>,
        turn: &mut Turn<'_>,
    ) {
        let Some(is_first) = self.gateways.record_report(gateway) else {
            return;
        };
        // One that was welcomed twice reports twice, the second time without what it was given since.
        if is_first {
            self.gateway_introduced(gateway, &items);
        }
        for item in items {
            self.adopt(gateway, item, turn);
        }
        for scoring in scorings {
            self.adopt_scoring(gateway, scoring, turn);
        }
        self.place_items(turn);
    }

    /// What a gateway does not speak of in its first report waits again.
    fn gateway_introduced(&mut self, gateway: GatewayId, items: &[RunningItem]) {
        let reported = items.iter().map(|item| item.assignment).collect();
        let (kept, lost) = self.items.reconcile_gateway(gateway, &reported);
        for instance in lost {
            self.engines.item_ended(&instance);
        }
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.running = kept;
        }
    }

    /// The connection of a gateway has ended, after a silence.
    pub(super) fn on_gateway_gone(
        &mut self,
        gateway: GatewayId,
        silence: Duration,
        turn: &mut Turn<'_>,
    ) {
        let lost_at = gateway_lost_at(turn.now, silence);
        if !self.gateways.disconnect(gateway, lost_at) {
            return;
        }
        self.keep_usage_of(gateway, turn);
        self.away_gateways_lost(turn.now);
        self.scoring_gateway_lost(turn.now, gateway);
        self.place_items(turn);
        self.place_scorings(turn);
    }
}
