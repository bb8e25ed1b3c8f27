//! `wingshore-lab measure`: figures of real processes on this machine.

pub mod error;
pub mod live_path;
pub mod process_usage;
pub mod quiet_site;
pub mod roles;
pub mod state;

use argh::FromArgs;
pub use error::MeasureError;
use live_path::LivePathCommand;
use roles::RolesCommand;
use state::StateCommand;
use std::error::Error;

/// Measure real processes on this machine.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "measure",
    example = "{command_name} live-path --seconds 20",
    example = "{command_name} roles --seconds 20 --json",
    example = "{command_name} state --only commits"
)]
pub struct MeasureCommand {
    #[argh(subcommand)]
    what: Measurement,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Measurement {
    LivePath(LivePathCommand),
    Roles(RolesCommand),
    State(StateCommand),
}

impl MeasureCommand {
    /// Measures and prints; says whether every limit held.
    ///
    /// # Errors
    /// When processes cannot be run or do not answer.
    pub fn run(self) -> Result<bool, Box<dyn Error>> {
        match self.what {
            Measurement::LivePath(command) => {
                command.run()?;
                Ok(true)
            }
            Measurement::Roles(command) => Ok(command.run()?),
            Measurement::State(command) => Ok(command.run()?),
        }
    }
}
