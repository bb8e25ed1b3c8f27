//! Gateways that are connected to this leader, and those that were a moment ago.

use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::ids::GatewayId;
use crate::messages::{CoordinatorMessage, GatewayHello, GatewayStatus, RunningItem};
use crate::scoring::RunningScoring;
use std::time::Duration;
use wingshore_types::Instant;

/// A new leader waits this long for gateways to tell which items they run. Not measured.
pub(super) const INTRODUCTION_TIME: Duration = Duration::from_millis(300);

/// A gateway whose connection has ended keeps its items if it is back within this time, counted from
/// when it was last heard of. A connection that was reset is back after 0.3 s.
const RETURN_GRACE: Duration = Duration::from_millis(900);

/// A gateway that is connected to this leader.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// Name of its machine.
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) status: GatewayStatus,
    pub(crate) running: usize,
    /// Whether it has told which items it runs.
    pub(crate) introduced: bool,
}

/// A gateway whose connection has ended a moment ago. Its items run on: where only the connection
/// broke, it is back with them before they could be begun again elsewhere.
pub(crate) struct AwayGateway {
    gateway: GatewayId,
    node: String,
    lost_at: Instant,
}

impl CoordinationLeader {
    pub(super) fn on_gateway(&mut self, hello: GatewayHello, turn: &mut Turn<'_>) {
        let gateway = Gateway {
            node: hello.node,
            zone: hello.zone,
            status: hello.status,
            running: 0,
            introduced: false,
        };
        let message = CoordinatorMessage::Leading { epoch: self.epoch };
        let effect = Effect::ToGateway(hello.gateway, message);
        turn.effect(effect);
        self.restarted_gateways_lost(hello.gateway, &gateway.node);
        self.gateways.insert(hello.gateway, gateway);
        self.scoring_gateway_lost(turn.now, hello.gateway);
    }

    /// A process that begins on a machine takes the place of the one before: what that ran is lost.
    fn restarted_gateways_lost(&mut self, begun: GatewayId, node: &str) {
        let is_before = |away: &AwayGateway| away.node == node && away.gateway != begun;
        let before = self.away.extract_if(.., |away| is_before(away));
        let before: Vec<GatewayId> = before.map(|away| away.gateway).collect();
        for gateway in before {
            self.items.gateway_lost(gateway, &mut self.engines);
        }
    }

    /// Gateways that were away for too long are lost with all that they ran.
    pub(super) fn away_gateways_lost(&mut self, now: Instant) {
        let lost = self.away.extract_if(.., |away| now >= away.lost_at);
        let lost: Vec<GatewayId> = lost.map(|away| away.gateway).collect();
        for gateway in lost {
            self.items.gateway_lost(gateway, &mut self.engines);
        }
    }

    pub(super) fn on_running(
        &mut self,
        gateway: GatewayId,
        (items, scorings): (Vec<RunningItem>, Vec<RunningScoring>),
        turn: &mut Turn<'_>,
    ) {
        let Some(known) = self.gateways.get_mut(&gateway) else {
            return;
        };
        // One that was welcomed twice tells twice, the second time without what it was given since.
        let is_first = !std::mem::replace(&mut known.introduced, true);
        if is_first {
            self.away.retain(|away| away.gateway != gateway);
            let told = items.iter().map(|item| item.assignment).collect();
            known.running = self.items.gateway_tells(gateway, &told, &mut self.engines);
        }
        for item in items {
            self.adopt(gateway, item, turn);
        }
        for scoring in scorings {
            self.adopt_scoring(gateway, scoring, turn);
        }
        self.place_items(turn);
    }

    pub(super) fn on_gateway_gone(
        &mut self,
        (gateway, silence): (GatewayId, Duration),
        turn: &mut Turn<'_>,
    ) {
        let Some(known) = self.gateways.remove(&gateway) else {
            return;
        };
        self.keep_usage_of(gateway, turn);
        let grace = RETURN_GRACE.saturating_sub(silence);
        self.away.push(AwayGateway {
            gateway,
            node: known.node,
            lost_at: turn.now + grace,
        });
        self.away_gateways_lost(turn.now);
        self.scoring_gateway_lost(turn.now, gateway);
        self.place_items(turn);
        self.place_scorings(turn);
    }
}
