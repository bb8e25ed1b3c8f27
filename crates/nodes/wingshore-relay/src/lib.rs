//! The relay role: fans the configuration out to nodes and folds their acknowledgements in, so
//! that the control group's leader talks to tens of relays instead of thousands of nodes.
//!
//! [`RelayState`] decides, without I/O; [`run`] and [`RunningRelay`] drive it with sockets, threads and a clock.
//! `docs/design/0003-configuration-leases.md` says why a node's lease holds through relays.

mod driver;
mod state;

pub use driver::{RelayError, RunningRelay, run};
pub use state::{RelayInput, RelayOutput, RelayState, RelaySummary, RelayTiming, WatchTag};
