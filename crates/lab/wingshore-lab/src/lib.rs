//! Proof harness of wingshore; nothing here is ever deployed.
//!
//! * `process`, `wiring`: what a process is, without sockets and clocks, and what each needs
//! * `stand_ins`: the platform's side and the callers, each such a process, also over HTTP
//! * `fleet`: a site of real processes on loopback, with stand-ins around it
//! * `sim`: a site in simulated time: the product's state machines and the same stand-ins
//! * `events`, `event_log`: what stand-ins record
//! * `checks`: the promises, judged from those records alone

pub mod checks;
mod durations;
mod event_log;
pub mod events;
pub mod fleet;
pub mod hashing;
mod http_client;
mod http_server;
pub mod process;
pub mod sim;
pub mod stand_ins;
mod wiring;
