//! Settings of one member.

use crate::limits::Limits;
use crate::timing::Timing;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_spool::SnapshotSpool;

/// Deliberate faults, switched on only in tests, to prove that the checks there catch them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The written hard state leaves the vote out, so that a restart forgets it.
    pub vote_without_persist: bool,
    /// A follower acknowledges entries before they are durable.
    pub acknowledge_without_persist: bool,
    /// A leader takes itself to hold the lease for as long as it believes it leads.
    pub skip_lease_check: bool,
    /// A member that came back with an empty disk votes under its old identity.
    pub empty_disk_votes: bool,
    /// A leader commits what is durable on itself alone.
    pub commit_without_quorum: bool,
    /// A leader commits entries of earlier terms by counting their copies.
    pub commit_previous_term: bool,
}

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Who this member is.
    pub id: ReplicaId,
    /// The founding members; set only where the data folder was formatted as one of them.
    pub bootstrap: Option<Membership>,
    /// Draws election timeouts.
    pub random: ChaCha8Rng,
    /// Timing of elections and leases.
    pub timing: Timing,
    /// Limits of messages.
    pub limits: Limits,
    /// Deliberate faults; all off outside tests.
    pub faults: Faults,
    /// Where snapshots are gathered while they are received.
    pub spool: Arc<dyn SnapshotSpool>,
}
