//! Gateways that are connected to this leader, and those that disconnected recently.

use crate::ids::GatewayId;
use crate::messages::{GatewayHello, GatewayStatus};
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// A gateway that is connected to this leader.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// Name of the gateway's machine.
    node: String,
    pub(crate) zone: String,
    pub(crate) status: GatewayStatus,
    /// Number of items that it runs.
    pub(crate) running: usize,
    /// Whether it starts scorings only when they are granted.
    pub(crate) waits_for_grants: bool,
    /// Whether it has reported which items it runs.
    pub(crate) has_reported: bool,
    /// Whether it has refused an item under which servers had crashed, as earlier builds do.
    pub(crate) refuses_crashed_items: bool,
}

/// A gateway that disconnected recently. Its items keep running: if only the connection broke, the
/// gateway is back before they could be started again elsewhere.
struct DisconnectedGateway {
    gateway: GatewayId,
    node: String,
    lost_at: Instant,
}

/// All gateways that may run items of this leader.
#[derive(Default)]
pub(crate) struct Gateways {
    connected: BTreeMap<GatewayId, Gateway>,
    away: Vec<DisconnectedGateway>,
}

impl Gateways {
    /// Records that a gateway has connected. Returns the disconnected gateways that it replaces: a
    /// new process on a machine takes the place of the previous one.
    pub(crate) fn connect(&mut self, hello: GatewayHello) -> Vec<GatewayId> {
        let gateway = Gateway {
            node: hello.node,
            zone: hello.zone,
            status: hello.status,
            running: 0,
            waits_for_grants: false,
            has_reported: false,
            refuses_crashed_items: false,
        };
        let lost =
            self.take_away(|away| away.node == gateway.node && away.gateway != hello.gateway);
        self.connected.insert(hello.gateway, gateway);
        lost
    }

    /// Records that a gateway has disconnected and counts as lost from `lost_at` on. Returns
    /// whether it was connected.
    pub(crate) fn disconnect(&mut self, gateway: GatewayId, lost_at: Instant) -> bool {
        let Some(known) = self.connected.remove(&gateway) else {
            return false;
        };
        self.away.push(DisconnectedGateway {
            gateway,
            node: known.node,
            lost_at,
        });
        true
    }

    /// Records that a gateway has reported what it runs. Returns whether this was its first report;
    /// `None` if it is not connected.
    pub(crate) fn record_report(&mut self, gateway: GatewayId) -> Option<bool> {
        let known = self.connected.get_mut(&gateway)?;
        let is_first = !std::mem::replace(&mut known.has_reported, true);
        if is_first {
            self.away.retain(|away| away.gateway != gateway);
        }
        Some(is_first)
    }

    /// Removes and returns the gateways that have been disconnected for too long.
    pub(crate) fn take_lost(&mut self, now: Instant) -> Vec<GatewayId> {
        self.take_away(|away| now >= away.lost_at)
    }

    fn take_away(&mut self, is_selected: impl Fn(&DisconnectedGateway) -> bool) -> Vec<GatewayId> {
        let taken = self.away.extract_if(.., |away| is_selected(away));
        taken.map(|away| away.gateway).collect()
    }

    /// Returns whether no gateway is connected.
    pub(crate) fn is_empty(&self) -> bool {
        self.connected.is_empty()
    }

    /// Iterates over the connected gateways.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GatewayId, &Gateway)> {
        self.connected.iter().map(|(id, gateway)| (*id, gateway))
    }

    /// Returns a connected gateway.
    pub(crate) fn get(&self, gateway: GatewayId) -> Option<&Gateway> {
        self.connected.get(&gateway)
    }

    /// Returns a connected gateway for changes.
    pub(crate) fn get_mut(&mut self, gateway: GatewayId) -> Option<&mut Gateway> {
        self.connected.get_mut(&gateway)
    }

    /// Records that a gateway starts scorings only when they are granted. Returns whether this was not
    /// known of it.
    pub(crate) fn record_waiting_for_grants(&mut self, gateway: GatewayId) -> bool {
        let known = self.get_mut(gateway);
        known.is_some_and(|known| !std::mem::replace(&mut known.waits_for_grants, true))
    }

    /// Returns whether a gateway starts scorings only when they are granted.
    pub(crate) fn waits_for_grants(&self, gateway: GatewayId) -> bool {
        self.get(gateway)
            .is_some_and(|known| known.waits_for_grants)
    }

    /// Records that a gateway has refused an item under which servers had crashed.
    pub(crate) fn record_refusal_of_crashed_item(&mut self, gateway: GatewayId) {
        if let Some(known) = self.get_mut(gateway) {
            known.refuses_crashed_items = true;
        }
    }

    /// Counts an item that starts at a gateway.
    pub(crate) fn item_started(&mut self, gateway: GatewayId) {
        if let Some(known) = self.get_mut(gateway) {
            known.running += 1;
        }
    }

    /// Counts an item that ended at a gateway.
    pub(crate) fn item_ended(&mut self, gateway: GatewayId) {
        if let Some(known) = self.get_mut(gateway) {
            known.running = known.running.saturating_sub(1);
        }
    }
}
