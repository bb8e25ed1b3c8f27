//! What a connection of a coordinator is.

use crate::control::ControlConnection;
use std::net::SocketAddr;
use wingshore_coordination::GatewayId;
use wingshore_types::ReplicaId;

/// What a connection is.
pub(super) enum Role {
    Control(ControlConnection),
    /// Of monitoring.
    Metrics(ControlConnection),
    /// Accepted on the internal port.
    Link(Link),
    /// Made to another coordinator.
    Dialed(SocketAddr),
}

#[derive(Default)]
pub(super) struct Link {
    pub(super) gateway: Option<GatewayId>,
    pub(super) coordinator: Option<ReplicaId>,
}
