//! The number of tokens that one event of a stream holds, learned from completed texts.

use crate::ids::ServiceName;
use std::collections::HashMap;

/// Minimum number of events of completed texts before the size of an event is known: a few texts,
/// since the estimates of single ones are often far off.
const MIN_EVENTS: f64 = 200.0;
/// Number of events from which on older ones count less, so that a changed size is learned.
const MAX_EVENTS: f64 = 20_000.0;

/// Estimated tokens and observed events of completed texts.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tokens: f64,
    events: f64,
}

/// Tokens per event, by service.
#[derive(Debug, Default)]
pub(crate) struct EventSizes {
    sums: HashMap<ServiceName, Sum>,
}

impl EventSizes {
    /// Records a completed text that was estimated to have `tokens` and came in `events`.
    pub(crate) fn record(&mut self, service: &ServiceName, tokens: u64, events: f64) {
        let sum = self.sums.entry(service.clone()).or_default();
        if sum.events > MAX_EVENTS {
            sum.tokens /= 2.0;
            sum.events /= 2.0;
        }
        sum.tokens += tokens as f64;
        sum.events += events;
    }

    /// Returns the number of events that hold `tokens`; `None` if that is not known yet.
    pub(crate) fn events_of(&self, service: &ServiceName, tokens: u64) -> Option<f64> {
        let sum = self.sums.get(service)?;
        let is_known = sum.events >= MIN_EVENTS && sum.tokens > 0.0;
        is_known.then(|| tokens as f64 * sum.events / sum.tokens)
    }
}
