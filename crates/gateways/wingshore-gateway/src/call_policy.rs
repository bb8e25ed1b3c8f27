//! Decision: how long may the coordination group take for a call about batch jobs, where is the
//! call sent, when is it sent again, and what does the client get after a timeout?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The call; whether a copy of the state may still answer it; its deadline; whether it
//! was sent to a leader, and whether that leader returned it unanswered; the time that a planned
//! stop still leaves for answers.
//!
//! **Rule.** Results are read once from a fresh copy of the state in the gateway's own zone. Reads
//! that the copy cannot answer, and all other calls, go to the leader. A call is sent to each new
//! leader at once, and to the same leader again after the link to it was lost and restored. A call
//! that its leader returned unanswered is sent again after 0.7 s at the latest. All calls may be
//! repeated. A call that the leader already has is not sent to it again. A call that times out is
//! answered as having had no effect, unless it may take effect and was sent to a leader. No call
//! outlasts a planned stop: the deadlines of waiting calls are shortened. A read that arrives when
//! no time is left, and a commit that arrives when at most the resend delay is left, are refused at
//! once.
//!
//! **Why.** Listed results never change, so a copy answers reads as well as the leader does.
//! Reading from copies in the same zone saves traffic between zones. Data sent on a working link
//! has arrived or will arrive, and a broken link is closed: sending a call twice would only slow
//! down a slow leader further. A call that outlasts the process gets no answer at all. A commit is
//! refused earlier than a read, because a commit that was sent and not answered cannot be told from
//! one that took effect.
//!
//! **Old or missing inputs.** A copy is not read if its coordinator has been silent for too long.
//! Without a leader, a call waits for one until its deadline. Without a planned stop, every call
//! has its full time limit.

use crate::protocol::BatchAnswer;
use std::time::Duration;
use wingshore_coordination::Request;
use wingshore_types::Instant;

/// Time limit of the group for a call, in addition to the wait that the call asks for. Covers the
/// election of a new leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time limit of the group to accept or end a job, which one commit makes durable.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay before a call that its leader returned unanswered is sent again, unless a new leader
/// announces itself first. Covers an election, and leaves about half of the shortest call time
/// limit.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Delay after which a client may retry a call that had no effect.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Returns the time limit of the group for a call that arrives now; `None` if the call is refused
/// at once. `stop_leaves` is the time that a planned stop still waits for answers, if one has
/// begun.
pub fn call_time_limit(request: &Request, stop_leaves: Option<Duration>) -> Option<Duration> {
    let (own_limit, minimum) = match request {
        Request::ReadJob { wait, .. } => (CALL_TIMEOUT + *wait, Duration::ZERO),
        Request::ReadItem { .. } => (CALL_TIMEOUT, Duration::ZERO),
        _ => (COMMIT_TIMEOUT, RESEND_AFTER),
    };
    match stop_leaves {
        Some(left) if left <= minimum => None,
        Some(left) => Some(own_limit.min(left)),
        None => Some(own_limit),
    }
}

/// Returns when a call that its leader returned now is sent again.
pub(crate) fn resend_at(now: Instant, deadline: Instant) -> Instant {
    deadline.min(now + RESEND_AFTER)
}

/// Returns how long the leader may hold a read for which a copy of the state had no result.
pub(crate) fn remaining_wait(now: Instant, deadline: Instant, wait: Duration) -> Duration {
    let remaining = deadline.since(now).saturating_sub(CALL_TIMEOUT);
    remaining.min(wait)
}

/// Returns the answer to a call that timed out; `may_take_effect` if it was sent to a leader.
pub(crate) fn timeout_answer(request: &Request, may_take_effect: bool) -> BatchAnswer {
    let is_read = matches!(request, Request::ReadJob { .. } | Request::ReadItem { .. });
    if is_read || !may_take_effect {
        BatchAnswer::Unavailable(RETRY_AFTER)
    } else {
        BatchAnswer::Uncertain
    }
}
