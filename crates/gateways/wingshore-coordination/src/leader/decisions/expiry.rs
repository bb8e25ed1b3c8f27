//! When is something that nobody speaks of any more over?
//!
//! Inputs: since when something is known or was last heard of, by this leader; for items the route's
//! `max_queue`; for jobs and servers a setting.
//!
//! Rule: each has a limit of silence or age, as its function says.
//!
//! Why: what a lost process held must go on elsewhere, and what nobody asks for must not fill memory;
//! but what was only cut off for a moment is cheaper to keep than to begin again.
//!
//! Old or missing inputs: a new leader counts from its own beginning, so that nothing is over too early.

use crate::configuration::Route;
use std::time::Duration;
use wingshore_types::Instant;

/// An attempt or a scoring that its gateway does not speak of for this long is over. Gateways speak of
/// all that they run each 400 ms.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// A gateway whose connection has ended keeps its items if it is back within this time, counted from
/// when it was last heard of.
const RETURN_GRACE: Duration = Duration::from_millis(900);

/// A new leader places items only after this time, in which gateways report what they run.
pub(crate) const INTRODUCTION_TIME: Duration = Duration::from_millis(300);

/// Whether an attempt or a scoring that was last heard of at `heard` is over.
pub(crate) fn is_silent(now: Instant, heard: Instant) -> bool {
    now.since(heard) > SILENCE_LIMIT
}

/// When a gateway is lost with all that it runs, whose connection has ended after `silence`.
pub(crate) fn gateway_lost_at(now: Instant, silence: Duration) -> Instant {
    now + RETURN_GRACE.saturating_sub(silence)
}

/// Whether an item without a result is abandoned whose job is known since `known_since`: its time in the
/// queue is over, or no route leads to engines any more.
pub(crate) fn is_past_queue_time(
    now: Instant,
    known_since: Option<Instant>,
    route: Option<&Route>,
) -> bool {
    let Some(route) = route else {
        return true;
    };
    match (known_since, route.max_queue) {
        (Some(since), Some(max)) => now.since(since) > max,
        _ => false,
    }
}

/// Whether a job that its caller has ended is forgotten.
pub(crate) fn is_job_forgotten(
    now: Instant,
    known_since: Option<Instant>,
    retention: Duration,
) -> bool {
    known_since.is_some_and(|since| now.since(since) > retention)
}
