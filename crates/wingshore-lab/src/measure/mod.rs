//! `wingshore-lab measure`: figures of real processes on this machine.

pub mod state;

use argh::FromArgs;
use state::StateCommand;
use std::error::Error;

/// Measure real processes on this machine.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "measure",
    example = "{command_name} state --only commits"
)]
pub struct MeasureCommand {
    #[argh(subcommand)]
    what: Measurement,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Measurement {
    State(StateCommand),
}

impl MeasureCommand {
    /// Measures and prints; says whether every limit held.
    ///
    /// # Errors
    /// When processes cannot be run or do not answer.
    pub fn run(self) -> Result<bool, Box<dyn Error>> {
        match self.what {
            Measurement::State(command) => Ok(command.run()?),
        }
    }
}
