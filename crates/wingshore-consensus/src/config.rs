//! Settings of one member.

use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_spool::SnapshotSpool;

/// Timing of elections and leases.
///
/// A follower refuses votes for `election_timeout` after it last heard from a leader. A leader
/// counts on that for `lease`, shortened by twice the drift, from when it *sent* the heartbeat
/// that a quorum acknowledged; so its lease ends before any quorum can elect another leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Shortest time without a leader before an election.
    pub election_timeout: Duration,
    /// Most by which a member waits longer, drawn anew each time. Long against the time that a
    /// vote takes, so that members seldom campaign at once; beyond that it is time without a leader.
    pub election_spread: Duration,
    /// Time between a leader's heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Length of the leader lease before the drift margin; at most `election_timeout`.
    pub lease: Duration,
    /// The most by which any member's clock runs faster or slower than true time.
    pub drift: Permille,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(500),
            election_spread: Duration::from_millis(125),
            heartbeat_interval: Duration::from_millis(50),
            lease: Duration::from_millis(450),
            drift: Permille(20),
        }
    }
}

impl Timing {
    /// The lease less the drift margin: safe as long as no clock drifts more than `drift`.
    pub fn safe_lease(&self) -> Duration {
        let margin = u32::from(self.drift.0).saturating_mul(2);
        let kept = u32::from(Permille::WHOLE.0).saturating_sub(margin);
        self.lease * kept / u32::from(Permille::WHOLE.0)
    }

    /// Checks that the values fit together.
    ///
    /// # Errors
    /// Says which value does not fit, and what is allowed.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.heartbeat_interval.is_zero() || self.heartbeat_interval * 2 > self.safe_lease() {
            return HeartbeatSnafu { timing: *self }.fail();
        }
        if self.lease > self.election_timeout {
            return LeaseSnafu { timing: *self }.fail();
        }
        Ok(())
    }
}

/// Limits of messages and of what is under way to one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of entries in one append message; a single larger entry goes alone.
    pub append_bytes: usize,
    /// Most append messages under way to one follower.
    pub in_flight_messages: usize,
    /// Most bytes of entries under way to one follower.
    pub in_flight_bytes: usize,
    /// Bytes of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Most snapshot chunks under way to one follower.
    pub snapshot_chunks_in_flight: usize,
    /// Bytes of entries kept in the log behind a snapshot, so that a follower that is a little
    /// behind needs no snapshot.
    pub retained_log_bytes: usize,
    /// Bytes of applied entries kept in memory for followers that are behind; the disk keeps more.
    /// A follower that needs older ones is sent the whole state: at 1 MB a second, the most seen with
    /// hundreds of machines, the default bears ten seconds.
    pub cached_log_bytes: usize,
    /// Most bytes of entries given out to be applied between two flushes, so that a member that
    /// applies a long log goes on answering meanwhile; a single larger entry goes alone.
    pub apply_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 256 * 1024,
            in_flight_messages: 64,
            in_flight_bytes: 4 * 1024 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            snapshot_chunks_in_flight: 4,
            retained_log_bytes: 1024 * 1024,
            cached_log_bytes: 10 * 1024 * 1024,
            apply_bytes: 512 * 1024,
        }
    }
}

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

/// A setting that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigError {
    /// The heartbeat interval is zero or too long for the lease.
    #[snafu(display(
        "heartbeat_interval is {:?}; allowed is more than zero and at most half of the lease \
         less its drift margin ({:?})",
        timing.heartbeat_interval,
        timing.safe_lease()
    ))]
    Heartbeat {
        /// The timing.
        timing: Timing,
    },
    /// The lease is longer than followers wait.
    #[snafu(display(
        "lease is {:?}; allowed is at most election_timeout ({:?})",
        timing.lease,
        timing.election_timeout
    ))]
    Lease {
        /// The timing.
        timing: Timing,
    },
}
