//! Gateways that are connected to this coordinator, and which of them are ready. A decision without
//! I/O.
//!
//! Question: which gateways can clients be directed to? Inputs: the hello messages of gateways and
//! their status reports, one every 400 ms. Rule: gateways that are ready and whose last report is no
//! older than [`MAX_GATEWAY_REPORT_AGE`]; [`gateways_for_client`] selects those for one client. Why:
//! a gateway that does not report may be lost, and a caller that is sent to it waits in vain. A
//! gateway whose status is too old is left out; if none is left, the client is answered with a
//! Retry-After.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    GatewayHello, GatewayId, GatewayStatus, ListedGateway, ReadyGateway, gateways_for_client,
};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Maximum age of a gateway's last status report for it to be listed to clients: time for three
/// reports.
const MAX_GATEWAY_REPORT_AGE: Duration = Duration::from_millis(1300);

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

    /// Returns the gateways for a client in `zone`.
    pub(crate) fn for_client(&self, now: Instant, zone: &str) -> Vec<GatewayAddress> {
        let ready: Vec<ReadyGateway<'_>> = self.ready(now).map(place).collect();
        let fronts = gateways_for_client(&ready, zone);
        fronts
            .into_iter()
            .map(|front| GatewayAddress { front })
            .collect()
    }

    /// Returns all ready gateways, as other gateways list them.
    pub(crate) fn listed(&self, now: Instant) -> BTreeMap<GatewayId, ListedGateway> {
        let ready = self.ready(now);
        ready
            .map(|gateway| (gateway.hello.gateway, list_entry(&gateway.hello)))
            .collect()
    }

    /// Returns the gateways that are ready and have reported recently.
    fn ready(&self, now: Instant) -> impl Iterator<Item = &ConnectedGateway> {
        let has_reported = move |gateway: &ConnectedGateway| {
            now.since(gateway.last_reported_at) <= MAX_GATEWAY_REPORT_AGE
        };
        let connected = self.gateways.values();
        connected.filter(move |gateway| gateway.hello.status.ready && has_reported(gateway))
    }
}

fn place(gateway: &ConnectedGateway) -> ReadyGateway<'_> {
    ReadyGateway {
        front: gateway.hello.front,
        zone: &gateway.hello.zone,
    }
}

fn list_entry(hello: &GatewayHello) -> ListedGateway {
    ListedGateway {
        gateway: hello.gateway,
        front: hello.front,
        zone: hello.zone.clone(),
    }
}
