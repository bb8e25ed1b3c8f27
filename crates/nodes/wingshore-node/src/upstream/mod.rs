//! Requests to back ends: engines, live servers, scorers and the machine list.
//!
//! Owns the connection pools. Errors are classified by whether the request may have run.

mod agent;
mod answer;
mod cache;
mod connector;
mod engine;
mod event_reader;
mod failure;
mod json;

pub use agent::{Connections, InterruptibleClient, UpstreamClient, UpstreamRequest};
pub use answer::{ServerAnswer, ServerReply};
pub use cache::copy_cache;
pub use engine::{EngineAttempt, EngineEnd};
pub use failure::failure_of;
pub use json::JsonError;
