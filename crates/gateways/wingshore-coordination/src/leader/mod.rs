//! The part of the coordination service that runs only on the group's leader.
//!
//! [`CoordinationLeader`] is a deterministic state machine: each input carries its time, and each
//! step returns its outputs. Dependencies between its modules go in one direction:
//!
//! - `dispatch` receives all inputs and passes each to the module of its topic: servers, gateways,
//!   jobs, placing, attempts, progress, forecasting, moving, results, scoring, scoring_grants,
//!   rollout, loading, capacity, usage,
//!   evidence, trials, configuring, members;
//! - a topic module consults `decisions`, updates `tables`, proposes commands and emits effects
//!   outside the group;
//! - each module of `decisions` answers one question as a function of plain data;
//! - `tables` holds the leader's volatile data; `machine` owns all tables.

mod attempts;
mod capacity;
mod configuring;
mod decision_log;
mod decisions;
mod dispatch;
mod evidence;
mod forecasting;
mod gateways;
mod interface;
mod job_queue;
mod jobs;
mod loading;
mod machine;
mod members;
mod moving;
mod placing;
mod policy;
mod progress;
mod proposals;
mod results;
mod rollout;
mod scoring;
mod scoring_grants;
mod servers;
mod settings;
mod tables;
mod trials;
mod turn;
mod usage;

pub use decision_log::Decision;
pub use decisions::capacity_plan::{
    CapacityDemand, CapacityPolicy, Peak, wanted as wanted_capacity,
};
pub use decisions::crash_evidence::EVIDENCE_LIFETIME;
pub use decisions::load_progress::{EngineStatus, OrderAnswer};
pub use decisions::moves::MoveReason;
pub use decisions::scoring_limit::{
    ScoringAnswers, ScoringCapacity, ScoringLimit, ScoringOrder, is_urgent as is_scoring_urgent,
};
pub use decisions::usage_reports::UsageDuty;
pub use interface::{Effect, Event, LeaderCounts, ScoringReadings, WeightOrder};
pub use machine::CoordinationLeader;
pub use policy::LeaderPolicy;
pub use settings::LeaderSettings;
