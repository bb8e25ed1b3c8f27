//! Decision: how long may a live request take, and how long one attempt at it?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The route's timeout and target latency, the milliseconds that the caller will wait,
//! which attempt it is of how many, and how long a planned stop goes on.
//!
//! **Rule.** A request has the shorter of its route's timeout and its caller's deadline, less a
//! margin for the way back. It ends with a planned stop at the latest, and not sooner: a server at work may
//! answer up to then. A connection has a short time of its own to come up. A server that has the
//! request keeps it to the end, unless the request may run twice and an attempt is left: then another
//! server is asked after twice the target latency. A stream that comes later than 2.5 s into a planned stop and
//! may outlast it goes to no server.
//!
//! **Why.** A machine that is cut off or stands still answers nothing at all: a repeatable request that
//! waits for it would miss its target, and another server can still answer in time. A request that outlasts
//! the process gets no answer at all. A stream that has begun can only be broken off; one that has not
//! begun can be refused, and its client goes elsewhere.
//!
//! **Missing inputs.** Without a deadline of the caller the route's timeout counts.

use crate::attempts::RetryLimits;
use std::time::Duration;
use wingshore_types::Instant;

/// A connection to a server must be up within this time; round trips within a region take a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A repeatable request goes to another server after this many times its target latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// An answer must have left this long before the caller's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// For how long a planned stop takes streams that may outlast it. Clients have left before; what was sent within
/// 3 s after the signal may be broken off at the end, and the signal is noticed within 0.2 s.
const STREAMS_TAKEN_FOR: Duration = Duration::from_millis(2500);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopProgress {
    /// Since it began.
    pub elapsed: Duration,
    /// Until it ends.
    pub left: Duration,
}

/// Whether a stream that may take `limit` is begun while the gateway is stopping.
pub fn is_stream_admitted(limit: Duration, stop: StopProgress) -> bool {
    limit <= stop.left || stop.elapsed <= STREAMS_TAKEN_FOR
}

/// How long a request may be held.
pub fn request_timeout(route_timeout: Duration, deadline: Option<Duration>) -> Duration {
    match deadline {
        Some(deadline) => route_timeout.min(deadline.saturating_sub(DEADLINE_MARGIN)),
        None => route_timeout,
    }
}

/// Until when a connection to a server may take to come up, with a request that ends at `until`.
pub fn connect_deadline(now: Instant, until: Instant) -> Instant {
    until.min(now + CONNECT_TIMEOUT)
}

/// Until when a server that has a request may take, before another one is asked; `attempts` is the
/// number of those before that may have run.
pub fn answer_deadline(
    now: Instant,
    until: Instant,
    limits: RetryLimits,
    attempts: u32,
    target_latency: Duration,
) -> Instant {
    if limits.is_repeatable && attempts + 1 < limits.max_attempts {
        until.min(now + target_latency * ATTEMPT_TIMEOUT_FACTOR)
    } else {
        until
    }
}
