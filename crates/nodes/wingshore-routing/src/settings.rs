//! Settings of the router. Durations are strings with units, for instance `"250ms"`; shares are in
//! thousandths.

use serde::{Deserialize, Deserializer};
use snafu::Snafu;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingshore_types::configuration::Permille;

/// Settings of a [`crate::Router`]. Each has a default, so an empty table is valid.
///
/// The modules describe the algorithms behind the settings: `balance` describes `choices`,
/// `admission` describes `live_reserve` and `burst_memory`, `retry` describes the retry budget, and
/// `subset` describes `subset_size`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterSettings {
    /// Number of servers compared per decision, in the node's own zone and in the other zones each.
    /// Default 2, 1 to 8.
    pub choices: u32,
    /// Number of requests in flight that a server of another zone must have less than one of the
    /// own zone to be preferred. Default 2, 0 to 1000.
    pub zone_penalty: u32,
    /// Time for which a recovered server gets fewer requests. Default 10 s, 0 s to 10 min.
    #[serde(deserialize_with = "duration")]
    pub slow_start: Duration,
    /// Time between two probes of one server. Default 1 s, 50 ms to 1 min.
    #[serde(deserialize_with = "duration")]
    pub probe_interval: Duration,
    /// Maximum number of probes per second over all services; if more are due, rounds take longer.
    /// Default 1000, 1 to 100,000.
    pub probes_per_second: u32,
    /// Time without requests after which the servers of a service are no longer probed.
    /// Default 1 min, 1 s to 1 h.
    #[serde(deserialize_with = "duration")]
    pub unused_after: Duration,
    /// Consecutive failed rounds of probes that make a server unhealthy. Default 3, 1 to 100.
    pub unhealthy_after: u32,
    /// Consecutive successful rounds of probes that make a server healthy again. Default 2, 1 to
    /// 100.
    pub healthy_after: u32,
    /// Backoff after a server refused a request without running it; doubles with each consecutive
    /// refusal. Default 200 ms, 10 ms to 10 s.
    #[serde(deserialize_with = "duration")]
    pub refusal_pause: Duration,
    /// Maximum backoff after refusals. Default 5 s, 10 ms to 1 min.
    #[serde(deserialize_with = "duration")]
    pub refusal_pause_most: Duration,
    /// Time for which an engine's reported version is valid. Default 10 s, 1 s to 5 min.
    #[serde(deserialize_with = "duration")]
    pub state_lifetime: Duration,
    /// Time for which the last load report of a service is valid. Default 5 s, 100 ms to 5 min.
    #[serde(deserialize_with = "duration")]
    pub load_lifetime: Duration,
    /// Cost reduction for a completely cached prompt, in requests in flight. Default 2, 0 to 100; 0
    /// ignores caches.
    pub affinity_bonus: u32,
    /// Maximum number of cached prefixes recorded per server. Default 4096, 1 to 1,000,000.
    pub affinity_entries: u32,
    /// Half-life of the score of a recorded prefix. Default 2 min, 1 s to 1 h.
    #[serde(deserialize_with = "duration")]
    pub affinity_half_life: Duration,
    /// Consecutive failures that eject a server. Default 5, 1 to 1000.
    pub eject_after: u32,
    /// Duration of the first ejection; doubles with each further one. Default 5 s, 100 ms to
    /// 10 min.
    #[serde(deserialize_with = "duration")]
    pub eject_time: Duration,
    /// Maximum duration of an ejection. Default 2 min, 100 ms to 1 h.
    #[serde(deserialize_with = "duration")]
    pub eject_time_most: Duration,
    /// Maximum share of a service's servers that may be ejected at the same time. Default 500, 0 to
    /// 900.
    pub most_ejected: Permille,
    /// Minimum share of the live guarantee that rollouts leave free for bursts. Default 125, 0 to
    /// 1000.
    pub live_reserve: Permille,
    /// Time for which rollouts leave free the slots that live requests used at their peak; it may
    /// be up to twice as long. Default 1 min, 0 s to 1 h; 0 s leaves only `live_reserve` free.
    #[serde(deserialize_with = "duration")]
    pub burst_memory: Duration,
    /// Time for which a class that was refused below its guarantee keeps the other class from
    /// borrowing. Default 2 s, 10 ms to 1 min.
    #[serde(deserialize_with = "duration")]
    pub reclaim_window: Duration,
    /// Retries allowed per first attempt, in thousandths. Default 200, 0 to 1000.
    pub retry_share: Permille,
    /// Retries allowed per second and service in addition to `retry_share`. Default 5, 0 to 10,000.
    pub retry_least_per_second: u32,
    /// Maximum number of retries that may accumulate per service. Default 20, 1 to 100,000.
    pub retry_burst: u32,
    /// Number of servers of each service that this node uses and probes; grows up to fourfold while
    /// they are exhausted. Default 40, 1 to 100,000.
    pub subset_size: u32,
    /// Share of the subset in other zones, if those have servers. Default 250, 0 to 1000.
    pub subset_other_zones: Permille,
    /// Minimum retry-after of a refused caller. Default 50 ms, 1 ms to 1 min.
    #[serde(deserialize_with = "duration")]
    pub retry_after_least: Duration,
    /// Maximum retry-after of a refused caller. Default 30 s, 1 ms to 1 h.
    #[serde(deserialize_with = "duration")]
    pub retry_after_most: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            choices: 2,
            zone_penalty: 2,
            slow_start: Duration::from_secs(10),
            probe_interval: Duration::from_secs(1),
            probes_per_second: 1000,
            unused_after: MINUTE,
            unhealthy_after: 3,
            healthy_after: 2,
            refusal_pause: Duration::from_millis(200),
            refusal_pause_most: Duration::from_secs(5),
            state_lifetime: Duration::from_secs(10),
            load_lifetime: Duration::from_secs(5),
            affinity_bonus: 2,
            affinity_entries: 4096,
            affinity_half_life: Duration::from_secs(120),
            eject_after: 5,
            eject_time: Duration::from_secs(5),
            eject_time_most: Duration::from_secs(120),
            most_ejected: Permille(500),
            live_reserve: Permille(125),
            burst_memory: Duration::from_secs(60),
            reclaim_window: Duration::from_secs(2),
            retry_share: Permille(200),
            retry_least_per_second: 5,
            retry_burst: 20,
            subset_size: 40,
            subset_other_zones: Permille(250),
            retry_after_least: Duration::from_millis(50),
            retry_after_most: Duration::from_secs(30),
        }
    }
}

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{key}` is {found}; allowed is {allowed}"))]
pub struct SettingError {
    /// Name of the setting.
    pub key: &'static str,
    /// Value of the setting.
    pub found: String,
    /// Allowed range.
    pub allowed: String,
}

/// One millisecond, the unit of the shortest limits.
const MILLISECOND: Duration = Duration::from_millis(1);
/// One second.
const SECOND: Duration = Duration::from_secs(1);
/// One minute.
const MINUTE: Duration = Duration::from_secs(60);
/// One hour, the longest time that a setting may name.
const HOUR: Duration = Duration::from_secs(3600);

impl RouterSettings {
    /// Checks the range of every setting and returns one error for each value out of range.
    pub fn check(&self) -> Vec<SettingError> {
        let mut errors = Vec::new();
        self.check_numbers(&mut errors);
        self.check_shares(&mut errors);
        self.check_durations(&mut errors);
        errors
    }

    fn check_numbers(&self, errors: &mut Vec<SettingError>) {
        let rows = [
            ("choices", self.choices, 1..=8),
            ("zone_penalty", self.zone_penalty, 0..=1000),
            ("probes_per_second", self.probes_per_second, 1..=100_000),
            ("unhealthy_after", self.unhealthy_after, 1..=100),
            ("healthy_after", self.healthy_after, 1..=100),
            ("affinity_bonus", self.affinity_bonus, 0..=100),
            ("affinity_entries", self.affinity_entries, 1..=1_000_000),
            ("eject_after", self.eject_after, 1..=1000),
            (
                "retry_least_per_second",
                self.retry_least_per_second,
                0..=10_000,
            ),
            ("retry_burst", self.retry_burst, 1..=100_000),
            ("subset_size", self.subset_size, 1..=100_000),
        ];
        for (key, value, range) in rows {
            check_range(key, &value, &range, |number| number.to_string(), errors);
        }
    }

    fn check_shares(&self, errors: &mut Vec<SettingError>) {
        let rows = [
            ("most_ejected", self.most_ejected, 900),
            ("live_reserve", self.live_reserve, 1000),
            ("retry_share", self.retry_share, 1000),
            ("subset_other_zones", self.subset_other_zones, 1000),
        ];
        for (key, value, most) in rows {
            let range = 0..=most;
            check_range(key, &value.0, &range, |share| share.to_string(), errors);
        }
    }

    fn check_durations(&self, errors: &mut Vec<SettingError>) {
        let rows = [
            ("slow_start", self.slow_start, Duration::ZERO..=10 * MINUTE),
            (
                "probe_interval",
                self.probe_interval,
                50 * MILLISECOND..=MINUTE,
            ),
            (
                "refusal_pause",
                self.refusal_pause,
                10 * MILLISECOND..=10 * SECOND,
            ),
            (
                "refusal_pause_most",
                self.refusal_pause_most,
                10 * MILLISECOND..=MINUTE,
            ),
            ("unused_after", self.unused_after, SECOND..=HOUR),
            ("state_lifetime", self.state_lifetime, SECOND..=5 * MINUTE),
            (
                "load_lifetime",
                self.load_lifetime,
                100 * MILLISECOND..=5 * MINUTE,
            ),
            ("affinity_half_life", self.affinity_half_life, SECOND..=HOUR),
            (
                "eject_time",
                self.eject_time,
                100 * MILLISECOND..=10 * MINUTE,
            ),
            (
                "eject_time_most",
                self.eject_time_most,
                100 * MILLISECOND..=HOUR,
            ),
            ("burst_memory", self.burst_memory, Duration::ZERO..=HOUR),
            (
                "reclaim_window",
                self.reclaim_window,
                10 * MILLISECOND..=MINUTE,
            ),
            (
                "retry_after_least",
                self.retry_after_least,
                MILLISECOND..=MINUTE,
            ),
            (
                "retry_after_most",
                self.retry_after_most,
                MILLISECOND..=HOUR,
            ),
        ];
        for (key, value, range) in rows {
            let text = |duration: &Duration| humantime::format_duration(*duration).to_string();
            check_range(key, &value, &range, text, errors);
        }
    }
}

/// Appends an error if `value` is outside `range`.
fn check_range<T: PartialOrd>(
    key: &'static str,
    value: &T,
    range: &RangeInclusive<T>,
    text: impl Fn(&T) -> String,
    errors: &mut Vec<SettingError>,
) {
    if range.contains(value) {
        return;
    }
    errors.push(SettingError {
        key,
        found: text(value),
        allowed: between(&text(range.start()), &text(range.end())),
    });
}

fn between(least: &impl Display, most: &impl Display) -> String {
    format!("{least} to {most}")
}

/// Deserializes a duration with its unit.
fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(serde::de::Error::custom)
}
