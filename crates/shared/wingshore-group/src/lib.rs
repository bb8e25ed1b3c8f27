//! Hosts one replicated state machine on one replica.
//!
//! [`Host`] owns the replicated log ([`wingshore_consensus::Raft`]), the replicated state and,
//! while this replica leads, the leader machine. It does no I/O: drivers and simulators feed it
//! [`HostInput`]s and execute its [`HostOutput`]s.

mod applying;
mod host;
mod interface;
mod leading;
mod machines;
mod membership;
mod pending;
mod snapshots;
mod stop;
mod stop_phase;

pub use host::Host;
pub use interface::{HostConfig, HostError, HostInput, HostOutput, HostReply, Leadership};
pub use machines::{MachineFactory, PrepareState};
pub use wingshore_consensus::{Faults, Limits, SnapshotSending, Timing};
