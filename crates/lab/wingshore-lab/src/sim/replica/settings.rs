//! What a simulated replica is made with.

use crate::sim::observer::ObserverHandle;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_control::LeaderSettings;
use wingshore_group::Limits;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::{Member, Membership};

/// Deliberate faults of replicas; all off outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaFaults {
    /// Of the replicated log.
    pub consensus: wingshore_group::Faults,
    /// Of the control group.
    pub control: wingshore_control::Faults,
    /// Of ledger groups.
    pub ledger: wingshore_ledger::samples::Faults,
    /// Of claims groups.
    pub claims: wingshore_ledger::claims::Faults,
    /// A replica whose disk was lost is formatted again under its old identity.
    pub format_again: bool,
}

/// Settings of all replicas of a site.
#[derive(Clone)]
pub struct ReplicaSettings {
    /// The founding members.
    pub founding: Membership,
    /// Ledger groups, and claims groups.
    pub groups: u16,
    /// Limits of consensus messages.
    pub limits: Limits,
    /// Bytes of log between snapshots.
    pub snapshot_every_bytes: u64,
    /// Bytes of a log segment.
    pub segment_bytes: u64,
    /// Deliberate faults.
    pub faults: ReplicaFaults,
    /// Where members report.
    pub observer: ObserverHandle,
}

/// Times and limits of the control group's leader.
pub fn leader_settings() -> LeaderSettings {
    LeaderSettings {
        swap_timeout: Duration::from_secs(10),
        ..LeaderSettings::default()
    }
}

/// The founding members, who listen at these addresses.
pub fn founders(addresses: &[SocketAddr]) -> Membership {
    let members = addresses.iter().zip(1..).map(|(address, number)| Member {
        id: ReplicaId(number),
        address: *address,
    });
    Membership {
        voters: members.collect(),
        learners: Vec::new(),
    }
}

/// Where the founding member `number`, from 0, listens.
pub fn founding_address(founding: &Membership, number: usize) -> Option<SocketAddr> {
    founding.voters.get(number).map(|member| member.address)
}
