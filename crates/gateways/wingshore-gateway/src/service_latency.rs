//! Answer times of each service, as this gateway has measured them.
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The answer times of live requests and of scorings, because both run on the same
//! servers, and the elapsed time of abandoned attempts: their answers would have taken longer.
//!
//! **Rule.** One histogram for each service. All counts are halved at fixed intervals, so that old
//! answers lose weight.
//!
//! **Missing inputs.** A service with too few recent answers has no percentile.

use hdrhistogram::{CreationError, Histogram};
use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::ServiceName;
use wingshore_types::Instant;

/// The counts are halved after this time. A gateway with one answer every two seconds keeps enough
/// of them for a percentile.
const HALVING_INTERVAL: Duration = Duration::from_secs(30);
/// Weight of a new answer; a single one is counted through four halvings.
const ANSWER_WEIGHT: u32 = 16;
/// Number of new answers that a percentile requires: with fewer than 20, the 95th percentile is the
/// slowest answer.
const MIN_ANSWERS: u64 = 20;
/// The quantile that [`ServiceLatencies::percentile`] returns.
const QUANTILE: f64 = 0.95;
/// Upper bound of the recorded times, in milliseconds; longer ones count as this.
const MAX_MILLIS: u64 = 60_000;
/// Significant decimal digits of the recorded times.
const DIGITS: u8 = 2;

/// Answer times of one service.
struct ServiceLatency {
    /// Times in milliseconds.
    histogram: Histogram<u32>,
    last_halved_at: Instant,
}

/// Answer times of all services.
pub struct ServiceLatencies {
    by_service: HashMap<ServiceName, ServiceLatency>,
    /// An empty histogram, cloned for each new service.
    empty: Histogram<u32>,
}

impl ServiceLatencies {
    /// Starts without answers.
    ///
    /// # Errors
    /// Fails if the bounds of the histograms are invalid.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            by_service: HashMap::new(),
            empty: Histogram::new_with_bounds(1, MAX_MILLIS, DIGITS)?,
        })
    }

    /// Records an answer of a service, or an attempt that was abandoned after `time`.
    pub fn record(&mut self, now: Instant, service: &ServiceName, time: Duration) {
        let latency = match self.by_service.get_mut(service) {
            Some(latency) => latency,
            None => {
                let new = ServiceLatency {
                    histogram: self.empty.clone(),
                    last_halved_at: now,
                };
                self.by_service.entry(service.clone()).or_insert(new)
            }
        };
        latency.age(now);
        let millis = u64::try_from(time.as_millis()).unwrap_or(MAX_MILLIS);
        let histogram = &mut latency.histogram;
        histogram.saturating_record_n(millis.clamp(1, MAX_MILLIS), ANSWER_WEIGHT);
    }

    /// Returns the 95th percentile of a service's answer times; `None` with too few recent answers.
    pub fn percentile(&mut self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let latency = self.by_service.get_mut(service)?;
        latency.age(now);
        let histogram = &latency.histogram;
        let has_enough = histogram.len() >= MIN_ANSWERS * u64::from(ANSWER_WEIGHT);
        has_enough.then(|| Duration::from_millis(histogram.value_at_quantile(QUANTILE)))
    }

    /// Forgets services for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| is_known(service));
    }
}

impl ServiceLatency {
    /// Halves the counts once for each interval that has passed.
    fn age(&mut self, now: Instant) {
        while now.since(self.last_halved_at) >= HALVING_INTERVAL {
            if self.histogram.is_empty() {
                self.last_halved_at = now;
                return;
            }
            self.last_halved_at = self.last_halved_at + HALVING_INTERVAL;
            self.halve();
        }
    }

    fn halve(&mut self) {
        let recorded = self.histogram.iter_recorded();
        let halves: Vec<(u64, u32)> = recorded
            .map(|cell| (cell.value_iterated_to(), cell.count_at_value() / 2))
            .collect();
        self.histogram.reset();
        for (millis, count) in halves {
            self.histogram.saturating_record_n(millis, count);
        }
    }
}
