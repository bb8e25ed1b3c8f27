//! Decision: how long may the group take for a call about batch jobs, who is asked, when is it asked
//! again, and what is the client told when the time is over?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The call; whether a copy of the state may still answer it; when its time is over;
//! whether it was sent to a leader, and whether that one gave it back; how long a planned stop still waits
//! for answers.
//!
//! **Rule.** Results are read from a fresh copy of the state in the gateway's own zone, once; whatever
//! the copy cannot answer, and every other call, goes to the leader. It is sent at once to each new leader,
//! and after a lost link to the leader that is there again; one that its leader gave back is sent again after
//! 0.7 s at the latest. All calls may be repeated. A call that a leader has is not sent to it again. A call
//! whose time is over is answered as having had no effect, unless it may take effect and was sent to a
//! leader. A planned stop leaves no call more time than itself has: calls that wait are cut to that; a read
//! that comes when nothing is left, and a commit that comes when less is left than the time after which one
//! is sent again, are refused at once.
//!
//! **Why.** What is listed never changes, so that a copy answers reads as well as the leader does.
//! Reading from near copies saves bytes between zones. What was sent on a link that stands has arrived or
//! will, and a link that does not stand is given up: a leader that is slow would only be the slower. A call
//! that outlasts the process gets no answer at all. A commit is refused sooner, since one that was sent and
//! not answered cannot be told from one that has taken effect.
//!
//! **Old or missing inputs.** A copy that was not heard of lately is not read; without a leader a call
//! waits for one until its time is over; without a planned stop every call has its own time.

use crate::protocol::BatchAnswer;
use std::time::Duration;
use wingshore_coordination::Request;
use wingshore_types::Instant;

/// Time that the group has for a call, besides what the call may wait. The election of a new leader
/// fits into it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time that the group has to accept or end a job, which one commit makes durable.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// A call that its leader gave back is sent again after this time, if no other leader is heard of
/// before. An election fits into it, and about half of the shortest time for a call is left then.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// When a client may retry a call that had no effect.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long the group may take for a call that comes now; `None` if the call is refused at once.
/// `stop_leaves` is how long a planned stop still waits for answers, if there is one.
pub fn call_time_limit(request: &Request, stop_leaves: Option<Duration>) -> Option<Duration> {
    let (own_limit, least) = match request {
        Request::ReadJob { wait, .. } => (CALL_TIMEOUT + *wait, Duration::ZERO),
        Request::ReadItem { .. } => (CALL_TIMEOUT, Duration::ZERO),
        _ => (COMMIT_TIMEOUT, RESEND_AFTER),
    };
    match stop_leaves {
        Some(left) if left <= least => None,
        Some(left) => Some(own_limit.min(left)),
        None => Some(own_limit),
    }
}

/// When a call is sent again that its leader gave back now.
pub(crate) fn resend_at(now: Instant, until: Instant) -> Instant {
    until.min(now + RESEND_AFTER)
}

/// How long the leader may hold a read that a copy of the state had nothing for.
pub(crate) fn remaining_wait(now: Instant, until: Instant, wait: Duration) -> Duration {
    let rest = until.since(now).saturating_sub(CALL_TIMEOUT);
    rest.min(wait)
}

/// What the client of a call is told whose time is over; `may_take_effect` if it was sent to a leader.
pub(crate) fn late_answer(request: &Request, may_take_effect: bool) -> BatchAnswer {
    let is_read = matches!(request, Request::ReadJob { .. } | Request::ReadItem { .. });
    if is_read || !may_take_effect {
        BatchAnswer::Unavailable(RETRY_AFTER)
    } else {
        BatchAnswer::Uncertain
    }
}
