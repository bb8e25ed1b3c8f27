//! Decision: how long one attempt of a call may take, and how long to back off before the next.
//!
//! Inputs: the timeout of the call, how long the request asks the group to wait, the number of
//! backoffs so far, and a random number generator.
//!
//! Rule: the timeout of an attempt is a quarter of the call timeout, within bounds, plus the time
//! that the group may wait. Backoffs double from [`INITIAL_BACKOFF`] to [`MAX_BACKOFF`]; each delay
//! is drawn between half of the current step and the full step.
//!
//! Reason: a leader that is silently partitioned must not use up the whole call, and callers that
//! failed at the same time must not all retry at the same time.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::protocol::control::ControlRequest;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::protocol::wire::GroupRequest;

/// Minimum timeout of an attempt, unless the call has less time left.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum timeout of an attempt, not counting the time that the request asks the group to wait.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of an attempt is the call timeout divided by this, within the bounds.
const ATTEMPTS_PER_CALL: u32 = 4;

/// First step of a backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Largest step of a backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Returns the timeout of one attempt of a call with `call_timeout`, so that a silently partitioned
/// leader does not use up the whole call. The time that the request asks the group to wait is
/// added.
pub fn attempt_timeout(request: &GroupRequest, call_timeout: Duration) -> Duration {
    let share = call_timeout / ATTEMPTS_PER_CALL;
    let base = share.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    base + requested_wait(request)
}

/// Returns how long the request allows the group to wait before it replies.
fn requested_wait(request: &GroupRequest) -> Duration {
    let milliseconds = match request {
        GroupRequest::Control(ControlRequest::Watch(watch)) => watch.wait_ms,
        GroupRequest::Ledger(LedgerRequest::Pull { pull, .. }) => pull.wait_ms,
        _ => 0,
    };
    Duration::from_millis(milliseconds)
}

/// Exponential backoff with jitter, so that many callers do not retry at the same time.
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
    /// Returns the next delay, between half of the current step and the full step.
    pub fn next_delay(&mut self, generator: &mut ChaCha8Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(MAX_BACKOFF);
        step.mul_f64(generator.random_range(0.5..=1.0))
    }
}
