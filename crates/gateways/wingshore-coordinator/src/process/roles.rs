//! Roles of a coordinator's connections.

use crate::control::ControlConnection;
use std::net::SocketAddr;
use wingshore_coordination::GatewayId;
use wingshore_types::ReplicaId;

/// Role of a connection.
pub(super) enum Role {
    /// Calls of operators, trainers, servers or clients.
    Control(ControlConnection),
    /// Requests of monitoring for metrics.
    Metrics(ControlConnection),
    /// A link that a process of the site opened to the internal port.
    Link(Link),
    /// A connection that this process opened to this address of another coordinator.
    Dialed(SocketAddr),
}

/// Peer of an accepted link; both fields are `None` until its hello arrives.
#[derive(Default)]
pub(super) struct Link {
    pub(super) gateway: Option<GatewayId>,
    /// The message format of the link; `None` before the peer's hello.
    pub(super) format: Option<u16>,
    pub(super) coordinator: Option<ReplicaId>,
}
