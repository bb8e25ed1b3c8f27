//! Members and settings of test clusters.

use std::net::{Ipv4Addr, SocketAddr};
use wingshore_group::{HostConfig, Limits};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::{Member, Membership};

/// Returns a member with an address of its own.
pub fn member(id: u64) -> Member {
    let port = u16::try_from(20_000 + id % 1_000).unwrap();
    Member {
        id: ReplicaId(id),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
    }
}

/// Returns the settings of founding member `id` of `voters`, or of a member that joins later if
/// `voters` is `None`.
pub fn config(id: u64, voters: Option<u64>) -> HostConfig {
    let bootstrap = voters.map(|voters| Membership {
        voters: (1..=voters).map(member).collect(),
        learners: Vec::new(),
    });
    HostConfig {
        snapshot_every_bytes: 2_000,
        limits: Limits {
            snapshot_chunk_bytes: 64,
            retained_log_bytes: 100,
            ..Limits::default()
        },
        ..HostConfig::new(ReplicaId(id), bootstrap, 1_000 + id)
    }
}
