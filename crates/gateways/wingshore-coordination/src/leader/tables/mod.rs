//! What a leader keeps in memory. All of it is built anew at each leadership, from the replicated
//! state and from what gateways and servers report.

pub(crate) mod capacity;
pub(crate) mod engine;
pub(crate) mod engines;
pub(crate) mod free_slots;
pub(crate) mod gateways;
pub(crate) mod item;
pub(crate) mod items;
pub(crate) mod jobs;
pub(crate) mod pace;
pub(crate) mod registrations;
pub(crate) mod rollout;
pub(crate) mod scorings;
