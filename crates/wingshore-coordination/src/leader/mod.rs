//! What only the group's leader does.

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
pub use decisions::load_progress::{EngineReport, OrderAnswer};
pub use decisions::usage_reports::UsageDuty;
pub use interface::{Effect, Event, LeaderFigures, WeightOrder};
pub use machine::CoordinationLeader;
pub use policy::LeaderPolicy;
pub use settings::LeaderSettings;
