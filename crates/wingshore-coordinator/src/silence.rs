//! When silence of others counts against them. A decision without I/O.
//!
//! A process that has stood still itself (its machine was suspended, or a turn of its loop took
//! long) finds that nobody was heard of meanwhile. What they have said waits to be read, in several
//! turns where they are hundreds: their silence says nothing until it is read.

use std::time::Duration;
use wingshore_types::Instant;

/// Between two looks that come later than this the process has stood still: looks come each 100 ms.
const STALL_LIMIT: Duration = Duration::from_millis(250);
/// Then others are judged again after this time: each has spoken once more, each 400 ms, and the
/// rest is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Watches the process's own looks.
#[derive(Debug, Default)]
pub struct SilenceJudge {
    last_check: Option<Instant>,
    not_before: Instant,
}

impl SilenceJudge {
    /// A look; says whether silence counts now.
    pub fn silence_counts(&mut self, now: Instant) -> bool {
        let last = self.last_check.replace(now);
        if last.is_some_and(|last| now.since(last) > STALL_LIMIT) {
            self.not_before = now + CATCH_UP_TIME;
        }
        now >= self.not_before
    }
}
