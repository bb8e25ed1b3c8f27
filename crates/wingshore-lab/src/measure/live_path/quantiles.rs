//! Median and 99th percentile of durations, and what one side adds to the other.

use serde::Serialize;
use std::time::Duration;

/// Microseconds of a second.
const MICROSECONDS: f64 = 1e6;

/// Median and 99th percentile, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_us: f64,
    /// 99th percentile.
    pub p99_us: f64,
}

/// The same request sent directly and through a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The request.
    pub request: &'static str,
    /// Pairs taken.
    pub pairs: usize,
    /// Sent directly to the server.
    pub direct: Quantiles,
    /// Sent through the node.
    pub through_node: Quantiles,
    /// Difference of the two.
    pub added: Quantiles,
}

impl Quantiles {
    /// Of `samples`; zero when there are none.
    pub fn of(mut samples: Vec<Duration>) -> Self {
        samples.sort_unstable();
        Self {
            p50_us: at(&samples, 50),
            p99_us: at(&samples, 99),
        }
    }
}

impl Comparison {
    /// Compares two sides of one run.
    pub fn new(request: &'static str, direct: Vec<Duration>, through_node: Vec<Duration>) -> Self {
        let pairs = direct.len().min(through_node.len());
        let (direct, through_node) = (Quantiles::of(direct), Quantiles::of(through_node));
        Self {
            request,
            pairs,
            direct,
            through_node,
            added: Quantiles {
                p50_us: through_node.p50_us - direct.p50_us,
                p99_us: through_node.p99_us - direct.p99_us,
            },
        }
    }

    /// One line for people.
    pub fn text(&self) -> String {
        format!(
            "{:<24} {:>6} pairs  direct {:>7.0}/{:>7.0} us  node {:>7.0}/{:>7.0} us  added {:>7.0}/{:>7.0} us",
            self.request,
            self.pairs,
            self.direct.p50_us,
            self.direct.p99_us,
            self.through_node.p50_us,
            self.through_node.p99_us,
            self.added.p50_us,
            self.added.p99_us
        )
    }
}

/// The value below which `percent` of the sorted samples lie, in microseconds.
fn at(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    let sample = sorted.get(index).copied().unwrap_or_default();
    sample.as_secs_f64() * MICROSECONDS
}
