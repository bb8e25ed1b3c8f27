//! Stand-in for a trainer, as a program of its own.

pub mod process;
pub mod progress;
pub mod prompts;
pub mod settings;

use super::StandInError;
use super::client::CallClient;
use super::runtime::{Clock, Runtime};
use super::settings::load;
use crate::event_log::{EventLog, read_log};
use process::{TrainerDisk, TrainerProcess};
use progress::Progress;
use settings::TrainerSettings;
use std::path::Path;
use std::sync::atomic::AtomicBool;

/// Trains until it is told to stop by SIGTERM; it then pulls all that it has submitted, so that
/// the log shows whether a sample was lost. It resumes from what its log holds.
pub fn run(settings_file: &Path, stop: &AtomicBool) -> Result<(), StandInError> {
    let settings: TrainerSettings = load(settings_file)?;
    let log = EventLog::open(&settings.log, &settings.name)?;
    let disk = TrainerDisk::new(Progress::from_log(&read_log(&settings.log)?));
    let client = CallClient::new(settings.training.weight_bytes);
    let clock = Clock::start();
    let trainer = TrainerProcess::new(clock.now(), settings, disk, rand::random());
    Runtime::new(trainer, clock, client, log).run(stop)
}
