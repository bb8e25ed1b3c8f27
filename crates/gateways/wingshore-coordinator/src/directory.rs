//! Gateways that are connected to this coordinator, and which of them clients may use. A decision
//! without I/O.
//!
//! Question: which gateways does a client in a zone get? Inputs: the introductions of gateways and
//! their status reports, each 400 ms; the client's zone; how old a status may be. Rule: those that
//! are ready and were heard of lately, of the client's own zone alone where there are two at least,
//! else of all zones; at most [`MAX_ADDRESSES`]. Why: calls stay in the zone, and one gateway that
//! ends leaves the client another one. A gateway whose status is too old is left out; with none
//! left the client gets a Retry-After.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{GatewayHello, GatewayId, GatewayStatus};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Addresses in one answer at most; an answer stays within one packet or two.
const MAX_ADDRESSES: usize = 64;
/// From this many gateways in a client's own zone on, it gets only those.
const ENOUGH_IN_ZONE: usize = 2;

/// What a client learns of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayAddress {
    /// Where clients reach it.
    pub front: SocketAddr,
}

/// One gateway.
pub(crate) struct ConnectedGateway {
    pub(crate) hello: GatewayHello,
    pub(crate) connection: ConnectionId,
    pub(crate) last_reported_at: Instant,
}

/// All gateways that are connected.
#[derive(Default)]
pub(crate) struct Directory {
    gateways: BTreeMap<GatewayId, ConnectedGateway>,
}

impl Directory {
    /// A gateway has introduced itself; gives its connection before, if it had another.
    pub(crate) fn connected(
        &mut self,
        now: Instant,
        hello: GatewayHello,
        connection: ConnectionId,
    ) -> Option<ConnectionId> {
        let gateway = ConnectedGateway {
            hello,
            connection,
            last_reported_at: now,
        };
        let before = self.gateways.insert(gateway.hello.gateway, gateway);
        before
            .map(|gateway| gateway.connection)
            .filter(|before| *before != connection)
    }

    /// A gateway has reported its status.
    pub(crate) fn status_reported(&mut self, now: Instant, id: GatewayId, status: GatewayStatus) {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            gateway.last_reported_at = now;
            gateway.hello.status = status;
        }
    }

    /// A connection is gone; gives the gateway if it was its newest one.
    pub(crate) fn disconnected(
        &mut self,
        id: GatewayId,
        connection: ConnectionId,
    ) -> Option<ConnectedGateway> {
        let known = self.gateways.get(&id)?;
        if known.connection != connection {
            return None;
        }
        self.gateways.remove(&id)
    }

    /// Connections of gateways that have been silent for longer than `limit`.
    pub(crate) fn silent_connections(&self, now: Instant, limit: Duration) -> Vec<ConnectionId> {
        self.gateways
            .values()
            .filter(|gateway| now.since(gateway.last_reported_at) > limit)
            .map(|gateway| gateway.connection)
            .collect()
    }

    /// The connection of a gateway.
    pub(crate) fn connection(&self, id: GatewayId) -> Option<ConnectionId> {
        Some(self.gateways.get(&id)?.connection)
    }

    /// All gateways.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ConnectedGateway> {
        self.gateways.values()
    }

    /// Gateways for a client in `zone` that were heard of within `fresh`.
    pub(crate) fn for_client(
        &self,
        now: Instant,
        zone: &str,
        fresh: Duration,
    ) -> Vec<GatewayAddress> {
        let ready: Vec<&ConnectedGateway> = self
            .gateways
            .values()
            .filter(|gateway| {
                gateway.hello.status.ready && now.since(gateway.last_reported_at) <= fresh
            })
            .collect();
        let near = ready.iter().filter(|gateway| gateway.hello.zone == zone);
        let only_near = near.count() >= ENOUGH_IN_ZONE;
        ready
            .iter()
            .filter(|gateway| !only_near || gateway.hello.zone == zone)
            .take(MAX_ADDRESSES)
            .map(|gateway| GatewayAddress {
                front: gateway.hello.front,
            })
            .collect()
    }
}
