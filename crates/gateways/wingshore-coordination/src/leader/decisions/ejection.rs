//! For how long does an engine get no items after a fault?
//!
//! Inputs: the time, until when the engine is ejected already, and its faults in a row (reset by an item
//! that runs whole on it).
//!
//! Rule: [`INITIAL_EJECTION`], twice as long after each further fault, [`MAX_EJECTION`] at the most. A
//! fault during an ejection does not lengthen it: items that end together are one fault.
//!
//! Why: an engine that broke off one item often breaks off the next one too, and is back after seconds
//! at the most.
//!
//! Old or missing inputs: a new leader knows of no faults, so that each engine gets items again at once.

use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// Length of the first ejection.
const INITIAL_EJECTION: Duration = Duration::from_millis(250);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Until when an engine with so many `faults` before this one is ejected; `None` while it is already.
pub(crate) fn eject_until(now: Instant, ejected_until: Instant, faults: u32) -> Option<Instant> {
    let is_new = now >= ejected_until;
    is_new.then(|| now + doubled_backoff(INITIAL_EJECTION, faults, MAX_EJECTION))
}
