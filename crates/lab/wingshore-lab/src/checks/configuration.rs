//! An accepted configuration is in force everywhere within the limit and never reverts.

use super::{Limits, Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::BTreeMap;

/// Judges what nodes were seen to have in force against what was committed.
pub fn check(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let limit_us = limits.in_force.as_micros() as u64;
    let mut nodes: BTreeMap<&str, SeenNode> = BTreeMap::new();
    let mut committed: Vec<(u64, u64)> = Vec::new();
    for record in log.records() {
        let at_us = record.at_us;
        match &record.event {
            Event::RevisionCommitted { revision } => committed.push((at_us, *revision)),
            Event::ProcessAction { process, .. } => {
                // A node that was stopped, killed or woken begins anew: it holds nothing, and has
                // the whole limit to catch up.
                nodes.insert(
                    process,
                    SeenNode {
                        since_us: at_us,
                        revision: 0,
                    },
                );
            }
            Event::RevisionSeen {
                observed, revision, ..
            } => {
                let node = nodes.entry(observed).or_insert(SeenNode {
                    since_us: at_us,
                    revision: 0,
                });
                let must = committed
                    .iter()
                    .filter(|(when, _)| at_us > when.max(&node.since_us) + limit_us)
                    .map(|(_, revision)| *revision)
                    .max()
                    .unwrap_or(0);
                let detail = if *revision < node.revision {
                    Some(format!(
                        "{observed} went back from {} to {revision}",
                        node.revision
                    ))
                } else if *revision < must {
                    Some(format!("{observed} has {revision} in force, {must} is due"))
                } else {
                    None
                };
                node.revision = node.revision.max(*revision);
                violations.extend(detail.map(|detail| Violation {
                    promise: Promise::Configuration,
                    at_us,
                    detail,
                }));
            }
            _ => {}
        }
    }
    violations.extend(committed_reverts(&committed));
    violations
}

/// A node as last seen.
struct SeenNode {
    since_us: u64,
    revision: u64,
}

fn committed_reverts(committed: &[(u64, u64)]) -> Vec<Violation> {
    committed
        .windows(2)
        .filter(|pair| pair[1].1 < pair[0].1)
        .map(|pair| Violation {
            promise: Promise::Configuration,
            at_us: pair[1].0,
            detail: format!(
                "the control group went back from {} to {}",
                pair[0].1, pair[1].1
            ),
        })
        .collect()
}
