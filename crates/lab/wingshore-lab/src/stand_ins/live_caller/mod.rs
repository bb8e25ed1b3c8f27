//! Stand-in for live callers, as a program of its own.

pub mod plan;
pub mod process;
pub mod result;
pub mod settings;

use super::StandInError;
use super::client::CallClient;
use super::runtime::{Clock, Runtime};
use super::settings::load;
use crate::event_log::EventLog;
use process::LiveCallerProcess;
use settings::LiveCallerSettings;
use std::path::Path;
use std::sync::atomic::AtomicBool;

/// Calls until it is told to stop by SIGTERM; what is under way is then finished.
pub fn run(settings_file: &Path, stop: &AtomicBool) -> Result<(), StandInError> {
    let settings: LiveCallerSettings = load(settings_file)?;
    let log = EventLog::open(&settings.log, &settings.name)?;
    let clock = Clock::start();
    let callers = LiveCallerProcess::new(clock.now(), settings, rand::random());
    Runtime::new(callers, clock, CallClient::new(0), log).run(stop)
}
