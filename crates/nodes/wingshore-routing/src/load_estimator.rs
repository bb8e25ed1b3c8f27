//! Load estimation: estimates the current requests of other nodes on a server from an old load
//! report.
//!
//! Inputs: pairs of successive reports of the same server with their age, and the reports of all
//! servers of its service.
//!
//! Trusting a report that is older than the requests it counts does harm: every node sends its
//! requests to the server that was least loaded some time ago. The estimate therefore weights the
//! difference between a server's report and *the mean of its service* by the observed part of such
//! differences that persists until the next report. That part is large where requests run for
//! minutes, and zero where they run for milliseconds or where the nodes themselves follow the
//! reports.
//!
//! A server without a report counts with the mean of its service. A service without a valid report
//! counts as free of external requests.

use std::time::Duration;
use wingshore_types::Instant;

/// Divisor of the exponential moving averages: a new pair of reports has a weight of 1/64.
const SMOOTHING_DIVISOR: f64 = 64.0;
/// Correlation assumed before the first reports: half of a difference persists until the next one.
const INITIAL_CORRELATION: f64 = 0.5;
/// Upper bound of the correlation; it keeps the half-life finite.
const MAX_CORRELATION: f64 = 0.999;
/// Load units per request: loads are in thousandths of a request.
const UNITS_PER_REQUEST: u64 = 1000;

/// Requests of other nodes on one server according to one report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reading {
    pub(crate) external: u32,
    pub(crate) read_at: Instant,
}

/// Statistics over the reports of all servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct LoadEstimator {
    /// Mean external requests per server, in thousandths; `None` before the first report.
    mean: Option<f64>,
    expires_at: Instant,
    variance: f64,
    covariance: f64,
    /// Mean time between two readings of a server, in nanoseconds.
    interval: f64,
    /// Age at which a difference counts half, in nanoseconds.
    half_life: u64,
}

impl LoadEstimator {
    /// Creates an estimator without data for servers that are read every `interval`.
    pub(crate) fn new(interval: Duration) -> Self {
        let interval = interval.as_nanos() as f64;
        Self {
            mean: None,
            expires_at: Instant::ZERO,
            variance: 1.0,
            covariance: INITIAL_CORRELATION,
            interval,
            half_life: interval as u64,
        }
    }

    /// Applies a reading of one of `servers`, together with the previous reading of that server if
    /// there is one.
    pub(crate) fn on_reading(
        &mut self,
        reading: Reading,
        before: Option<Reading>,
        servers: usize,
        lifetime: Duration,
    ) {
        let external = f64::from(reading.external) * UNITS_PER_REQUEST as f64;
        let mean = self.mean.unwrap_or(external);
        if let Some(before) = before {
            self.update_correlation(reading, before, mean);
        }
        self.mean = Some(mean + (external - mean) / servers.max(1) as f64);
        self.expires_at = self.expires_at.max(reading.read_at + lifetime);
    }

    /// Returns the mean external requests per server, in thousandths; zero without a valid report.
    pub(crate) fn mean(&self, now: Instant) -> u64 {
        match self.mean {
            Some(mean) if now < self.expires_at => mean as u64,
            _ => 0,
        }
    }

    /// Returns the estimated external requests on a server at `now`, in thousandths: the mean plus
    /// the part of the reading's difference from it that probably persists. Returns zero if no
    /// report is valid any more.
    pub(crate) fn estimate(&self, now: Instant, reading: Option<Reading>) -> u64 {
        let mean = self.mean(now);
        let Some(reading) = reading.filter(|_| now < self.expires_at) else {
            return mean;
        };
        let read = u64::from(reading.external) * UNITS_PER_REQUEST;
        let age = now.0.saturating_sub(reading.read_at.0);
        let left = |difference: u64| {
            let product = u128::from(difference) * u128::from(self.half_life);
            (product / u128::from((self.half_life + age).max(1))) as u64
        };
        match read >= mean {
            true => mean + left(read - mean),
            false => mean - left(mean - read),
        }
    }

    /// Updates the correlation and the half-life with two successive readings of one server.
    fn update_correlation(&mut self, reading: Reading, before: Reading, mean: f64) {
        let difference =
            |reading: Reading| f64::from(reading.external) - mean / UNITS_PER_REQUEST as f64;
        let (old, new) = (difference(before), difference(reading));
        let elapsed = reading.read_at.since(before.read_at).as_nanos() as f64;
        self.variance += (old * old - self.variance) / SMOOTHING_DIVISOR;
        self.covariance += (old * new - self.covariance) / SMOOTHING_DIVISOR;
        self.interval += (elapsed - self.interval) / SMOOTHING_DIVISOR;
        let correlation = match self.variance > f64::EPSILON {
            true => self.covariance / self.variance,
            false => INITIAL_CORRELATION,
        };
        let correlation = correlation.clamp(0.0, MAX_CORRELATION);
        self.half_life = (self.interval * correlation / (1.0 - correlation)) as u64;
    }
}
