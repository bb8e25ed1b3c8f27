//! Decides in which order the waiting items of all jobs are placed.
//!
//! Inputs: for each job the time left until it is due, in milliseconds, and whether it can still be
//! whole by then ([`feasibility`](super::feasibility)); the expected run time of its longest
//! waiting item; the start tag of its caller ([`fair_share`](super::fair_share)) and its priority.
//!
//! Rule: an item's slack is the time until its job is due, less [`RUN_TIME_FACTOR`] times its
//! expected run time. Items without slack are pressing: they go first, by the start tags of their
//! callers, then by priority, then by slack. Other items follow in the order of their slack in whole
//! seconds, then by priority. Items of jobs that cannot be whole in time come last, by the start tags
//! of their callers, then the oldest job first; but one of [`LATE_TURN`] placements goes to them.
//!
//! Rationale: the load is several trainers whose steps arrive together, and more items than slots.
//! A step is whole when its longest text is: a short item of one step can wait while a long item of
//! another one starts, and both steps end in time. Jobs in the order of arrival let the last one
//! wait for all short items of the others. Only when items have to start now do callers compete.
//!
//! Stale or missing inputs: a job without a due time is due [`ASSUMED_DUE`] after it was accepted.
//! A new leader counts from the start of its leadership.

use super::fair_share::VirtualTime;
use std::time::Duration;
use wingshore_types::Instant;

/// Multiple of the expected run time that an item is given: callers' estimates are right only at
/// the median, and an engine may be slower than the mean.
const RUN_TIME_FACTOR: u32 = 2;
/// Time after its acceptance at which a job without a due time is due.
const ASSUMED_DUE: Duration = Duration::from_secs(60);

/// Slack within one step counts as equal, in milliseconds: estimates of run times are no finer.
const SLACK_STEP_MS: i64 = 1000;

/// One of so many placements goes to a late job while others wait: late results are worth something
/// to their caller, and a pool that stays too small must not starve them.
pub(crate) const LATE_TURN: u32 = 16;

/// How soon an item has to start. Smaller ones are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Items are placed in the order in which jobs were accepted, after the priority of the job.
    InOrder {
        /// Priority of the job; 0 is the most urgent.
        priority: u8,
    },
    /// The item has to start now for its job to be in time.
    Pressing {
        /// Start tag of its caller.
        share: VirtualTime,
        /// Priority of the job; 0 is the most urgent.
        priority: u8,
        /// Slack in milliseconds; not positive.
        slack_ms: i64,
    },
    /// The item can wait.
    Relaxed {
        /// Slack in whole [`SLACK_STEP_MS`].
        slack_steps: i64,
        /// Priority of the job; 0 is the most urgent.
        priority: u8,
        /// Slack in milliseconds.
        slack_ms: i64,
    },
    /// The job of the item cannot be whole in time.
    Late {
        /// Start tag of its caller.
        share: VirtualTime,
        /// Time until the job is due, in milliseconds; the most negative is the oldest.
        due_in_ms: i64,
    },
}

impl Urgency {
    /// Returns the name of the class, as shown in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::InOrder { .. } => "in_order",
            Self::Pressing { .. } => "pressing",
            Self::Relaxed { .. } => "relaxed",
            Self::Late { .. } => "late",
        }
    }
}

/// A job with waiting items.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingJob {
    /// Time until it is due, in milliseconds; negative once it is overdue.
    pub(crate) due_in_ms: i64,
    /// Whether it cannot be whole in time.
    pub(crate) is_late: bool,
    /// Its priority; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// Returns the time until a job is due, in milliseconds. `due` is the time that its route allows,
/// counted from `accepted_at`.
pub(crate) fn due_in_ms(now: Instant, accepted_at: Instant, due: Option<Duration>) -> i64 {
    let due_at = accepted_at + due.unwrap_or(ASSUMED_DUE);
    signed_ms(due_at) - signed_ms(now)
}

/// Returns the urgency of a job's item with this expected run time. An item of unlimited run time,
/// one that was still running when an earlier job ended, is pressing.
pub(crate) fn urgency(job: WaitingJob, run_time: Option<Duration>, share: VirtualTime) -> Urgency {
    if job.is_late {
        let due_in_ms = job.due_in_ms;
        return Urgency::Late { share, due_in_ms };
    }
    let needed_ms = match run_time {
        Some(run_time) => i64::try_from((run_time * RUN_TIME_FACTOR).as_millis()),
        None => Ok(job.due_in_ms),
    };
    let slack_ms = job.due_in_ms.saturating_sub(needed_ms.unwrap_or(i64::MAX));
    if slack_ms > 0 {
        return Urgency::Relaxed {
            slack_steps: slack_ms / SLACK_STEP_MS,
            priority: job.priority,
            slack_ms,
        };
    }
    Urgency::Pressing {
        share,
        priority: job.priority,
        slack_ms,
    }
}

fn signed_ms(time: Instant) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
