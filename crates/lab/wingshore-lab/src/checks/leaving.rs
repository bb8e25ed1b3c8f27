//! A back end that is leaving gets no new work after a few seconds.

use super::{Limits, Promise, RunLog, Violation};
use crate::events::{Event, Record};
use std::collections::BTreeMap;

/// Judges all work that reaches back ends while they are leaving.
pub fn check(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let bound_us = limits.leaving.as_micros() as u64;
    let mut leaving_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in log.records() {
        match &record.event {
            Event::Leaving { server } => {
                leaving_since.entry(server).or_insert(record.at_us);
            }
            Event::Staying { server } => {
                leaving_since.remove(server.as_str());
            }
            _ => {}
        }
        let since = leaving_since.get(record.source.as_str());
        if let (Some(since), Some(work)) = (since, work_of(record))
            && record.at_us > since + bound_us
        {
            let late = (record.at_us - since) / 1000;
            violations.push(Violation {
                promise: Promise::Leaving,
                at_us: record.at_us,
                detail: format!("{}: {work} reached it {late} ms after", record.source),
            });
        }
    }
    violations
}

/// The work that a record shows to have reached a back end.
fn work_of(record: &Record) -> Option<&str> {
    match &record.event {
        Event::Executed { request, .. }
        | Event::RefusedNotRun { request }
        | Event::AttemptStarted { request, .. } => Some(request),
        _ => None,
    }
}
