//! When may a member campaign, and for how long may a leader act without asking the others?
//!
//! - Inputs, all by the member's own clock: when it last heard from a leader; for each heartbeat round,
//!   when it was *sent*, and whether a quorum has acknowledged it; the durations of [`Timing`].
//! - Rule: a member campaigns, and grants votes, only once it has heard from no leader for
//!   `election_timeout`, and waits up to `election_spread` longer before it campaigns itself. A leader
//!   acts, and answers reads, until `lease`, shortened by twice the drift of clocks, has passed since it
//!   sent the newest round that a quorum has acknowledged. Without such a round for a whole
//!   `election_timeout` it steps down.
//! - Why: each member of that quorum heard the round after it was sent, and refuses votes for longer
//!   than the lease lasts. So the lease is over before another leader can be elected, as long as no
//!   clock drifts by more than `drift`. The timeout has to bear the lease, and machines that stall;
//!   what a spread adds to it is time without a leader.
//! - Old or missing inputs: a member that has just started takes itself to have heard from a leader at
//!   that moment; a leader without an acknowledged round has no lease.

use snafu::Snafu;
use std::time::Duration;
use wingshore_types::configuration::Permille;

/// Election timeout where the settings name none: ten heartbeats.
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The default spread is this part of the election timeout.
const ELECTION_SPREAD_PART: u32 = 4;
/// Time between heartbeat rounds where the settings name none: a lost round or two is no reason for an
/// election.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Lease where the settings name none: the election timeout less a heartbeat.
const DEFAULT_LEASE: Duration = Duration::from_millis(450);
/// Drift of clocks where the settings name none: far above that of quartz clocks (below 1 permille).
const DEFAULT_DRIFT: Permille = Permille(20);

/// Timing of elections and leases; the same on all members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Shortest time without a leader before an election.
    pub election_timeout: Duration,
    /// Maximal time by which a member waits longer, drawn anew each time. Long against the time that a
    /// vote takes, so that members seldom campaign at once; beyond that it is time without a leader.
    pub election_spread: Duration,
    /// Time between a leader's heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Length of the leader lease before the drift margin; at most `election_timeout`.
    pub lease: Duration,
    /// The maximum by which any member's clock runs faster or slower than true time.
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
    /// The lease less the drift margin: safe as long as no clock drifts more than `drift`.
    pub fn safe_lease(&self) -> Duration {
        let margin = u32::from(self.drift.0).saturating_mul(2);
        let kept = u32::from(Permille::WHOLE.0).saturating_sub(margin);
        self.lease * kept / u32::from(Permille::WHOLE.0)
    }

    /// Whole heartbeat rounds in an election timeout.
    pub(crate) fn rounds_in_election_timeout(&self) -> u32 {
        let interval = self.heartbeat_interval.as_nanos().max(1);
        u32::try_from(self.election_timeout.as_nanos() / interval).unwrap_or(u32::MAX)
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
