//! Settings of the router. Durations are texts with units, for instance `"250ms"`.

use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// All settings of a [`crate::Router`]; each has a default, so that an empty table is valid.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterSettings {
    /// Servers compared per decision. Default 2, 1 to 8.
    pub choices: u32,
    /// Time between two probes of one server. Default 1 s, 50 ms to 1 min.
    #[serde(deserialize_with = "duration")]
    pub probe_interval: Duration,
    /// Failed probes in a row that make a server unhealthy. Default 3, 1 to 100.
    pub unhealthy_after: u32,
    /// Good probes in a row that make it healthy again. Default 2, 1 to 100.
    pub healthy_after: u32,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            choices: 2,
            probe_interval: Duration::from_secs(1),
            unhealthy_after: 3,
            healthy_after: 2,
        }
    }
}

/// Reads a duration with its unit.
fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(serde::de::Error::custom)
}
