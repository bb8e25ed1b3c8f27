//! Deterministic simulation of a whole site: the state machines of production on a simulated
//! network, simulated disks and simulated clocks.
//!
//! Every process is a [`crate::process::Process`]: inputs and the local time in, outputs out. The same
//! seed gives the same history, event for event. What happens is recorded with
//! [`crate::events::Event`] and judged by [`crate::checks`], the checkers that also judge a fleet
//! of real processes. Beside them the [`observer`] judges what only a simulator can see.

pub mod administrator;
pub mod client;
pub mod clock;
pub mod command;
pub mod data_layout;
pub mod data_site;
pub mod history;
pub mod network;
pub mod node;
pub mod observed;
pub mod observer;
pub mod operator;
pub mod replica;
pub mod runs;
pub mod scenarios;
pub mod site;
mod site_layout;
pub mod slot;
pub mod task_list;
pub mod trace;
pub mod watcher;
pub mod world;
mod world_faults;
