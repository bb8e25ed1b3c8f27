//! Serves callers' requests.
//!
//! Owns nothing that outlives a request. Relies on `wingshore-request` for decisions, on `upstream`
//! for attempts and on the group client for claims, ledgers and publications.

mod completion_answer;
mod completion_request;
mod completions;
mod edge;
mod execute;
mod forward;
mod intake;
mod trainer;
mod trainer_errors;
mod whole_answer;

pub use edge::NodeEdge;
