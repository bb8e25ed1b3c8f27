//! The kinds of groups, and the conversion of their requests and replies to frames.

use wingshore_control::{ConfigurationProgress, ControlLeader};
use wingshore_ledger::claims::ClaimsLeader;
use wingshore_ledger::samples::LedgerLeader;
use wingshore_types::machine::LeaderMachine;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};

/// A leader machine whose requests and replies can be sent in frames.
pub(crate) trait HostedLeader:
    LeaderMachine<
        State: Default,
        Request: Send + TryFrom<GroupRequest>,
        Reply: Into<GroupReply>,
        Event: Send,
    > + Default
    + 'static
{
    /// Whether this kind of group tracks the progress of the configuration.
    const TRACKS_CONFIGURATION: bool = false;
    /// Returns the progress of the configuration; `None` if this kind does not track it.
    fn configuration_progress(&self, _state: &Self::State) -> Option<ConfigurationProgress> {
        None
    }
}

impl HostedLeader for ControlLeader {
    const TRACKS_CONFIGURATION: bool = true;

    fn configuration_progress(&self, state: &Self::State) -> Option<ConfigurationProgress> {
        Some(self.progress(state))
    }
}

impl HostedLeader for LedgerLeader {}

impl HostedLeader for ClaimsLeader {}
