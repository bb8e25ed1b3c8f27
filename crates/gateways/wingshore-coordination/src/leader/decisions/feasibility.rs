//! Decides whether a job can still be whole by the time it is due.
//!
//! Inputs: the expected run times of its waiting items, the longest first, whole and without the
//! partial text that an attempt continues, with their groups; the time until it is due, in
//! milliseconds; its number of groups and the number that its caller waits for.
//!
//! Rule: a group is lost if one of its waiting items would end too late even if it started now and
//! took [`SHORTEST_RUN_SHARE`] of the rest of its expected run time. A job is late if more of its
//! groups are lost than its caller can do without.
//!
//! Rationale: the load is a pool that has lost engines while all trainers go on. A step that cannot
//! be whole in time must not take slots from one that can; it is completed afterwards, since late
//! results are still worth something to its caller.
//!
//! Stale or missing inputs: without an estimate of a length or of the run time per token, an item
//! counts as short, and its job as feasible until it is due. Items that run already do not count:
//! whether they end in time does not depend on what is placed next.

use std::collections::BTreeSet;
use std::time::Duration;

/// Share of its expected run time below which an item does not end: the fastest engines are about
/// twice as fast as the mean one.
const SHORTEST_RUN_SHARE: f64 = 0.5;

/// A waiting item of a job.
pub(crate) struct WaitingItem<'a> {
    /// Expected run time from its first event.
    pub(crate) whole: Duration,
    /// Expected run time from the end of its partial text; at most `whole`.
    pub(crate) rest: Duration,
    /// Its group.
    pub(crate) group: &'a str,
}

/// Returns whether a job is late. `waiting` yields its waiting items, the longest first; `spare` is
/// the number of groups that its caller can do without.
pub(crate) fn is_late<'a>(
    due_in_ms: i64,
    spare: usize,
    waiting: impl Iterator<Item = WaitingItem<'a>>,
) -> bool {
    let mut lost = BTreeSet::new();
    for item in waiting {
        if can_end_within(due_in_ms, item.whole) {
            // So can all further ones, since they are shorter.
            return false;
        }
        if can_end_within(due_in_ms, item.rest) {
            continue;
        }
        lost.insert(item.group);
        if lost.len() > spare {
            return true;
        }
    }
    false
}

fn can_end_within(due_in_ms: i64, run_time: Duration) -> bool {
    let shortest_ms = run_time.as_secs_f64() * 1000.0 * SHORTEST_RUN_SHARE;
    shortest_ms <= due_in_ms as f64
}
