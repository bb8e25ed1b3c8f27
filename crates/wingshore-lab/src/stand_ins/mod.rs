//! Stand-ins: small processes that play the platform's side and the callers.

pub mod engine;
pub mod settings;

use crate::event_log::EventLogError;
use crate::http_server::ListenError;
use argh::FromArgs;
use settings::SettingsError;
use snafu::Snafu;
use std::path::PathBuf;

/// Why a stand-in ended.
#[derive(Debug, Snafu)]
pub enum StandInError {
    /// Its settings cannot be used.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// Its log cannot be written.
    #[snafu(context(false), display("{source}"))]
    Log {
        /// Why.
        source: EventLogError,
    },
    /// Its port cannot be served.
    #[snafu(context(false), display("{source}"))]
    Listen {
        /// Why.
        source: ListenError,
    },
}

/// Run one stand-in as its own process.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandInCommand {
    #[argh(subcommand)]
    kind: StandInKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandInKind {
    Engine(EngineCommand),
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineCommand {
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
}

impl StandInCommand {
    /// Runs it until the process ends.
    ///
    /// # Errors
    /// When its settings, log or port cannot be used.
    pub fn run(self) -> Result<(), StandInError> {
        match self.kind {
            StandInKind::Engine(command) => engine::run(&command.settings),
        }
    }
}
