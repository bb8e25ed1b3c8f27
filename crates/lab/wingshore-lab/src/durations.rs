//! Durations in settings files, written with their unit: `250ms`, `2s`.

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use std::time::Duration;

/// Writes a duration with its unit.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*duration))
}

/// Reads a duration with its unit.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(|error| {
        D::Error::custom(format!(
            "`{text}` is no duration ({error}); write for instance `250ms`"
        ))
    })
}
