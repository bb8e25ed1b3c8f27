//! Stand-in for a live server: its settings and its HTTP surface.

mod core;
pub mod process;

use super::StandInError;
use super::client::REQUEST_ID_HEADER;
use super::server::{self, NotServed, Request};
use crate::durations;
use crate::hashing::hash_bytes;
use crate::http_server::Incoming;
use crate::process::{Call, LiveCall};
use process::LiveServerProcess;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;
use wingshore_types::ServiceId;
use wingshore_types::api::IDEMPOTENCY_HEADER;

/// How a live server behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LiveServerSettings {
    /// Most requests at once; more are refused as not run.
    pub slots: u32,
    /// Shortest time that a request takes.
    #[serde(with = "durations")]
    pub shortest_service: Duration,
    /// Mean of the further, exponentially distributed time.
    #[serde(with = "durations")]
    pub mean_further_service: Duration,
    /// Size of an answer, in bytes.
    pub answer_bytes: usize,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for LiveServerSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            shortest_service: Duration::from_millis(1),
            mean_further_service: Duration::from_millis(2),
            answer_bytes: 512,
            seed: 0,
        }
    }
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    server::run(settings_file, request_of, LiveServerProcess::new)
}

/// Every other path is a request of a caller, passed on by a node as it came.
fn request_of(incoming: &Incoming) -> Result<Request, NotServed> {
    if (incoming.method.as_str(), incoming.path.as_str()) == ("GET", "/load") {
        return Ok(Request::Call(Call::Load));
    }
    if incoming.path.starts_with("/lab/") {
        return Err(NotServed::NoSuchPath);
    }
    Ok(Request::Call(Call::Live(LiveCall {
        request: incoming.header(REQUEST_ID_HEADER).unwrap_or_default(),
        service: ServiceId::new(""),
        key: incoming.header(IDEMPOTENCY_HEADER),
        no_repeat: false,
        charge: incoming.method == "POST",
        deadline: Duration::ZERO,
        path: incoming.path.clone(),
        asked: hash_bytes(&incoming.body),
    })))
}
