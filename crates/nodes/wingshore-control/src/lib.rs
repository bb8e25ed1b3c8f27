//! Control group: configuration, plans and orders to engines.
//!
//! [`ControlState`] is the replicated part: the configuration with its revisions, plans and their
//! progress, first answers to intents. [`ControlLeader`] is the part that runs on the leader only:
//! watches and configuration leases of nodes, execution of confirmed plans, fenced orders. Neither
//! does I/O: both are driven by the host, which performs each [`ControlEffect`] and reports the
//! result as [`ControlEvent`].

mod command;
mod effect;
mod faults;
mod leader;
mod settings;
mod state;
pub mod swaps;

pub use command::{CommandReply, ControlCommand, StepResult};
pub use effect::{ControlEffect, ControlEvent, OrderAnswer};
pub use faults::Faults;
pub use leader::{ConfigurationProgress, ControlLeader};
pub use settings::LeaderSettings;
pub use state::{
    ANSWERS_KEPT, ASSUMED_SWAP_MS, CHANGES_KEPT, CHANGES_PER_INTENT, CLOSED_PLANS_KEPT,
    ControlState, OPEN_PLANS_LIMIT, OPEN_STEPS_LIMIT,
};
