//! Decides how long an engine gets no items after a fault.
//!
//! Inputs: the time, the end of the engine's present ejection, and its consecutive faults (reset by
//! an item that completes on it).
//!
//! Rule: the first ejection lasts [`INITIAL_EJECTION`], each further one twice as long, up to
//! [`MAX_EJECTION`]. A fault during an ejection does not extend it: items that fail together count
//! as one fault.
//!
//! Rationale: an engine that interrupted one item often interrupts the next one too, and recovers
//! within seconds at the most.
//!
//! Stale or missing inputs: a new leader knows of no faults, so each engine gets items again at
//! once.

use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// Length of the first ejection.
const INITIAL_EJECTION: Duration = Duration::from_millis(250);
/// Upper limit of the ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Returns the end of the ejection of an engine with `faults` consecutive faults before this one;
/// `None` if it is ejected already.
pub(crate) fn eject_until(now: Instant, ejected_until: Instant, faults: u32) -> Option<Instant> {
    let is_new = now >= ejected_until;
    is_new.then(|| now + doubled_backoff(INITIAL_EJECTION, faults, MAX_EJECTION))
}
