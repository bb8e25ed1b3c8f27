//! In-memory tables of a leader. They are rebuilt for each leadership from the replicated state and
//! the reports of gateways and servers.

pub(crate) mod capacity;
pub(crate) mod engine;
pub(crate) mod engines;
pub(crate) mod event_sizes;
pub(crate) mod free_slots;
pub(crate) mod gateways;
pub(crate) mod item;
pub(crate) mod items;
pub(crate) mod jobs;
pub(crate) mod known_paces;
pub(crate) mod pace;
pub(crate) mod registrations;
pub(crate) mod rollout;
pub(crate) mod run_times;
pub(crate) mod scoring_services;
pub(crate) mod scorings;
