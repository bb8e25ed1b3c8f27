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
use super::server;
use process::EngineProcess;
use std::path::Path;

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    server::run(
        settings_file,
        routes::request_of,
        |now, _, settings, boot_id| EngineProcess::new(now, settings, boot_id),
    )
}
