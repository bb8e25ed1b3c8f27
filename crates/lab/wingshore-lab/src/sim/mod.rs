//! Deterministic simulation of a whole site: the state machines of production on a simulated
//! network, simulated disks and simulated clocks.
//!
//! Every process is a [`crate::process::Process`]: inputs and the local time in, outputs out. The same
//! seed gives the same history, event for event. What happens is recorded with
//! [`crate::events::Event`] and judged by [`crate::checks`], the checkers that also judge a fleet
//! of real processes. Beside them the `observer` judges what only a simulator can see.

mod administrator;
pub mod client;
mod clock;
pub mod command;
mod data_layout;
pub mod data_site;
pub mod history;
mod judgement;
mod network;
pub mod node;
mod observed;
mod observer;
mod operator;
pub mod replica;
pub mod runs;
pub mod scenarios;
mod site;
mod site_layout;
mod slot;
mod task_list;
mod trace;
mod watcher;
mod world;
mod world_faults;
