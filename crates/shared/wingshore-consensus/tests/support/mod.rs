//! An in-memory test cluster with a simulated network, disks, clocks and checks.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod chaos;
pub mod checker;
pub mod cluster;
pub mod counted;
pub mod disk;
pub mod node;
pub mod transfer;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingshore_consensus::{Limits, Timing};
use wingshore_types::ReplicaId;
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::membership::{Member, Membership};

/// Returns the timing of all test clusters.
pub fn timing() -> Timing {
    Timing {
        election_timeout: Duration::from_millis(500),
        election_spread: Duration::from_millis(500),
        heartbeat_interval: Duration::from_millis(50),
        lease: Duration::from_millis(450),
        drift: Permille(20),
    }
}

/// Returns limits so small that tests reach every one of them.
pub fn small_limits() -> Limits {
    Limits {
        append_bytes: 64,
        in_flight_messages: 3,
        in_flight_bytes: 256,
        snapshot_chunk_bytes: 24,
        snapshot_chunks_in_flight: 2,
        retained_log_bytes: 128,
        cached_log_bytes: 192,
        apply_bytes: 96,
    }
}

/// Returns a member with a unique address.
pub fn member(id: u64) -> Member {
    let port = u16::try_from(10_000 + id % 1_000).unwrap();
    Member {
        id: ReplicaId(id),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
    }
}

/// Returns a membership with the voters 1 to `voters`.
pub fn founders(voters: u64) -> Membership {
    Membership {
        voters: (1..=voters).map(member).collect(),
        learners: Vec::new(),
    }
}
