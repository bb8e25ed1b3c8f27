//! When silence of others counts against them. A decision without I/O.
//!
//! Question: is a gateway that was not heard of for its limit silent, or has this process not read?
//! Inputs: the times of this process's own checks, each 100 ms. Rule: after a gap between two
//! checks of more than [`STALL_LIMIT`] silence counts again only [`CATCH_UP_TIME`] later. Why: a
//! process that stood still (its machine was suspended, or a turn of its loop took long, as a new
//! leader's does while it applies its log) finds that nobody was heard of meanwhile; what they have
//! sent waits to be read, in several turns where they are hundreds.

use std::time::Duration;
use wingshore_types::Instant;

/// Between two checks that come later than this the process has stood still: checks come each
/// 100 ms.
const STALL_LIMIT: Duration = Duration::from_millis(250);
/// Then silence counts again after this time: each gateway has reported its status once more, each
/// 400 ms, and the rest is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Watches the process's own checks.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check: Option<Instant>,
    not_before: Instant,
}

impl StallDetector {
    /// A check; says whether silence counts now.
    pub fn may_expire_peers(&mut self, now: Instant) -> bool {
        let last = self.last_check.replace(now);
        if last.is_some_and(|last| now.since(last) > STALL_LIMIT) {
            self.not_before = now + CATCH_UP_TIME;
        }
        now >= self.not_before
    }
}
