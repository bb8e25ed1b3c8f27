//! Stand-in for the weight store: its settings and its HTTP surface.

pub mod process;

use super::StandInError;
use super::server::{self, NotServed, Request};
use crate::http_server::Incoming;
use crate::process::Call;
use process::WeightStoreProcess;
use serde::{Deserialize, Serialize};
use std::path::Path;
use wingshore_types::WeightVersion;

/// How the weight store behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStoreSettings {
    /// Bytes a second over all fetches.
    pub bytes_per_second: u64,
    /// Most fetches at once; more are answered 429.
    pub most_fetches: usize,
    /// Size of version 0 of any model, in bytes: it is there from the start.
    pub initial_bytes: usize,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 32 * 1024 * 1024,
            most_fetches: 3,
            initial_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    server::run(settings_file, request_of, |now, _, settings, boot_id| {
        WeightStoreProcess::new(now, settings, boot_id)
    })
}

fn request_of(incoming: &Incoming) -> Result<Request, NotServed> {
    let (model, version) = weights_path(&incoming.path).ok_or(NotServed::NoSuchPath)?;
    match incoming.method.as_str() {
        "PUT" => Ok(Request::Call(Call::StoreWeights { model, version })),
        "GET" => Ok(Request::Call(Call::FetchWeights { model, version })),
        _ => Err(NotServed::NoSuchPath),
    }
}

/// The model and the version that `/weights/{model}/{version}` names.
pub fn weights_path(path: &str) -> Option<(String, WeightVersion)> {
    let (model, version) = path.strip_prefix("/weights/")?.split_once('/')?;
    let version = version.parse().ok()?;
    Some((model.to_owned(), WeightVersion(version)))
}
