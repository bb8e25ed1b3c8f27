//! Decision: how long may a live request take, and how long each attempt at it?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The route's timeout and target latency, the time in milliseconds that the caller
//! will wait, the number of the attempt and the maximum, the progress of a planned stop, and the
//! 95th percentile of the answer times of the service.
//!
//! **Rule.** The time limit of a request is the shorter of the route's timeout and the caller's
//! deadline minus a margin for the way back. A planned stop ends all requests when it ends, not
//! earlier: a server may answer up to then. Connecting to a server has a short timeout of its own.
//! A server keeps the request until its deadline, unless the request may run twice and an attempt
//! is left: then another server is tried after twice the target latency. While no other server can
//! get the request, the attempt is kept, and that is looked at again after as long. A stream that
//! arrives more than 2.5 s after a planned stop began and may outlast the stop is refused. Any
//! other request is refused as not run if what is left of the stop is shorter than its own time
//! limit and than the usual answers of its service.
//!
//! **Why.** A machine that is partitioned or frozen does not answer at all: a repeatable request
//! that waited for it would miss its target latency, while another server can still answer in time.
//! Where there is no other server, only this one can still answer, and an attempt that is abandoned
//! may have run all the same.
//! A request that outlasts the process gets no answer at all. A stream that has started can only be
//! interrupted; one that has not started can be refused, and the client retries elsewhere. A
//! request that must not be repeated is lost to its caller if it is passed on and cannot end.
//!
//! **Missing inputs.** If the caller gives no deadline, the route's timeout applies. A request to
//! a service with too few recent answers is not known to take long, and is accepted during a stop.

use crate::attempts::RetryLimits;
use std::time::Duration;
use wingshore_types::Instant;

/// Time limit for connecting to a server; round trips within a region take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The attempt timeout of a repeatable request, as a multiple of the route's target latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Shortest time between two looks for another server that could get the request of a late attempt.
const MIN_KEEPING_TIME: Duration = Duration::from_millis(50);
/// Time reserved at the end of a planned stop for an answer to reach its caller.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time reserved for the answer to reach the caller before the caller's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Streams that may outlast a planned stop are accepted for this long after it begins. Only
/// requests sent within 3 s after the signal may be interrupted when the process ends; the gateway
/// notices the signal within 0.2 s. Clients have moved to other gateways before then.
const STREAM_ADMISSION_TIME: Duration = Duration::from_millis(2500);

/// The progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopProgress {
    /// Time since the stop began.
    pub elapsed: Duration,
    /// Time until the process ends.
    pub left: Duration,
}

/// Whether a stream that may take up to `limit` is accepted during a planned stop.
pub fn is_stream_admitted(limit: Duration, stop: StopProgress) -> bool {
    limit <= stop.left || stop.elapsed <= STREAM_ADMISSION_TIME
}

/// Whether a request other than a stream is accepted during a planned stop. It takes at most
/// `limit`; `usual` is the time within which most answers of its service come, if it is known.
pub fn is_request_admitted(limit: Duration, usual: Option<Duration>, stop: StopProgress) -> bool {
    let expected = usual.unwrap_or_default().min(limit);
    expected + LAST_ANSWER_TIME <= stop.left
}

/// Returns the time limit of a request; `deadline` is the time that the caller will wait.
pub fn request_timeout(route_timeout: Duration, deadline: Option<Duration>) -> Duration {
    match deadline {
        Some(deadline) => route_timeout.min(deadline.saturating_sub(DEADLINE_MARGIN)),
        None => route_timeout,
    }
}

/// Returns the deadline for connecting to a server, for a request that ends at
/// `request_deadline`.
pub fn connect_deadline(now: Instant, request_deadline: Instant) -> Instant {
    request_deadline.min(now + CONNECT_TIMEOUT)
}

/// Returns when an attempt is abandoned so that another server can get the request; `attempts` is
/// the number of earlier attempts that may have run.
pub fn answer_deadline(
    now: Instant,
    request_deadline: Instant,
    limits: RetryLimits,
    attempts: u32,
    target_latency: Duration,
) -> Instant {
    if limits.is_repeatable && attempts + 1 < limits.max_attempts {
        request_deadline.min(now + target_latency * ATTEMPT_TIMEOUT_FACTOR)
    } else {
        request_deadline
    }
}

/// Returns until when a late attempt is kept at `now` because no other server can get its request.
pub fn kept_until(now: Instant, request_deadline: Instant, target_latency: Duration) -> Instant {
    let time = target_latency * ATTEMPT_TIMEOUT_FACTOR;
    request_deadline.min(now + time.max(MIN_KEEPING_TIME))
}
