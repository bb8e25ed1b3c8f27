//! When a request is refused as "not run", it truly did not run, then or later.

use super::{Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::BTreeSet;
use wingshore_types::Verdict;

/// Judges all refusals as not run.
pub fn check(log: &RunLog) -> Vec<Violation> {
    let executed: BTreeSet<&str> = log
        .records()
        .iter()
        .filter_map(|record| match &record.event {
            Event::Executed { request, .. } => Some(request.as_str()),
            _ => None,
        })
        .collect();
    let refused = log
        .records()
        .iter()
        .filter_map(|record| match &record.event {
            Event::Answered {
                request,
                verdict: Some(Verdict::NotRun),
                ..
            } => Some((record.at_us, request)),
            _ => None,
        });
    refused
        .filter(|(_, request)| executed.contains(request.as_str()))
        .map(|(at_us, request)| Violation {
            promise: Promise::NotRunTrue,
            at_us,
            detail: format!("{request} was refused as not run, and a back end ran it"),
        })
        .collect()
}
