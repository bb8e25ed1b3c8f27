//! Gateways that are connected to this coordinator, and which of them clients are given. A decision
//! without I/O.
//!
//! Question: which gateways is a client in a zone given? Inputs: the hello messages of gateways and
//! their status reports, one every 400 ms; the client's zone; the largest age of a status. Rule:
//! gateways that are ready and have reported recently; only those of the client's own zone where
//! there are at least two, otherwise those of all zones; at most [`MAX_ADDRESSES`]. Why: calls stay
//! in the zone, and a client still has a gateway when one ends. A gateway whose status is too old
//! is left out; if none is left, the client is answered with a Retry-After.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{GatewayHello, GatewayId, GatewayStatus};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Largest number of addresses in one answer, which keeps it within one or two packets.
const MAX_ADDRESSES: usize = 64;
/// Number of gateways in a client's own zone from which on it is given only those.
const MIN_GATEWAYS_IN_ZONE: usize = 2;

/// Address of a gateway, as clients are given it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayAddress {
    /// Where clients reach the gateway.
    pub front: SocketAddr,
}

/// Connected gateway with its last status.
pub(crate) struct ConnectedGateway {
    pub(crate) hello: GatewayHello,
    pub(crate) connection: ConnectionId,
    pub(crate) last_reported_at: Instant,
}

/// All connected gateways.
#[derive(Default)]
pub(crate) struct Directory {
    gateways: BTreeMap<GatewayId, ConnectedGateway>,
}

impl Directory {
    /// Records the hello message of a gateway. Returns its previous connection, if that is another
    /// one.
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

    /// Records the status report of a gateway.
    pub(crate) fn status_reported(&mut self, now: Instant, id: GatewayId, status: GatewayStatus) {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            gateway.last_reported_at = now;
            gateway.hello.status = status;
        }
    }

    /// Records the end of a connection. Returns the gateway if this was its newest connection.
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

    /// Returns the connections of gateways that have not reported for longer than `limit`.
    pub(crate) fn silent_connections(&self, now: Instant, limit: Duration) -> Vec<ConnectionId> {
        self.gateways
            .values()
            .filter(|gateway| now.since(gateway.last_reported_at) > limit)
            .map(|gateway| gateway.connection)
            .collect()
    }

    /// Returns the connection of a gateway.
    pub(crate) fn connection(&self, id: GatewayId) -> Option<ConnectionId> {
        Some(self.gateways.get(&id)?.connection)
    }

    /// Returns all gateways.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ConnectedGateway> {
        self.gateways.values()
    }

    /// Returns the gateways for a client in `zone`, out of those whose last report is no older than
    /// `max_age`.
    pub(crate) fn for_client(
        &self,
        now: Instant,
        zone: &str,
        max_age: Duration,
    ) -> Vec<GatewayAddress> {
        let ready: Vec<&ConnectedGateway> = self
            .gateways
            .values()
            .filter(|gateway| {
                gateway.hello.status.ready && now.since(gateway.last_reported_at) <= max_age
            })
            .collect();
        let in_zone = ready.iter().filter(|gateway| gateway.hello.zone == zone);
        let only_in_zone = in_zone.count() >= MIN_GATEWAYS_IN_ZONE;
        ready
            .iter()
            .filter(|gateway| !only_in_zone || gateway.hello.zone == zone)
            .take(MAX_ADDRESSES)
            .map(|gateway| GatewayAddress {
                front: gateway.hello.front,
            })
            .collect()
    }
}
