//! Stand-in for a scoring service: its settings and its HTTP surface.

pub mod process;

use super::StandInError;
use super::server::{self, NotServed, Request, body};
use crate::durations;
use crate::http_server::Incoming;
use crate::process::Call;
use process::ScorerProcess;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// How a scorer behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScorerSettings {
    /// Usual time of a score.
    #[serde(with = "durations")]
    pub usual_time: Duration,
    /// Time of a slow one.
    #[serde(with = "durations")]
    pub slow_time: Duration,
    /// Share of slow ones, in thousandths.
    pub slow_permille: u32,
    /// Share of failures, in thousandths.
    pub failing_permille: u32,
    /// Seed of both.
    pub seed: u64,
}

impl Default for ScorerSettings {
    fn default() -> Self {
        Self {
            usual_time: Duration::from_millis(5),
            slow_time: Duration::from_millis(200),
            slow_permille: 20,
            failing_permille: 10,
            seed: 0,
        }
    }
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    server::run(settings_file, request_of, |now, _, settings, boot_id| {
        ScorerProcess::new(now, settings, boot_id)
    })
}

fn request_of(incoming: &Incoming) -> Result<Request, NotServed> {
    match (incoming.method.as_str(), incoming.path.as_str()) {
        ("POST", "/score") => Ok(Request::Call(Call::Score(body(incoming)?))),
        _ => Err(NotServed::NoSuchPath),
    }
}
