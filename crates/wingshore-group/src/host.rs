//! The host of one replicated group.

use crate::interface::{ConfigSnafu, HostConfig, HostError, HostInput, HostOutput};
use snafu::ResultExt;
use std::marker::PhantomData;
use wingshore_types::log::RecoveredLog;
use wingshore_types::machine::LeaderMachine;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// One replicated group on one replica: its log, its state and, while it leads, its leader
/// machine.
pub struct Host<L: LeaderMachine> {
    state: L::State,
    membership: Membership,
    leader_machine: PhantomData<L>,
}

impl<L> Host<L>
where
    L: LeaderMachine + Default,
    L::State: Default,
{
    /// Starts from what storage recovered.
    ///
    /// # Errors
    /// When a setting does not fit, or the recovered log cannot be used.
    pub fn new(
        _now: Instant,
        config: HostConfig,
        _recovered: RecoveredLog,
    ) -> Result<Self, HostError> {
        config.timing.check().context(ConfigSnafu)?;
        Ok(Self {
            state: L::State::default(),
            membership: config.bootstrap.unwrap_or_default(),
            leader_machine: PhantomData,
        })
    }

    /// Handles one input at `now`, pushing what follows from it.
    pub fn step(&mut self, now: Instant, input: HostInput<L>, out: &mut Vec<HostOutput<L>>) {
        self.step_all(now, [input], out);
    }

    /// Handles several inputs at `now`; what they write goes out as one batch.
    pub fn step_all(
        &mut self,
        _now: Instant,
        _inputs: impl IntoIterator<Item = HostInput<L>>,
        _out: &mut Vec<HostOutput<L>>,
    ) {
    }

    /// When [`HostInput::Tick`] is wanted at the latest.
    pub fn next_tick(&self) -> Instant {
        Instant(u64::MAX)
    }

    /// The replicated state as applied here.
    pub fn state(&self) -> &L::State {
        &self.state
    }

    /// Whether this replica leads and its leader machine runs.
    pub fn is_leader(&self) -> bool {
        false
    }

    /// Whether this replica holds the quorum lease at `now`.
    pub fn holds_lease(&self, _now: Instant) -> bool {
        false
    }

    /// The leader, when one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        None
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        0
    }

    /// The last entry applied here.
    pub fn applied_index(&self) -> LogIndex {
        LogIndex(0)
    }

    /// The last entry known to be committed here.
    pub fn commit_index(&self) -> LogIndex {
        LogIndex(0)
    }

    /// The members, as of the newest entry that changes them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
}
