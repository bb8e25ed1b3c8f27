//! The replica role: hosts the replicated groups of a site on one machine with a disk.
//!
//! Each group has a thread that owns its [`wingshore_group::Host`] and a second one that writes
//! to its [`wingshore_storage::GroupStore`], so that a slow sync does not delay
//! heartbeats. Frames are received by [`wingshore_transport::Server`] and sent over one connection
//! to each other member. A few separate threads send orders to engines.

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
