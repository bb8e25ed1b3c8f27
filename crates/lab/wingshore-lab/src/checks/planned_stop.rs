//! A planned stop cuts no request in flight: an answer may be cut only when the node beside the
//! caller was killed, frozen or lost under it.

use super::{Limits, Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::BTreeMap;
use wingshore_types::Verdict;

/// Actions that may cut answers.
const VIOLENT: [&str; 2] = ["kill", "freeze"];

/// Judges all answers that were not whole.
pub fn check(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let nodes = log.nodes_of_callers();
    let mut violence: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (at_us, process, action) in log.process_actions() {
        if VIOLENT.contains(&action) {
            violence.entry(process).or_default().push(at_us);
        }
    }
    let grace_us = limits.cut_after_kill.as_micros() as u64;
    let mut violations = Vec::new();
    for record in log.records() {
        let Event::Answered {
            request,
            whole: false,
            verdict,
            latency_us,
            ..
        } = &record.event
        else {
            continue;
        };
        if *verdict == Some(Verdict::NotRun) {
            continue;
        }
        let sent_us = record.at_us.saturating_sub(*latency_us);
        let node = nodes.get(record.source.as_str()).copied();
        let times = node.and_then(|node| violence.get(node));
        let excused = times.is_some_and(|times| {
            let spans = |at: &u64| sent_us <= at + grace_us && *at <= record.at_us + grace_us;
            times.iter().any(spans)
        });
        if !excused {
            violations.push(Violation {
                promise: Promise::PlannedStop,
                at_us: record.at_us,
                detail: format!("{request} was cut though its node was not killed"),
            });
        }
    }
    violations
}
