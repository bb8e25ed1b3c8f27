//! Frames between the site's own processes: hellos, and the envelopes of messages.

use super::gateway::{GatewayHello, GatewayMessage};
use crate::ids::InstanceId;
use crate::registry::{Heartbeat, UnchangedServer};
use crate::site_time::WallTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::byte_vector;

/// First message of a coordinator on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorHello {
    /// Replica identifier, bound to the data directory.
    pub id: ReplicaId,
    /// Name of the coordinator's machine.
    pub node: String,
    /// Zone of the coordinator.
    pub zone: String,
    /// Listen address for the site's own processes.
    pub internal: SocketAddr,
    /// Listen address for operators, trainers and servers.
    pub control: SocketAddr,
    /// Wall-clock time of the coordinator.
    pub wall: WallTime,
    /// Uptime of the process.
    pub up: Duration,
    /// Addresses of the known members for the site's own processes; a joining member may know only
    /// some of them.
    pub members: Vec<SocketAddr>,
    /// Leader of the group, if known.
    pub leader: Option<KnownLeader>,
}

/// A leadership as known to a member; the one with the highest term is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownLeader {
    /// Term of the group.
    pub term: u64,
    /// Leader of the term.
    pub leader: ReplicaId,
}

/// A frame received on a coordinator's internal port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IncomingFrame {
    /// First frame of a gateway.
    Gateway(GatewayHello),
    /// Subsequent frame of a gateway.
    FromGateway(GatewayMessage),
    /// A frame of another coordinator.
    Coordinator(CoordinatorFrame),
}

/// Frames between coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorFrame {
    /// First frame on a connection; repeated periodically.
    Hello(CoordinatorHello),
    /// A message of the replicated log.
    Consensus(#[serde(with = "byte_vector")] Vec<u8>),
    /// To the leader: servers whose heartbeats change nothing in the registry.
    Heard(Vec<UnchangedServer>),
    /// From the leader: servers that are not in the registry.
    UnknownServers(Vec<InstanceId>),
    /// To the leader: a heartbeat that differs from the registry's record.
    Heartbeat {
        /// Request identifier, returned with the reply.
        id: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// From the leader: the outcome of a forwarded heartbeat.
    HeartbeatReply {
        /// Request identifier of the heartbeat.
        id: u64,
        /// Outcome of the heartbeat.
        answer: HeartbeatAnswer,
    },
}

/// Outcome of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatAnswer {
    /// The reported status is durable.
    Durable,
    /// The heartbeat describes no usable server; contains the reason.
    Refused(String),
    /// The heartbeat may or may not take effect.
    Unknown,
}
