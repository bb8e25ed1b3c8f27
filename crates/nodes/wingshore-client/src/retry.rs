//! Decision: how long may one attempt of a call take, and how long is the wait before the next?
//!
//! Inputs: the time of the whole call, how long the request asks the group to wait, the number of
//! backoffs so far, a source of random numbers.
//!
//! Rule: an attempt gets a quarter of the call's time, within bounds, and what the group may wait on
//! top. Backoffs double from [`INITIAL_BACKOFF`] to [`MAX_BACKOFF`], each drawn between half of the
//! step and the whole.
//!
//! Why: a leader that was cut off silently must not use up the whole call, and callers that failed
//! at the same moment must not return at the same moment.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::protocol::control::ControlRequest;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::protocol::wire::GroupRequest;

/// Shortest time an attempt gets, unless the whole call has less.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time an attempt gets beyond what the request itself asks the group to wait.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call's time is divided into at least this many attempts.
const ATTEMPTS_PER_CALL: u32 = 4;

/// First backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// How long one attempt of a call of `whole` may take, so that a leader that was cut off silently
/// does not eat the whole call. A request that asks the group to wait gets that time on top.
pub fn attempt_timeout(request: &GroupRequest, whole: Duration) -> Duration {
    let share = whole / ATTEMPTS_PER_CALL;
    let own = share.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    own + wait_of(request)
}

/// How long the group itself may hold the request before it answers.
fn wait_of(request: &GroupRequest) -> Duration {
    let milliseconds = match request {
        GroupRequest::Control(ControlRequest::Watch(watch)) => watch.wait_ms,
        GroupRequest::Ledger(LedgerRequest::Pull { pull, .. }) => pull.wait_ms,
        _ => 0,
    };
    Duration::from_millis(milliseconds)
}

/// Backoffs that double, with jitter, so that many callers do not retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next: INITIAL_BACKOFF,
        }
    }
}

impl Backoff {
    /// The next backoff: between half of the current step and the whole of it.
    pub fn next_delay(&mut self, generator: &mut ChaCha8Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(MAX_BACKOFF);
        step.mul_f64(generator.random_range(0.5..=1.0))
    }
}
