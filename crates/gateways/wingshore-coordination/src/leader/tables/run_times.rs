//! How long items run, measured from those that ended.

use crate::ids::ServiceName;
use std::collections::HashMap;
use std::time::Duration;

/// Run time per expected token until the first item has ended, in milliseconds: that of a slow
/// engine, so that items rather start early.
const INITIAL_MS_PER_TOKEN: f64 = 1.0;
/// Longest expected run time, longer than any item runs: callers' estimates are not limited.
const MAX_RUN_TIME: Duration = Duration::from_secs(3600);
/// Weight that the sums keep with each further item, so that the last 50 or so count.
const DECAY: f64 = 0.98;

/// Sums over ended items, aged.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    tokens: f64,
    milliseconds: f64,
}

/// Run times by service.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    services: HashMap<ServiceName, Sums>,
}

impl RunTimes {
    /// Records that an item ran for `time`; `expected_tokens` is the estimate of its length.
    pub(crate) fn record(&mut self, service: &ServiceName, expected_tokens: u64, time: Duration) {
        if expected_tokens == 0 {
            return;
        }
        let sums = self.services.entry(service.clone()).or_default();
        sums.tokens = sums.tokens * DECAY + expected_tokens as f64;
        sums.milliseconds = sums.milliseconds * DECAY + time.as_secs_f64() * 1000.0;
    }

    /// Returns the expected run time of an item, at most [`MAX_RUN_TIME`].
    pub(crate) fn expected(&self, service: Option<&ServiceName>, tokens: u64) -> Duration {
        let sums = service.and_then(|service| self.services.get(service));
        let per_token = match sums {
            Some(sums) if sums.tokens > 0.0 => sums.milliseconds / sums.tokens,
            _ => INITIAL_MS_PER_TOKEN,
        };
        let seconds = tokens as f64 * per_token / 1000.0;
        Duration::from_secs_f64(seconds.min(MAX_RUN_TIME.as_secs_f64()))
    }
}
