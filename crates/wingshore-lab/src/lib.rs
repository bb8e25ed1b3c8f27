//! Proof harness of wingshore: stand-ins for the platform and the callers, a fleet of real
//! processes on loopback, and checkers that judge a run from the stand-ins' own logs.
//!
//! Nothing here is ever deployed.

pub mod checks;
pub(crate) mod durations;
pub(crate) mod event_log;
pub mod events;
pub mod fleet;
pub mod hashing;
pub(crate) mod http_client;
pub(crate) mod http_server;
pub mod process;
pub mod sim;
pub mod stand_ins;
pub(crate) mod wiring;
