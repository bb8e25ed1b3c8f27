//! How long items run, measured from those that ended.

use crate::ids::ServiceName;
use std::collections::HashMap;
use std::time::Duration;

/// Run time per expected token until the first item has ended, in milliseconds: that of a slow
/// engine, so that items rather start early.
const INITIAL_MS_PER_TOKEN: f64 = 1.0;
/// Expected run time of an item without an estimate until the first item has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(1);
/// Longest expected run time, longer than any item runs: callers' estimates are not limited.
const MAX_RUN_TIME: Duration = Duration::from_secs(3600);
/// Weight of the newest item in the moving averages, between 0 and 1: the last 50 or so count.
const NEWEST_WEIGHT: f64 = 0.02;

/// Moving averages over ended items.
#[derive(Clone, Copy, Debug)]
struct Averages {
    /// Logarithm of the milliseconds per expected token. Its mean is not moved far by a single
    /// estimate that is off by orders of magnitude.
    log_ms_per_token: f64,
    /// Run time in milliseconds.
    milliseconds: f64,
}

/// Run times by service.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    services: HashMap<ServiceName, Averages>,
}

impl RunTimes {
    /// Records that an item ran for `time`; `expected_tokens` is the estimate of its length.
    pub(crate) fn record(&mut self, service: &ServiceName, expected_tokens: u64, time: Duration) {
        let milliseconds = time.as_secs_f64() * 1000.0;
        if expected_tokens == 0 || milliseconds <= 0.0 {
            return;
        }
        let log_ms_per_token = (milliseconds / expected_tokens as f64).ln();
        let newest = Averages {
            log_ms_per_token,
            milliseconds,
        };
        let known = self.services.entry(service.clone()).or_insert(newest);
        known.log_ms_per_token += (log_ms_per_token - known.log_ms_per_token) * NEWEST_WEIGHT;
        known.milliseconds += (milliseconds - known.milliseconds) * NEWEST_WEIGHT;
    }

    /// Returns the expected run time of an item, at most [`MAX_RUN_TIME`].
    pub(crate) fn expected(&self, service: Option<&ServiceName>, tokens: u64) -> Duration {
        let known = service.and_then(|service| self.services.get(service));
        let per_token = known.map_or(INITIAL_MS_PER_TOKEN, |known| known.log_ms_per_token.exp());
        let seconds = tokens as f64 * per_token / 1000.0;
        Duration::from_secs_f64(seconds.min(MAX_RUN_TIME.as_secs_f64()))
    }

    /// Returns the mean run time of a service's items.
    pub(crate) fn mean(&self, service: Option<&ServiceName>) -> Duration {
        let known = service.and_then(|service| self.services.get(service));
        let mean = known.map(|known| Duration::from_secs_f64(known.milliseconds / 1000.0));
        mean.unwrap_or(INITIAL_RUN_TIME)
    }
}
