//! Roles of a coordinator's connections.

use crate::control::ControlConnection;
use std::net::SocketAddr;
use wingshore_coordination::GatewayId;
use wingshore_types::{Instant, ReplicaId};

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

/// Peer of an accepted link; the peer and the format are `None` until its hello arrives.
pub(super) struct Link {
    /// When the connection was accepted.
    pub(super) accepted_at: Instant,
    pub(super) gateway: Option<GatewayId>,
    /// The message format of the link; `None` before the peer's hello.
    pub(super) format: Option<u16>,
    pub(super) coordinator: Option<ReplicaId>,
}

impl Link {
    /// Creates the link of a peer that has not sent its hello.
    pub(super) fn new(accepted_at: Instant) -> Self {
        Self {
            accepted_at,
            gateway: None,
            format: None,
            coordinator: None,
        }
    }

    /// Returns whether the peer's hello has not arrived.
    pub(super) fn is_unknown(&self) -> bool {
        self.format.is_none()
    }
}
