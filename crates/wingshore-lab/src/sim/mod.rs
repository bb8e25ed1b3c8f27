//! Deterministic simulation of a whole site: the state machines of production on a simulated
//! network, simulated disks and simulated clocks.
//!
//! Every process is a [`process::Process`]: inputs and the local time in, outputs out. The same
//! seed gives the same history, event for event. What happens is recorded with
//! [`crate::events::Event`] and judged by [`crate::checks`], the checkers that also judge a fleet
//! of real processes.

pub mod client;
pub mod process;
pub mod processes;
