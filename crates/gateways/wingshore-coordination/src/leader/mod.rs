//! What only the group's leader does.
//!
//! [`CoordinationLeader`] is a state machine: inputs come with their time, and what is to be done is
//! given back. Its parts use each other in one direction:
//!
//! - `dispatch` takes the inputs, and hands each to the module of its topic: servers, gateways, jobs,
//!   placing, attempts, moving, results, scoring, rollout, loading, capacity, usage, evidence,
//!   configuring, members;
//! - a module of a topic asks `decisions` what to do, changes `tables`, proposes commands, and says
//!   what is to be done outside the group;
//! - `decisions` answers one question a module, over plain data;
//! - `tables` is what the leader knows, and `machine` holds all of it.

mod attempts;
mod capacity;
mod configuring;
mod decision_log;
mod decisions;
mod dispatch;
mod evidence;
mod gateways;
mod interface;
mod jobs;
mod loading;
mod machine;
mod members;
mod moving;
mod placing;
mod policy;
mod proposals;
mod results;
mod rollout;
mod scoring;
mod servers;
mod settings;
mod tables;
mod turn;
mod usage;

pub use decision_log::Decision;
pub use decisions::capacity_plan::{
    CapacityDemand, CapacityPolicy, Peak, wanted as wanted_capacity,
};
pub use decisions::crash_evidence::EVIDENCE_LIFETIME;
pub use decisions::load_progress::{EngineStatus, OrderAnswer};
pub use decisions::usage_reports::UsageDuty;
pub use interface::{Effect, Event, LeaderFigures, WeightOrder};
pub use machine::CoordinationLeader;
pub use policy::LeaderPolicy;
pub use settings::LeaderSettings;
