//! Configuration of one member.

use crate::limits::Limits;
use crate::timing::Timing;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_spool::SnapshotSpool;

/// Injected faults, enabled only in tests to verify that the test checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The persisted hard state omits the vote, so that a restart forgets it.
    pub vote_without_persist: bool,
    /// A follower acknowledges entries before they are durable.
    pub acknowledge_without_persist: bool,
    /// A leader treats the lease as held for as long as it believes that it is the leader.
    pub skip_lease_check: bool,
    /// A member that restarts with an empty disk votes under its old id.
    pub empty_disk_votes: bool,
    /// A leader commits entries that are durable only on itself.
    pub commit_without_quorum: bool,
    /// A leader commits entries of earlier terms by counting replicas.
    pub commit_previous_term: bool,
}

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Id of this member.
    pub id: ReplicaId,
    /// The founding membership; set only if the data directory was formatted for one of these
    /// members.
    pub bootstrap: Option<Membership>,
    /// Random generator for election timeouts.
    pub random: ChaCha8Rng,
    /// Durations of elections and leases.
    pub timing: Timing,
    /// Limits of message sizes, messages in flight, and memory.
    pub limits: Limits,
    /// Injected faults; all disabled outside tests.
    pub faults: Faults,
    /// Storage for partially received snapshots.
    pub spool: Arc<dyn SnapshotSpool>,
}
