//! Durations summed up.

use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// How durations are spread, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// How many there are.
    pub count: usize,
    /// Shortest.
    pub least_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile; the longest where there are less than a hundred.
    pub p99_ms: f64,
    /// Longest.
    pub most_ms: f64,
}

impl Spread {
    /// Of `samples`; zeros without any.
    pub fn of(mut samples: Vec<Duration>) -> Self {
        samples.sort_unstable();
        Self {
            count: samples.len(),
            least_ms: at(&samples, 0),
            p50_ms: at(&samples, 50),
            p99_ms: at(&samples, 99),
            most_ms: at(&samples, 100),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "p50 {:.2} ms, p99 {:.2} ms, least {:.2} ms, most {:.2} ms (of {})",
            self.p50_ms, self.p99_ms, self.least_ms, self.most_ms, self.count
        )
    }
}

/// The value that `percent` of the sorted samples do not exceed, in milliseconds.
fn at(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    let sample = sorted.get(index).copied().unwrap_or_default();
    sample.as_secs_f64() * 1e3
}
