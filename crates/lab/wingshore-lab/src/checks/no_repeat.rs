//! A request that must not be repeated runs at most once, by its key or, without one, by itself.

use super::{Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::BTreeMap;

/// Judges all executions of charges.
pub fn check(log: &RunLog) -> Vec<Violation> {
    let mut executions: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for record in log.records() {
        if let Event::Executed {
            request,
            key,
            charge: true,
            ..
        } = &record.event
        {
            let identity = match key {
                Some(key) => ("key", key.as_str()),
                None => ("request", request.as_str()),
            };
            executions.entry(identity).or_default().push(record.at_us);
        }
    }
    executions
        .into_iter()
        .filter(|(_, times)| times.len() > 1)
        .map(|((kind, name), times)| Violation {
            promise: Promise::NoRepeat,
            at_us: times[times.len() - 1],
            detail: format!("{kind} {name} ran {} times", times.len()),
        })
        .collect()
}
