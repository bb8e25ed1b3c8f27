//! Stand-in for a model engine: a core without sockets, clocks and threads, the process around it,
//! and its HTTP surface.

mod cache;
mod core;
pub(crate) mod faults;
pub mod fence;
mod fetches;
pub mod length;
pub(crate) mod messages;
pub mod process;
mod routes;
mod scheduler;
mod sequence;
mod settings;
mod weights;

pub use self::core::EngineCore;
pub use messages::{DropReason, EngineFault, EngineInput, EngineOutput};
pub use settings::EngineSettings;

use super::StandInError;
use super::client::CallClient;
use super::runtime::{Clock, Runtime};
use super::server::serve_process;
use super::settings::{ServerSettings, load};
use crate::event_log::EventLog;
use process::EngineProcess;
use std::path::Path;

/// Serves an engine until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<EngineSettings> = load(settings_file)?;
    let ServerSettings { process, behaviour } = settings;
    let log = EventLog::open(&process.log, &process.name)?;
    let clock = Clock::start();
    let engine = EngineProcess::new(clock.now(), behaviour, rand::random());
    let runtime = Runtime::new(engine, clock, CallClient::new(0), log);
    // An engine that fetches from this one only needs the answer.
    serve_process(&process, runtime, routes::request_of, 0)
}
