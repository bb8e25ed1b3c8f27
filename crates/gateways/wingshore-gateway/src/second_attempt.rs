//! Decision: when is a second attempt at a request due while the first one is still running, and
//! may it start?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The 95th percentile of the service's answer times, the target latency and the retry
//! limits of the route, the outcomes so far, whether the request is suspected of crashing servers,
//! whether another server has a free slot, and the tokens of the service.
//!
//! **Rule.** A second attempt is due after the 95th percentile of the service's answer times, at
//! the latest after half of the target latency. It takes a token; each request brings a twentieth
//! of one, and few are kept. A scoring leaves the last two tokens to live requests. Streams, requests
//! that may run only once, suspects, and requests without an attempt left get none; nor does any
//! request while no other server has a free slot.
//!
//! **Why.** A server that became slow or unreachable among sound ones is overtaken while an answer
//! in time is still possible: the second half of the target latency is left for it. Where the 95th
//! percentile is longer than that half, servers differ or scorings take longer than live requests;
//! starting earlier would spend the tokens on requests whose answers are not slow. The tokens bound
//! the load on a service whose servers are all slow; twice the load would make it slower.
//!
//! **Missing inputs.** With too few answers of the service, half of the target latency counts.

use crate::attempts::{AttemptHistory, RetryLimits};
use std::time::Duration;

/// The target latency divided by this is the latest time for a second attempt.
const TARGET_DIVISOR: u32 = 2;
/// Number of requests that bring one token: second attempts add 5 % to the load of a service.
const REQUESTS_PER_TOKEN: u32 = 20;
/// Maximum number of tokens, and their initial number: a gateway that has sent few requests can
/// overtake those that wait for one slow server.
const MAX_TOKENS: u32 = 3;
/// Number of tokens that scorings leave to live requests, whose callers wait. With one, the scorings
/// of a step often took what two live requests needed within a few seconds.
const TOKENS_FOR_LIVE_REQUESTS: u32 = 2;

/// Returns how long after the start of a request's attempt the second one is due; `percentile` is
/// the 95th percentile of the service's answer times.
pub fn second_attempt_delay(percentile: Option<Duration>, target_latency: Duration) -> Duration {
    let latest = target_latency / TARGET_DIVISOR;
    percentile.map_or(latest, |percentile| percentile.min(latest))
}

/// The state of a request whose first attempt is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondAttemptContext {
    /// The limits of the route.
    pub limits: RetryLimits,
    /// Outcomes of earlier attempts, without the running one.
    pub history: AttemptHistory,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Whether the request is suspected of crashing servers.
    pub is_suspect: bool,
    /// Whether a server that the request was not sent to has a free slot.
    pub has_free_server: bool,
}

/// Whether a second attempt is of use and allowed, apart from the budget.
pub fn may_start_second(context: SecondAttemptContext) -> bool {
    let SecondAttemptContext {
        limits, history, ..
    } = context;
    is_second_possible(limits, history, context.is_stream)
        && !context.is_suspect
        && context.has_free_server
}

/// Whether the route allows a second attempt at all while the first one is running.
pub fn is_second_possible(limits: RetryLimits, history: AttemptHistory, is_stream: bool) -> bool {
    let with_running = history.attempts + 1;
    limits.is_repeatable && !is_stream && with_running < limits.max_attempts
}

/// Who waits for the answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A client.
    Client,
    /// A scoring.
    Scoring,
}

/// The budget for second attempts at the servers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondAttemptBudget {
    /// Tokens times [`REQUESTS_PER_TOKEN`].
    parts: u32,
}

impl Default for SecondAttemptBudget {
    fn default() -> Self {
        Self {
            parts: MAX_TOKENS * REQUESTS_PER_TOKEN,
        }
    }
}

impl SecondAttemptBudget {
    /// Records a request, whose first attempt brings a part of a token.
    pub fn request_started(&mut self) {
        self.parts = (self.parts + 1).min(MAX_TOKENS * REQUESTS_PER_TOKEN);
    }

    /// Takes a token for a second attempt; returns false if there is none.
    pub fn take(&mut self, requester: Requester) -> bool {
        let reserved = match requester {
            Requester::Client => 0,
            Requester::Scoring => TOKENS_FOR_LIVE_REQUESTS,
        };
        let is_allowed = self.parts >= (1 + reserved) * REQUESTS_PER_TOKEN;
        if is_allowed {
            self.parts -= REQUESTS_PER_TOKEN;
        }
        is_allowed
    }
}
