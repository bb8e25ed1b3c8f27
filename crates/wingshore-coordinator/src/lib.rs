//! Process of a coordinator: one member of the coordination group.
//!
//! One thread owns all sockets and the group's [`Host`](wingshore_group::Host); a second one makes
//! writes durable. What operators, trainers and servers say comes in through a
//! [`ControlProtocol`], what engines are told leaves through an [`EngineProtocol`]: this crate
//! knows no wire but that of the site's own processes.

mod control;
mod decisions;
mod directory;
mod engine_calls;
mod error;
mod heartbeats;
mod identity;
mod lost;
mod membership;
mod metrics;
mod process;
mod protocol;
mod settings;
mod writer;

pub use directory::GatewayAddress;
pub use error::CoordinatorError;
pub use heartbeats::{HeartbeatRelay, HeartbeatVerdict};
pub use lost::LostMachines;
pub use membership::{Joiner, MembershipPlanner, MembershipView};
pub use process::Coordinator;
pub use protocol::{
    ControlAnswer, ControlCall, ControlProtocol, EngineCall, EngineProtocol, LocalQuestion,
};
pub use settings::CoordinatorSettings;
