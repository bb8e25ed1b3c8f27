//! The node role: beside each caller, serves it over HTTP, routes and retries, and runs leased
//! samples of the rollout pools it is set up for.
//!
//! Drives the state machines that decide (`wingshore-request`, `wingshore-routing`,
//! `wingshore-rollout`) with sockets, threads and a clock. All its state is a cache: it starts
//! empty and learns configuration and lease from the control group.
//!
//! * `http`: the callers' side, from the listening socket to parsed requests and whole answers.
//! * `serve`: what is done with each kind of request.
//! * `upstream`: requests to engines, live servers, scorers and the machine list.
//! * `rollout`: one thread a pool that drives its runner.
//! * `background`: threads for the configuration watch, probes, the machine list, background calls.
//! * `admission`: whether new work may be taken now.

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
