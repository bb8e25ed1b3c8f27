//! What a connection of a coordinator is for.

use crate::control::ControlConnection;
use std::net::SocketAddr;
use wingshore_coordination::GatewayId;
use wingshore_types::ReplicaId;

/// What a connection is for.
pub(super) enum Role {
    /// Calls of operators, trainers, servers or clients.
    Control(ControlConnection),
    /// Monitoring reads metrics.
    Metrics(ControlConnection),
    /// A process of the site has connected to the internal port.
    Link(Link),
    /// Made from here to this address of another coordinator.
    Dialed(SocketAddr),
}

/// Who is at the other end of a link; nobody until it has introduced itself.
#[derive(Default)]
pub(super) struct Link {
    pub(super) gateway: Option<GatewayId>,
    pub(super) coordinator: Option<ReplicaId>,
}
