//! The node role: runs beside each caller, serves it over HTTP, routes and retries its requests,
//! and runs leased samples of the rollout pools named in its settings.
//!
//! Drives the decision state machines (`wingshore-request`, `wingshore-routing`,
//! `wingshore-rollout`) with sockets, threads and a clock. All state of a node is a cache: it
//! starts empty and receives configuration and lease from the control group.
//!
//! * `http`: the caller-facing side, from the listening socket to parsed requests and complete
//!   answers.
//! * `serve`: the handlers of each kind of request.
//! * `upstream`: requests to engines, live servers, scorers and the machine list.
//! * `rollout`: one thread per pool that drives the pool's runner.
//! * `background`: threads for the configuration watch, probes, the machine list, background calls.
//! * `admission`: decides whether new work may be admitted.

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
