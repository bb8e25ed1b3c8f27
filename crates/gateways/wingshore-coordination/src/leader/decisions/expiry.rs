//! Decides when something that is no longer reported has expired.
//!
//! Inputs: the time at which this leader first learned of something or last received a report of
//! it; for items the route's `max_queue`; for jobs and servers a setting; for jobs also the time at
//! which this leader was asked to end them.
//!
//! Rule: each kind has a limit of silence or age; see the functions.
//!
//! Rationale: work of a lost process must continue elsewhere, and data that nobody asks for must
//! not fill the memory. On the other hand, keeping an attempt across a short disconnection is
//! cheaper than starting it again.
//!
//! Stale or missing inputs: a new leader counts from the start of its leadership, so nothing
//! expires too early.

use crate::configuration::Route;
use std::time::Duration;
use wingshore_types::Instant;

/// Time without a report after which an attempt or a scoring has expired. Gateways report
/// everything that they run each 400 ms.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a disconnected gateway must reconnect to keep its items, counted from its last
/// message.
const RECONNECT_GRACE: Duration = Duration::from_millis(900);

/// Time after the start of a leadership in which gateways report what they run; items are placed
/// only after it.
pub(crate) const GATEWAY_REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Time after the end of a job in which its caller may send the end again, because the answer was
/// lost; longer than a change of leader and a caller's retries take.
const REPEATED_END_PERIOD: Duration = Duration::from_secs(10);

/// Returns whether an attempt or a scoring that was last reported at `last_reported_at` has
/// expired.
pub(crate) fn is_silent(now: Instant, last_reported_at: Instant) -> bool {
    now.since(last_reported_at) > SILENCE_LIMIT
}

/// Returns the time at which a gateway counts as lost with everything that it runs. Its connection
/// ended after `silence` without a message.
pub(crate) fn gateway_lost_at(now: Instant, silence: Duration) -> Instant {
    now + RECONNECT_GRACE.saturating_sub(silence)
}

/// Returns whether an item without a result is abandoned: its time in the queue has passed since
/// `known_since`, or there is no route to engines any more.
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

/// Returns whether a job that its caller has ended is past its retention, and past the time in which
/// the caller may send the end again.
pub(crate) fn is_job_forgotten(
    now: Instant,
    known_since: Option<Instant>,
    ended_at: Option<Instant>,
    retention: Duration,
) -> bool {
    let is_past_retention = known_since.is_some_and(|since| now.since(since) > retention);
    is_past_retention && ended_at.is_none_or(|ended| now.since(ended) > REPEATED_END_PERIOD)
}
