//! Frames between the site's own processes: introductions, and the envelopes of messages.

use super::gateway::{GatewayHello, GatewayMessage};
use crate::ids::InstanceId;
use crate::registry::{Heartbeat, UnchangedServer};
use crate::site_time::WallTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::byte_vector;

/// A coordinator introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorHello {
    /// Its identity, bound to its data folder.
    pub id: ReplicaId,
    /// Name of its machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for the site's own processes.
    pub internal: SocketAddr,
    /// Where it listens for operators, trainers and servers.
    pub control: SocketAddr,
    /// Its time of day.
    pub wall: WallTime,
    /// How long its process has been running.
    pub up: Duration,
    /// Where the members that it knows listen for the site's own processes: one that is to join
    /// may know only some of them.
    pub members: Vec<SocketAddr>,
    /// Whom it knows to lead the group.
    pub leader: Option<KnownLeader>,
}

/// A leadership as a member knows it; the one with the highest term is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownLeader {
    /// The term.
    pub term: u64,
    /// Its leader.
    pub leader: ReplicaId,
}

/// What arrives at a coordinator's internal port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IncomingFrame {
    /// First frame of a gateway.
    Gateway(GatewayHello),
    /// A later frame of a gateway.
    FromGateway(GatewayMessage),
    /// A frame of another coordinator.
    Coordinator(CoordinatorFrame),
}

/// Frames between coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorFrame {
    /// First frame on a connection, and again from time to time.
    Hello(CoordinatorHello),
    /// A message of the replicated log.
    Consensus(#[serde(with = "byte_vector")] Vec<u8>),
    /// To the leader: servers whose heartbeats bring no news to the registry.
    Heard(Vec<UnchangedServer>),
    /// From the leader: servers that the registry does not hold.
    UnknownServers(Vec<InstanceId>),
    /// To the leader: a heartbeat that differs from what the registry holds.
    Heartbeat {
        /// Returned with the reply.
        id: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// From the leader: what came of a heartbeat that was passed on.
    HeartbeatReply {
        /// Which one.
        id: u64,
        /// What came of it.
        answer: HeartbeatAnswer,
    },
}

/// What came of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatAnswer {
    /// What it reports is durable.
    Durable,
    /// It names no server to use; says why.
    Refused(String),
    /// It may or may not take effect.
    Unknown,
}
