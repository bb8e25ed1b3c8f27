//! How long one attempt may take, and the pauses between attempts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::protocol::control::ControlRequest;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::protocol::wire::GroupRequest;

/// Shortest time an attempt gets, unless the whole call has less.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(100);

/// Longest time an attempt gets beyond what the request itself asks the group to wait.
const LONGEST_ATTEMPT: Duration = Duration::from_secs(1);

/// A call's time is divided into at least this many attempts.
const ATTEMPTS_PER_CALL: u32 = 4;

/// First pause.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// How long one attempt of a call of `whole` may take, so that a leader that was cut off silently
/// does not eat the whole call. A request that asks the group to wait gets that time on top.
pub fn attempt_timeout(request: &GroupRequest, whole: Duration) -> Duration {
    let share = whole / ATTEMPTS_PER_CALL;
    let own = share.clamp(SHORTEST_ATTEMPT, LONGEST_ATTEMPT);
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

/// Pauses that double, with jitter, so that many callers do not come back at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// The next pause: between half of the current step and the whole of it.
    pub fn next_pause(&mut self, generator: &mut ChaCha8Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(LONGEST_PAUSE);
        step.mul_f64(generator.random_range(0.5..=1.0))
    }
}
