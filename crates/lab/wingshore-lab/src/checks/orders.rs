//! Engines take orders only in rising `(epoch, sequence)`; an order from a leadership that is over
//! must find itself fenced. This judges the stand-in's fence and the orders together.

use super::{Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::BTreeMap;

/// Judges all orders that engines took.
pub fn check(log: &RunLog) -> Vec<Violation> {
    let mut highest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in log.records() {
        match &record.event {
            Event::Started { .. } => {
                highest.remove(record.source.as_str());
            }
            Event::OrderAnswered {
                epoch,
                sequence,
                accepted: true,
                repeated: false,
            } => {
                let order = (*epoch, *sequence);
                let before = highest.insert(&record.source, order);
                if before.is_some_and(|before| before >= order) {
                    violations.push(Violation {
                        promise: Promise::OrdersFenced,
                        at_us: record.at_us,
                        detail: format!("{}: {order:?} taken after {before:?}", record.source),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}
