//! The relay role: distributes the configuration to nodes and aggregates their acknowledgements, so
//! that the control group's leader serves tens of relays instead of thousands of nodes.
//!
//! [`RelayState`] contains the decisions, without I/O; [`run`] and [`RunningRelay`] drive it with
//! sockets, threads and a clock. `docs/design/0003-configuration-leases.md` explains why a node's
//! lease is valid through relays.

mod driver;
mod state;

pub use driver::{RelayError, RunningRelay, run};
pub use state::{RelayInput, RelayOutput, RelayState, RelaySummary, RelayTiming, WatchTag};
