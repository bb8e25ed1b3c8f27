//! Gateways that are connected to this leader, and those that were a moment ago.

use crate::ids::GatewayId;
use crate::messages::{GatewayHello, GatewayStatus};
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// A gateway that is connected to this leader.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// Name of its machine.
    node: String,
    pub(crate) zone: String,
    pub(crate) status: GatewayStatus,
    /// Items that it runs.
    pub(crate) running: usize,
    /// Whether it has reported which items it runs.
    pub(crate) introduced: bool,
}

/// A gateway whose connection has ended a moment ago. Its items run on: where only the connection
/// broke, it is back with them before they could be begun again elsewhere.
struct AwayGateway {
    gateway: GatewayId,
    node: String,
    lost_at: Instant,
}

/// All gateways that may run items by this leader's word.
#[derive(Default)]
pub(crate) struct Gateways {
    connected: BTreeMap<GatewayId, Gateway>,
    away: Vec<AwayGateway>,
}

impl Gateways {
    /// A gateway has connected. Gives those that were away and are lost by it: a process that begins
    /// on a machine takes the place of the one before.
    pub(crate) fn connect(&mut self, hello: GatewayHello) -> Vec<GatewayId> {
        let gateway = Gateway {
            node: hello.node,
            zone: hello.zone,
            status: hello.status,
            running: 0,
            introduced: false,
        };
        let lost =
            self.take_away(|away| away.node == gateway.node && away.gateway != hello.gateway);
        self.connected.insert(hello.gateway, gateway);
        lost
    }

    /// The connection of a gateway has ended: it is lost from `lost_at` on. Says whether it was connected.
    pub(crate) fn disconnect(&mut self, gateway: GatewayId, lost_at: Instant) -> bool {
        let Some(known) = self.connected.remove(&gateway) else {
            return false;
        };
        self.away.push(AwayGateway {
            gateway,
            node: known.node,
            lost_at,
        });
        true
    }

    /// A gateway reports what it runs. Says whether it is the first time; `None` where it is not
    /// connected.
    pub(crate) fn introduce(&mut self, gateway: GatewayId) -> Option<bool> {
        let known = self.connected.get_mut(&gateway)?;
        let is_first = !std::mem::replace(&mut known.introduced, true);
        if is_first {
            self.away.retain(|away| away.gateway != gateway);
        }
        Some(is_first)
    }

    /// Takes out gateways that were away for too long.
    pub(crate) fn take_lost(&mut self, now: Instant) -> Vec<GatewayId> {
        self.take_away(|away| now >= away.lost_at)
    }

    fn take_away(&mut self, is_meant: impl Fn(&AwayGateway) -> bool) -> Vec<GatewayId> {
        let taken = self.away.extract_if(.., |away| is_meant(away));
        taken.map(|away| away.gateway).collect()
    }

    /// Whether none is connected.
    pub(crate) fn is_empty(&self) -> bool {
        self.connected.is_empty()
    }

    /// Those that are connected.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GatewayId, &Gateway)> {
        self.connected.iter().map(|(id, gateway)| (*id, gateway))
    }

    /// A gateway that is connected.
    pub(crate) fn get(&self, gateway: GatewayId) -> Option<&Gateway> {
        self.connected.get(&gateway)
    }

    /// A gateway that is connected.
    pub(crate) fn get_mut(&mut self, gateway: GatewayId) -> Option<&mut Gateway> {
        self.connected.get_mut(&gateway)
    }

    /// An item began to run at a gateway.
    pub(crate) fn item_started(&mut self, gateway: GatewayId) {
        if let Some(known) = self.get_mut(gateway) {
            known.running += 1;
        }
    }

    /// An item runs no longer at a gateway.
    pub(crate) fn item_ended(&mut self, gateway: GatewayId) {
        if let Some(known) = self.get_mut(gateway) {
            known.running = known.running.saturating_sub(1);
        }
    }
}
