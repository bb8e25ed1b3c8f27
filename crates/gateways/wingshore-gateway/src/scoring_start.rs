//! Decision: who starts the scoring of a text that this gateway has finished, and when?
//!
//! No I/O, no clock; `now` is passed in.
//!
//! **Load.** The texts of a step end together at many gateways, and their scorings meet at a few
//! servers.
//!
//! **Inputs.** Whether shared limits are enabled; whether a leader is known, and whether it grants
//! scorings; since when no leader is known, and when the text was finished.
//!
//! **Rule.** A leader that grants scorings has the text scored, by this or another gateway. Under an
//! earlier build of the leader the gateway starts the scoring itself, within its own limit. Without
//! a leader it does so [`LEADERLESS_START_DELAY`] after both the loss of the leader and the end of
//! the text, and only for a text that no leader was told of.
//!
//! **Why.** Only the leader knows all scorings of a service. A text that a leader was told of may be
//! scored at another gateway already. A gateway without a leader does not learn that a job has
//! ended, so it waits until an election would be over.
//!
//! **Missing inputs.** A leader whose message formats are unknown counts as an earlier build.

use std::time::Duration;
use wingshore_types::Instant;

/// Time without a leader after which scorings are started without one: an election takes at most 0.9
/// s, and a new leader grants nothing for 0.3 s.
const LEADERLESS_START_DELAY: Duration = Duration::from_millis(1500);

/// The leader, as far as it matters for scorings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScoringLeader {
    /// No leader is known.
    Unknown,
    /// An earlier build: gateways start scorings on their own.
    StartsNone,
    /// It grants scorings.
    Grants,
}

/// Who starts the scoring of a text that has just been finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScoringStart {
    /// This gateway, within its own limit.
    Own,
    /// The leader grants it.
    Granted,
    /// Decided once a leader is known, or after a while without one.
    Deferred,
}

/// Returns who starts the scoring of a text that has just been finished.
pub fn scoring_start(is_limit_shared: bool, leader: ScoringLeader) -> ScoringStart {
    match leader {
        _ if !is_limit_shared => ScoringStart::Own,
        ScoringLeader::StartsNone => ScoringStart::Own,
        ScoringLeader::Grants => ScoringStart::Granted,
        ScoringLeader::Unknown => ScoringStart::Deferred,
    }
}

/// Returns whether scorings may be started although no leader has been known since `lost_at`.
pub fn may_start_without_leader(now: Instant, lost_at: Instant) -> bool {
    now.since(lost_at) >= LEADERLESS_START_DELAY
}

/// Returns whether the scoring of a text that no leader was told of is started without a leader.
pub fn is_leaderless_start_due(now: Instant, lost_at: Instant, finished_at: Instant) -> bool {
    may_start_without_leader(now, lost_at.max(finished_at))
}
