//! Settings with a range, and values with units.

use crate::document::Value;
use std::time::Duration;

/// Key, default and inclusive range of a setting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangedSetting<T> {
    pub(crate) key: &'static str,
    pub(crate) default: T,
    pub(crate) minimum: T,
    pub(crate) maximum: T,
}

/// A setting that is a duration.
pub(crate) type DurationSetting = RangedSetting<Duration>;
/// A setting that is a whole number.
pub(crate) type IntegerSetting = RangedSetting<u64>;
/// A setting that is a size in bytes.
pub(crate) type SizeSetting = RangedSetting<Bytes>;

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Bytes(pub(crate) u64);

impl<T: RangedValue> RangedSetting<T> {
    /// Describes the range for errors and for the list of settings.
    pub(crate) fn rule(&self) -> String {
        T::rule(&self.minimum.show(), &self.maximum.show())
    }

    /// Parses `value`; `None` if it has the wrong type or is out of range.
    pub(crate) fn parse(&self, value: &Value) -> Option<T> {
        let parsed = T::parse(value);
        parsed.filter(|value| (self.minimum..=self.maximum).contains(value))
    }
}

/// A type of value that a [`RangedSetting`] can have.
pub(crate) trait RangedValue: Copy + PartialOrd {
    /// Formats the value for errors and for the list of settings.
    fn show(self) -> String;

    /// Describes the values from `minimum` to `maximum`.
    fn rule(minimum: &str, maximum: &str) -> String;

    /// Parses a value of a file without a range check; `None` if it is not of this type.
    fn parse(value: &Value) -> Option<Self>;
}

impl RangedValue for Duration {
    fn show(self) -> String {
        humantime::format_duration(self).to_string()
    }

    fn rule(minimum: &str, maximum: &str) -> String {
        format!("a duration with unit from \"{minimum}\" to \"{maximum}\"")
    }

    /// Parses `"250ms"`, `"5s"`, `"1h 30m"`; a number without a unit is rejected.
    fn parse(value: &Value) -> Option<Self> {
        let Value::Text(text) = value else {
            return None;
        };
        humantime::parse_duration(text).ok()
    }
}

impl RangedValue for u64 {
    fn show(self) -> String {
        self.to_string()
    }

    fn rule(minimum: &str, maximum: &str) -> String {
        format!("a whole number from {minimum} to {maximum}")
    }

    fn parse(value: &Value) -> Option<Self> {
        let Value::Integer(integer) = value else {
            return None;
        };
        Self::try_from(*integer).ok()
    }
}

impl RangedValue for Bytes {
    fn show(self) -> String {
        let Self(bytes) = self;
        if bytes >= GIB && bytes.is_multiple_of(GIB) {
            format!("{}GiB", bytes / GIB)
        } else if bytes >= MIB && bytes.is_multiple_of(MIB) {
            format!("{}MiB", bytes / MIB)
        } else {
            format!("{}KiB", bytes / KIB)
        }
    }

    fn rule(minimum: &str, maximum: &str) -> String {
        format!("a size with unit (KiB, MiB, GiB) from \"{minimum}\" to \"{maximum}\"")
    }

    /// Parses `"512KiB"`, `"16MiB"`, `"2GiB"`; a number without a unit is rejected.
    fn parse(value: &Value) -> Option<Self> {
        const UNITS: [(&str, u64); 3] = [("KiB", KIB), ("MiB", MIB), ("GiB", GIB)];
        let Value::Text(text) = value else {
            return None;
        };
        let (number, unit) = UNITS
            .iter()
            .find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, unit)))?;
        let number: u64 = number.trim().parse().ok()?;
        number.checked_mul(*unit).map(Self)
    }
}

/// Bytes in a kibibyte.
pub(crate) const KIB: u64 = 1024;
/// Bytes in a mebibyte.
pub(crate) const MIB: u64 = 1024 * KIB;
/// Bytes in a gibibyte.
pub(crate) const GIB: u64 = 1024 * MIB;
