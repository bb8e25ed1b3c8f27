//! No sample delivered to a trainer is older than the configured bound.

use super::{Promise, RunLog, Violation};
use crate::events::{DeliveredSample, Event};
use wingshore_types::WeightVersion;

/// Versions that a sample's oldest segment lies behind the trainer.
pub fn staleness_of(sample: &DeliveredSample, trainer: WeightVersion) -> u64 {
    let oldest = sample.segments.iter().map(|segment| segment.version).min();
    oldest.map_or(0, |oldest| trainer.0.saturating_sub(oldest.0))
}

/// Judges all batches; a repeated one was judged when it came first.
pub fn check(log: &RunLog) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in log.records() {
        let Event::BatchDelivered {
            step,
            trainer_version,
            staleness_bound,
            repeated: false,
            samples,
            ..
        } = &record.event
        else {
            continue;
        };
        let stale = samples
            .iter()
            .filter(|sample| staleness_of(sample, *trainer_version) > *staleness_bound);
        violations.extend(stale.map(|sample| Violation {
            promise: Promise::StalenessBound,
            at_us: record.at_us,
            detail: format!(
                "sample {} of step {step}: {} versions old, bound {staleness_bound}",
                sample.number,
                staleness_of(sample, *trainer_version)
            ),
        }));
    }
    violations
}
