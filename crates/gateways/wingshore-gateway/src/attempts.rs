//! Decision: what follows when an attempt at a live request brought no usable answer?
//!
//! Live requests and the requests of scorings go the same way. No I/O, no clock.
//!
//! **Inputs.** What the route allows ([`RetryLimits`]); how the attempts so far ended
//! ([`AttemptHistory`], counts); and what holds now ([`RetryContext`]): whether servers have ended
//! under the request, whether a server is left that it was not sent to, whether its time is over,
//! whether the server's own answer can still be passed on.
//!
//! **Rule.** A request is sent to another server while its route's attempts, the refusals and its
//! time last. One that may have run is repeated only where the route allows it to run twice, and not
//! if servers have ended under it. Otherwise the caller gets what the server said, or, without that,
//! an answer of the gateway's own that says whether the request may have run.
//!
//! **Why.** A refusal is no execution, so that it uses up no attempt of the route; it has a bound of its
//! own, since each one costs a round trip while the caller waits. A request that may have ended a server
//! is not given the next one until the leader has weighed the evidence.
//!
//! **Old or missing inputs.** A server that has left the registry unnoticed counts as left: its
//! refusal of the connection is one more refusal. Without a view of suspects nothing is suspect.

use crate::protocol::OwnAnswer;
use std::time::Duration;
use wingshore_coordination::{EVIDENCE_LIFETIME, Route, RouteKind};
use wingshore_types::verdict::Verdict;

/// Refusals after which a request is given up, besides its attempts: it may meet one more than
/// this. A bound for a service whose servers all refuse.
const MAX_REFUSALS: u32 = 3;
/// When a client may retry a request that was not run.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Attempts that may run; 0 counts as 1.
    pub max_attempts: u32,
}

impl RetryLimits {
    /// Those of `route`.
    pub fn of(route: &Route) -> Self {
        let is_repeatable = match route.kind {
            RouteKind::Safe => true,
            RouteKind::Streaming => route.resumable,
            RouteKind::Unsafe | RouteKind::Batch => false,
        };
        Self {
            is_repeatable,
            max_attempts: route.max_attempts,
        }
    }

    /// Whether the attempts and refusals so far allow one more attempt.
    pub fn may_retry(self, history: AttemptHistory) -> bool {
        let may_repeat = self.is_repeatable || !history.may_have_run;
        may_repeat
            && history.attempts < self.max_attempts.max(1)
            && history.refusals <= MAX_REFUSALS
    }
}

/// How the attempts at one request have ended so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts that may have run.
    pub attempts: u32,
    /// Attempts that a server refused or that reached none.
    pub refusals: u32,
    /// Attempts that a server ran and failed, by its own word.
    pub internal_errors: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

impl AttemptHistory {
    /// An attempt has ended without a usable answer.
    pub fn note(&mut self, verdict: Verdict) {
        if verdict == Verdict::NotRun {
            self.refusals += 1;
        } else {
            self.attempts += 1;
            self.may_have_run = true;
        }
    }
}

/// What holds when an attempt has brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether several servers have ended under the request.
    pub is_suspect: bool,
    /// Whether its service has a server that it was not sent to.
    pub has_other_server: bool,
    /// Whether its time is over.
    pub is_out_of_time: bool,
    /// Whether the server's own answer can be passed on: there is one, and its caller has got no part
    /// of a stream.
    pub has_server_answer: bool,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It is sent to another server.
    Retry,
    /// Its caller gets the server's own answer.
    PassOn,
    /// It is given up: its caller gets an answer of the gateway's own.
    GiveUp,
}

/// What follows when an attempt brought no usable answer; `history` accounts for that attempt.
pub fn next_step(
    limits: RetryLimits,
    history: AttemptHistory,
    circumstances: RetryContext,
) -> NextStep {
    let may_end_another = history.may_have_run && circumstances.is_suspect;
    let may_retry = limits.may_retry(history) && !may_end_another;
    if may_retry && circumstances.has_other_server {
        return if circumstances.is_out_of_time {
            NextStep::GiveUp
        } else {
            NextStep::Retry
        };
    }
    if circumstances.has_server_answer {
        NextStep::PassOn
    } else {
        NextStep::GiveUp
    }
}

/// What a client is told of a request that is given up.
pub fn given_up_answer(
    history: AttemptHistory,
    is_rejected: bool,
    is_out_of_time: bool,
) -> OwnAnswer {
    match (history.may_have_run, is_rejected, is_out_of_time) {
        (false, true, _) => OwnAnswer::Rejected(EVIDENCE_LIFETIME),
        (false, false, _) => OwnAnswer::NotRun(RETRY_AFTER),
        (true, _, true) => OwnAnswer::OutOfTime,
        (true, _, false) => OwnAnswer::Broken,
    }
}
