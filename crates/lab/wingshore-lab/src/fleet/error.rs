//! Why a fleet cannot be run.

use snafu::Snafu;
use std::path::PathBuf;

/// Why a fleet cannot be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FleetError {
    /// A file or folder cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Which one.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file or folder cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    WriteFile {
        /// Which one.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is no TOML.
    #[snafu(display("{}: {source}", path.display()))]
    ParseToml {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// `lab.toml` says something unknown or wrong.
    #[snafu(display("{}: {source}", path.display()))]
    ParseLab {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// Settings cannot be written as TOML.
    #[snafu(display("cannot write the settings of {name}: {source}"))]
    WriteToml {
        /// The process.
        name: String,
        /// Why.
        source: toml::ser::Error,
    },
    /// A settings file of wingshore is wrong.
    #[snafu(display("{source}"))]
    SiteSettings {
        /// All that is wrong.
        source: wingshore_settings::SettingsErrors,
    },
    /// No port is free.
    #[snafu(display("no free port: {source}"))]
    Ports {
        /// Why.
        source: std::io::Error,
    },
    /// The `wingshore` program cannot be found or built.
    #[snafu(display("no `wingshore` program: {message}"))]
    Program {
        /// Why.
        message: String,
    },
    /// A process cannot be started or signalled.
    #[snafu(display("{name}: {source}"))]
    Process {
        /// The process.
        name: String,
        /// Why.
        source: std::io::Error,
    },
    /// A process was not ready in time.
    #[snafu(display("{name} was not ready within {seconds} s; its output: {output}"))]
    NotReady {
        /// The process.
        name: String,
        /// The limit.
        seconds: u64,
        /// The end of what it wrote.
        output: String,
    },
    /// An operator's command failed.
    #[snafu(display("`wingshore {command}` failed: {output}"))]
    Operator {
        /// The command.
        command: String,
        /// What it wrote.
        output: String,
    },
    /// An operator's command was refused; nothing was changed.
    #[snafu(display("`wingshore {command}` was refused: {output}"))]
    Refused {
        /// The command.
        command: String,
        /// What it wrote.
        output: String,
    },
    /// A name of `lab.toml` does not exist at the site.
    #[snafu(display("lab.toml names {kind} `{name}`, which the site does not have"))]
    UnknownName {
        /// What kind of thing.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A log cannot be written or read.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Why.
        source: crate::event_log::EventLogError,
    },
    /// The result cannot be printed.
    #[snafu(display("cannot print the result: {source}"))]
    Print {
        /// Why.
        source: serde_json::Error,
    },
}
