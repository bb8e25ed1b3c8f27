//! The simulated processes without disk: the node, the platform's side and the callers.
//!
//! Each is a [`super::process::Process`] around the state machines that the real process runs, and
//! records the same events as the stand-ins of a fleet, so that [`crate::checks`] judges both.

pub mod engine;
pub mod live_caller;
pub mod live_server;
pub mod machine_list;
pub mod node;
pub mod scorer;
pub mod trainer;
pub mod weight_store;
pub mod wiring;
