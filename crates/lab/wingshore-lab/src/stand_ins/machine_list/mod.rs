//! Stand-in for the platform's machine list: its settings and its HTTP surface.

pub mod process;

use super::StandInError;
use super::server::{self, NotServed, Request, body};
use crate::durations;
use crate::http_server::Incoming;
use crate::process::{Call, ProcessFault};
use process::MachineListProcess;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;
use wingshore_types::ServerId;
use wingshore_types::platform::{Machine, MachineState};

/// How the machine list behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineListSettings {
    /// How far the list lags.
    #[serde(with = "durations")]
    pub lag: Duration,
    /// All machines, at the start.
    pub machines: Vec<Machine>,
}

/// Body of `POST /lab/leaving`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeavingRequest {
    /// Which machine.
    pub server: ServerId,
    /// Its state from now on; the list tells it after the lag.
    pub state: MachineState,
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    server::run(settings_file, request_of, |now, _, settings, boot_id| {
        MachineListProcess::new(now, settings, boot_id)
    })
}

fn request_of(incoming: &Incoming) -> Result<Request, NotServed> {
    match (incoming.method.as_str(), incoming.path.as_str()) {
        ("GET", "/machines") => Ok(Request::Call(Call::Machines)),
        ("POST", "/lab/leaving") => {
            let LeavingRequest { server, state } = body(incoming)?;
            Ok(Request::Fault(ProcessFault::Machine { server, state }))
        }
        _ => Err(NotServed::NoSuchPath),
    }
}
