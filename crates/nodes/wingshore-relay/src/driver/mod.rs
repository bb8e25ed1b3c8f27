//! Drives a relay with sockets, threads and a clock.

mod admin;
mod frames;
mod metrics;
mod run;
mod upstream;

pub use run::{RelayError, RunningRelay, run};
