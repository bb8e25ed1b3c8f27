//! Whether the silence of peers may be held against them. A decision without I/O.
//!
//! Question: is a gateway silent that has sent nothing within its timeout, or has this process not
//! read its messages? Inputs: the times of this process's own checks, one every 100 ms. Rule: after
//! a gap between two checks of more than [`STALL_LIMIT`], silence counts again only
//! [`CATCH_UP_TIME`] later. Why: a process that was stalled (its machine was suspended, or one turn
//! of its loop took long, as when a new leader applies its log) finds that it has heard from nobody
//! meanwhile. The messages wait to be read, over several turns where there are hundreds of them.

use std::time::Duration;
use wingshore_types::Instant;

/// Gap between two checks from which on the process counts as stalled: checks come every 100 ms.
const STALL_LIMIT: Duration = Duration::from_millis(250);
/// Time after a stall until silence counts again: by then each gateway has sent one more of its
/// status reports, which come every 400 ms, and the other messages are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Detects stalls of this process by the times of its own checks.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check: Option<Instant>,
    expire_from: Instant,
}

impl StallDetector {
    /// Records a check, and returns whether the silence of peers counts now.
    pub fn may_expire_peers(&mut self, now: Instant) -> bool {
        let last = self.last_check.replace(now);
        if last.is_some_and(|last| now.since(last) > STALL_LIMIT) {
            self.expire_from = now + CATCH_UP_TIME;
        }
        now >= self.expire_from
    }
}
