//! The replica role: hosts the replicated groups of a site on one machine with a disk.
//!
//! Each group has a thread that owns its [`wingshore_group::Host`] and a second one that writes
//! to its [`wingshore_storage::GroupStore`], so that a slow sync holds up no heartbeat. Frames
//! come from [`wingshore_transport::Server`] and go out over one connection to each other member.
//! Orders to engines are carried by a few threads of their own.

mod admin;
mod effects;
mod error;
mod frames;
mod group;
mod metrics;
mod peers;
mod process;
mod start;

pub use error::ReplicaError;
pub use process::{Replica, run};
