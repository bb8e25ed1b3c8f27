//! Election timeouts and the leader lease: when a member may campaign, and how long a leader may
//! act without contacting the others.
//!
//! - Inputs, all by the member's own clock: the time of the last message from a leader; for each
//!   heartbeat round, when it was *sent*, and whether a quorum has acknowledged it; the durations
//!   in [`Timing`].
//! - Rule: a member campaigns and grants votes only if it has received nothing from a leader for
//!   `election_timeout`, and waits up to `election_spread` longer before it campaigns itself. A
//!   leader acts and answers reads until `lease`, shortened by twice the clock drift, has passed
//!   since it sent the newest round that a quorum has acknowledged. Without such a round for a
//!   whole `election_timeout` it steps down.
//! - Reason: each member of that quorum received the round after it was sent, and refuses votes for
//!   longer than the lease lasts. The lease therefore ends before another leader can be elected, as
//!   long as no clock drifts by more than `drift`. The election timeout must cover the lease and
//!   pauses of the machines; a longer spread only adds time without a leader.
//! - Missing inputs: a member that has just started behaves as if it had received a message from a
//!   leader at that moment; a leader without an acknowledged round has no lease.

use snafu::Snafu;
use std::time::Duration;
use wingshore_types::configuration::Permille;

/// Default election timeout: ten heartbeat intervals.
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The election timeout divided by this is the default election spread.
const ELECTION_SPREAD_PART: u32 = 4;
/// Default time between heartbeat rounds. The loss of one or two rounds must not cause an election.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Default lease: the election timeout less one heartbeat interval.
const DEFAULT_LEASE: Duration = Duration::from_millis(450);
/// Default limit of the clock drift: far above the drift of quartz clocks (below 1 permille).
const DEFAULT_DRIFT: Permille = Permille(20);

/// Timing holds the durations of elections and leases. It must be the same on all members of a
/// group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Minimum time without contact to a leader before an election.
    pub election_timeout: Duration,
    /// Maximum random time added to `election_timeout`, drawn for each campaign. It should be long
    /// compared with the time that a vote takes, so that members seldom campaign at the same time;
    /// any more only adds time without a leader.
    pub election_spread: Duration,
    /// Time between a leader's heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Length of the leader lease without the drift margin; at most `election_timeout`.
    pub lease: Duration,
    /// Maximum rate by which any member's clock runs faster or slower than true time.
    pub drift: Permille,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            election_spread: DEFAULT_ELECTION_TIMEOUT / ELECTION_SPREAD_PART,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            lease: DEFAULT_LEASE,
            drift: DEFAULT_DRIFT,
        }
    }
}

impl Timing {
    /// Returns the lease less the drift margin, which is safe as long as no clock drifts by more
    /// than `drift`.
    pub fn safe_lease(&self) -> Duration {
        let margin = u32::from(self.drift.0).saturating_mul(2);
        let remaining_permille = u32::from(Permille::WHOLE.0).saturating_sub(margin);
        self.lease * remaining_permille / u32::from(Permille::WHOLE.0)
    }

    /// Returns the number of whole heartbeat rounds in an election timeout.
    pub(crate) fn rounds_in_election_timeout(&self) -> u32 {
        let interval = self.heartbeat_interval.as_nanos().max(1);
        u32::try_from(self.election_timeout.as_nanos() / interval).unwrap_or(u32::MAX)
    }

    /// Checks that the durations are consistent.
    ///
    /// # Errors
    /// Returns an error that names the invalid value and the allowed range.
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

/// ConfigError reports an invalid setting.
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
    /// The lease is longer than the election timeout.
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
