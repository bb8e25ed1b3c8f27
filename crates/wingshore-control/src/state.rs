//! The replicated part of the control group.

use crate::command::ControlCommand;
use crate::faults::Faults;
use serde::{Deserialize, Serialize};
use wingshore_types::configuration::Configuration;
use wingshore_types::ids::LogIndex;
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::protocol::control::ControlReply;

/// The configuration, plans, first answers to intents and published versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: Configuration,
    #[serde(skip)]
    faults: Faults,
}

impl ControlState {
    /// An empty state with deliberate faults, for tests.
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// The configuration as committed.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
}

impl ReplicatedState for ControlState {
    type Command = ControlCommand;
    type Reply = ControlReply;

    fn apply(&mut self, _index: LogIndex, _command: ControlCommand) -> ControlReply {
        ControlReply::Configuration(Box::new(self.configuration.clone()))
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(_bytes: &[u8]) -> Result<Self, RestoreError> {
        Ok(Self::default())
    }
}
