//! Numbers with units.

use std::time::Duration;

/// A duration setting: key, default and range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurationSetting {
    pub(crate) key: &'static str,
    pub(crate) default: Duration,
    pub(crate) minimum: Duration,
    pub(crate) maximum: Duration,
}

/// A whole-number setting: key, default and range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IntegerSetting {
    pub(crate) key: &'static str,
    pub(crate) default: u64,
    pub(crate) minimum: u64,
    pub(crate) maximum: u64,
}

/// A size setting in bytes: key, default and range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeSetting {
    pub(crate) key: &'static str,
    pub(crate) default: u64,
    pub(crate) minimum: u64,
    pub(crate) maximum: u64,
}

impl DurationSetting {
    /// The range as errors and the list of settings show it.
    pub(crate) fn rule(&self) -> String {
        format!(
            "a duration with unit from \"{}\" to \"{}\"",
            humantime::format_duration(self.minimum),
            humantime::format_duration(self.maximum)
        )
    }
}

impl IntegerSetting {
    /// The range as errors and the list of settings show it.
    pub(crate) fn rule(&self) -> String {
        format!("a whole number from {} to {}", self.minimum, self.maximum)
    }
}

impl SizeSetting {
    /// The range as errors and the list of settings show it.
    pub(crate) fn rule(&self) -> String {
        format!(
            "a size with unit (KiB, MiB, GiB) from \"{}\" to \"{}\"",
            show_size(self.minimum),
            show_size(self.maximum)
        )
    }
}

/// One kibibyte.
pub(crate) const KIB: u64 = 1024;
/// One mebibyte.
pub(crate) const MIB: u64 = 1024 * KIB;
/// One gibibyte.
pub(crate) const GIB: u64 = 1024 * MIB;

/// Parses `"250ms"`, `"5s"`, `"1h 30m"`; a number without a unit is refused.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok()
}

/// Parses `"512KiB"`, `"16MiB"`, `"2GiB"`; a number without a unit is refused.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    const UNITS: [(&str, u64); 3] = [("KiB", KIB), ("MiB", MIB), ("GiB", GIB)];
    let (number, unit) = UNITS
        .iter()
        .find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, unit)))?;
    let number: u64 = number.trim().parse().ok()?;
    number.checked_mul(*unit)
}

/// A size as an error shows it.
pub(crate) fn show_size(bytes: u64) -> String {
    if bytes >= GIB && bytes.is_multiple_of(GIB) {
        format!("{}GiB", bytes / GIB)
    } else if bytes >= MIB && bytes.is_multiple_of(MIB) {
        format!("{}MiB", bytes / MIB)
    } else {
        format!("{}KiB", bytes / KIB)
    }
}
