//! Settings common to all stand-ins, and reading them from TOML.

use crate::durations;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file says something unknown or wrong.
    #[snafu(display("{}: {source}", path.display()))]
    ParseFile {
        /// The file.
        path: PathBuf,
        source: Box<toml::de::Error>,
    },
}

/// What every stand-in that listens needs to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Its name in logs and in the machine list.
    pub name: String,
    pub listen: SocketAddr,
    pub log: PathBuf,
    /// Stands for the network: time from a client to it and back.
    #[serde(with = "durations", default)]
    pub round_trip: Duration,
}

/// Settings of a process, its common part beside its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings<T> {
    /// Common part.
    pub process: ListenSettings,
    /// Own part.
    pub behaviour: T,
}

/// Reads a TOML file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    toml::from_str(&text)
        .map_err(Box::new)
        .context(ParseFileSnafu { path })
}
