//! The node role: beside each caller, serves it over HTTP, routes and retries, and runs leased
//! samples of the rollout pools it is set up for.

mod admission;
mod background;
mod background_calls;
mod http;
mod lock;
mod metrics;
mod rollout;
mod run;
mod serve;
mod state;
mod upstream;

pub use run::{NodeError, RunningNode, run, start};
