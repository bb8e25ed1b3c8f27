//! Stand-in for a model engine: a sans-I/O core and a driver that serves it over HTTP.

pub mod cache;
pub mod core;
pub mod driver;
pub mod faults;
pub mod fence;
pub mod length;
pub mod messages;
pub mod process;
pub mod routes;
pub mod scheduler;
pub mod sequence;
pub mod settings;
pub mod weights;

pub use self::core::EngineCore;
pub use messages::{DropReason, EngineFault, EngineInput, EngineOutput};
pub use settings::EngineSettings;

use super::StandInError;
use super::settings::{ServerSettings, load};
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_server::serve;
use driver::EngineDriver;
use std::path::Path;
use std::sync::Arc;
use wingshore_types::Instant;

/// Serves an engine until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<EngineSettings> = load(settings_file)?;
    let log = EventLog::open(&settings.process.log, &settings.process.name)?;
    let boot_id = rand::random();
    let model = settings.behaviour.model.clone();
    let core = EngineCore::new(Instant::ZERO, settings.behaviour, boot_id);
    let driver = EngineDriver::start(core, &model, log.clone());
    log.write(Event::Started { boot_id });
    let handler = Arc::new(move |incoming| routes::handle(&driver, &log, incoming));
    serve(
        settings.process.listen,
        settings.process.round_trip,
        handler,
    )?;
    Ok(())
}
