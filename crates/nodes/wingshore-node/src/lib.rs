//! The node role: beside each caller, serves it over HTTP, routes and retries, and runs leased
//! samples of the rollout pools it is set up for.

mod background;
pub mod http;
mod metrics;
mod rollout;
mod run;
pub mod serve;
mod state;
pub mod upstream;

pub use run::{NodeError, RunningNode, run, start};
