//! Decides which caller's item goes next when several callers compete for the engines' slots.
//!
//! Inputs: for each caller the expected run times of the items that were placed for it, corrected
//! by their actual ones, and the weight of the priority that each had.
//!
//! Rule: start-time fair queueing. Each item has a start tag, in microseconds of weighted run time:
//! the later of the tag of the item placed last and the end of its caller's previous item. The item
//! with the lowest tag goes first. An item's end is its start plus its run time divided by its
//! weight, which is [`PRIORITY_WEIGHT_STEP`] times larger for each level of priority.
//!
//! Rationale: the load is one caller with many times the items of the others, or callers of two
//! priorities with more work than slots. Each caller gets its share of slot time whatever the
//! number of its items; what it leaves, others use. A caller that was idle has no claim on the
//! past, so what was borrowed is returned as soon as the current items end. A lower priority gets a
//! smaller share, but never none.
//!
//! Stale or missing inputs: a new leader starts with equal tags for all. A caller of whom nothing
//! was placed is treated like one that is up to date.

use crate::ids::{JobId, TenantName};
use std::collections::HashMap;
use std::time::Duration;

/// Ratio of the weights of two neighbouring priorities: the more urgent one of two callers with
/// endless work gets four fifths.
const PRIORITY_WEIGHT_STEP: u32 = 4;
/// Priorities from here on have the same weight, so that every caller gets a share that matters.
const MAX_WEIGHTED_PRIORITY: u8 = 3;
/// Number of callers up to which those without a claim are remembered.
const MAX_REMEMBERED: usize = 1024;

/// Who shares the slots with others: a tenant, or a job at a site that does not distinguish its
/// callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ShareOwner {
    /// A tenant with all its jobs.
    Tenant(TenantName),
    /// A single job.
    Job(JobId),
}

impl ShareOwner {
    /// Returns the owner that a job counts for.
    pub(crate) fn of(job: &JobId) -> Self {
        match job.tenant() {
            Some(tenant) => Self::Tenant(tenant.clone()),
            None => Self::Job(job.clone()),
        }
    }
}

/// Weighted run time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(u64);

/// The shares of all callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    /// Start tag of the item that was placed last.
    clock: VirtualTime,
    /// End of the last item of each owner.
    ends: HashMap<ShareOwner, VirtualTime>,
}

impl FairShares {
    /// Returns the start tag that the next item of an owner gets.
    pub(crate) fn start_tag(&self, owner: &ShareOwner) -> VirtualTime {
        let end = self.ends.get(owner).copied().unwrap_or_default();
        end.max(self.clock)
    }

    /// Charges an owner for an item that was placed; `competes` if it was placed by its start tag.
    pub(crate) fn charge(
        &mut self,
        owner: ShareOwner,
        run_time: Duration,
        priority: u8,
        competes: bool,
    ) {
        let start = self.start_tag(&owner);
        if competes {
            self.clock = start;
        }
        let end = VirtualTime(start.0.saturating_add(weighted(run_time, priority)));
        if self.ends.len() >= MAX_REMEMBERED {
            let clock = self.clock;
            self.ends.retain(|_, end| *end > clock);
        }
        self.ends.insert(owner, end);
    }

    /// Forgets a job that has ended; a tenant may have others.
    pub(crate) fn forget_job(&mut self, job: &JobId) {
        if let owner @ ShareOwner::Job(_) = ShareOwner::of(job) {
            self.ends.remove(&owner);
        }
    }

    /// Corrects the charge for an item that took `actual` in place of `expected`.
    pub(crate) fn correct(
        &mut self,
        owner: &ShareOwner,
        expected: Duration,
        actual: Duration,
        priority: u8,
    ) {
        if let Some(end) = self.ends.get_mut(owner) {
            let (expected, actual) = (weighted(expected, priority), weighted(actual, priority));
            *end = VirtualTime(end.0.saturating_add(actual).saturating_sub(expected));
        }
    }
}

fn weighted(run_time: Duration, priority: u8) -> u64 {
    let factor = PRIORITY_WEIGHT_STEP.pow(u32::from(priority.min(MAX_WEIGHTED_PRIORITY)));
    let weighted = run_time.as_micros().saturating_mul(u128::from(factor));
    u64::try_from(weighted).unwrap_or(u64::MAX)
}
