//! Stand-ins: what plays the platform's side and the callers.
//!
//! Each kind has a folder: its settings, its process ([`crate::process::Process`]) and what its HTTP
//! requests mean. The simulator runs the processes in its own time; as programs of their own they
//! are run by `runtime`, served by `server`, and make their calls by `client`.

mod client;
mod completion;
pub mod engine;
pub(crate) mod live_caller;
pub mod live_server;
pub mod machine_list;
mod runtime;
pub mod scorer;
mod server;
pub(crate) mod settings;
pub(crate) mod trainer;
pub mod weight_store;

use crate::event_log::EventLogError;
use crate::http_server::ListenError;
use argh::FromArgs;
use settings::SettingsError;
use snafu::Snafu;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

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
    /// The service refuses a call for good.
    #[snafu(display("a call was refused for good: {code}"))]
    Refused {
        /// The service's code.
        code: String,
    },
    /// SIGTERM cannot be caught.
    #[snafu(context(false), display("cannot catch SIGTERM: {source}"))]
    Signal {
        /// Why.
        source: std::io::Error,
    },
}

/// Run one stand-in as its own process.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandInCommand {
    /// engine, live-server, weight-store, machine-list, scorer, trainer or live-caller
    #[argh(positional)]
    kind: StandInKind,
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
}

/// What a stand-in plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandInKind {
    /// A model engine.
    Engine,
    /// A live server.
    LiveServer,
    /// The weight store.
    WeightStore,
    /// The platform's machine list.
    MachineList,
    /// A scoring service.
    Scorer,
    /// A trainer.
    Trainer,
    /// Live callers.
    LiveCaller,
}

impl StandInKind {
    const ALL: [Self; 7] = [
        Self::Engine,
        Self::LiveServer,
        Self::WeightStore,
        Self::MachineList,
        Self::Scorer,
        Self::Trainer,
        Self::LiveCaller,
    ];

    /// Its name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::LiveServer => "live-server",
            Self::WeightStore => "weight-store",
            Self::MachineList => "machine-list",
            Self::Scorer => "scorer",
            Self::Trainer => "trainer",
            Self::LiveCaller => "live-caller",
        }
    }
}

impl std::str::FromStr for StandInKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| {
                let names: Vec<&str> = Self::ALL.iter().map(|kind| kind.as_str()).collect();
                format!("`{text}` is none of {}", names.join(", "))
            })
    }
}

impl StandInCommand {
    /// Runs it until the process ends.
    ///
    /// # Errors
    /// When its settings, log or port cannot be used.
    pub fn run(self) -> Result<(), StandInError> {
        let settings = self.settings.as_path();
        match self.kind {
            StandInKind::Engine => engine::run(settings),
            StandInKind::LiveServer => live_server::run(settings),
            StandInKind::WeightStore => weight_store::run(settings),
            StandInKind::MachineList => machine_list::run(settings),
            StandInKind::Scorer => scorer::run(settings),
            StandInKind::Trainer => trainer::run(settings, stop_flag()?.as_ref()),
            StandInKind::LiveCaller => live_caller::run(settings, stop_flag()?.as_ref()),
        }
    }
}

/// A flag that SIGTERM sets.
fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&stop))?;
    Ok(stop)
}
