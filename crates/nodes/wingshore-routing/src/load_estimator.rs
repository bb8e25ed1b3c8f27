//! Question: what does an old load report say of others' requests on a server now?
//!
//! Inputs: pairs of reports of the same server, with their age; the reports of its service.
//!
//! Why: a report that is older than the requests it counts does harm when it is believed: every node
//! runs to the server that was emptiest a while ago.
//!
//! Rule: what a report says of one server *against
//! the mean of its service* counts by how much of such differences was still there at the next
//! report, as observed: much where requests run for minutes, nothing where they run for
//! milliseconds, or where the nodes themselves chase the reports.
//!
//! Missing input: a server without a report counts as the mean of its service, a service without one
//! that counts as empty of others' requests.

use std::time::Duration;
use wingshore_types::Instant;

/// Weight of a new pair of reports is one over this.
const SMOOTHING_DIVISOR: f64 = 64.0;
/// What is assumed before reports are seen: half of a difference is left at the next report.
const INITIAL_CORRELATION: f64 = 0.5;
/// Never believed to be more than this, so that the time stays finite.
const MAX_CORRELATION: f64 = 0.999;
/// Weights and loads are counted in thousandths.
const UNITS_PER_REQUEST: u64 = 1000;

/// Others' requests on one server, as one report says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reading {
    pub(crate) external: u32,
    pub(crate) read_at: Instant,
}

/// What the reports of one service's servers have in common.
#[derive(Clone, Debug)]
pub(crate) struct LoadEstimator {
    /// Mean of others' requests per server, in thousandths; `None` before the first report.
    mean: Option<f64>,
    expires_at: Instant,
    variance: f64,
    covariance: f64,
    /// Mean time between two readings of a server, in nanoseconds.
    interval: f64,
    /// A difference that is this old counts half, in nanoseconds.
    half_life: u64,
}

impl LoadEstimator {
    /// Nothing is known; servers will be read every `interval`.
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

    /// Takes a reading of one of `servers`, and the reading before it, if that counts.
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

    /// Mean of others' requests per server, in thousandths.
    pub(crate) fn mean(&self, now: Instant) -> u64 {
        match self.mean {
            Some(mean) if now < self.expires_at => mean as u64,
            _ => 0,
        }
    }

    /// The best guess of others' requests on a server now, in thousandths: the mean, and what is
    /// probably left of the difference that was read. Nothing, when no report counts any more.
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

    /// Learns from two readings of one server how much of a difference is left.
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
