//! Question: how far ahead of its trainer does a pool generate samples?
//!
//! Inputs: the number of samples of a step, from the newest pull of the pool; the number of leased,
//! finished and scored samples; the weight of trainer idle time against staleness, in thousandths.
//!
//! Rule: leases are granted only while there are fewer leased, finished and scored samples than
//! `1 + 3 (weight / 1000)^2` steps take. At the full weight there is no limit.
//!
//! Why: samples that are generated long before the pull reduce the waiting time of the trainer, but
//! are more stale when they are delivered. At weight 0 only the next step is generated.
//!
//! Missing input: before the first pull of a new pool, or the first pull after a leader change,
//! there is no limit.

use super::pool::PoolLedger;
use std::collections::BTreeMap;
use wingshore_types::PoolId;
use wingshore_types::configuration::Permille;

/// Number of steps beyond the next one that are generated ahead as the weight approaches the full
/// weight.
const MAX_STEPS_AHEAD: u64 = 3;

/// Number of samples per step of each pool, from its newest pull. Held in the leader's memory only.
#[derive(Debug, Default)]
pub(super) struct GenerationDepth {
    step_sizes: BTreeMap<PoolId, u32>,
}

impl GenerationDepth {
    /// Records the number of samples that a trainer requests for a step.
    pub(super) fn record_step_size(&mut self, pool: &PoolId, count: u32) {
        self.step_sizes.insert(pool.clone(), count);
    }

    /// Returns the number of further samples that may be leased.
    pub(super) fn max_new_leases(&self, id: &PoolId, ledger: &PoolLedger) -> u32 {
        let Some(count) = self.step_sizes.get(id) else {
            return u32::MAX;
        };
        let Some(max_generated) = max_generated(*count, ledger.settings().idle_weight) else {
            return u32::MAX;
        };
        let counts = ledger.counts();
        let started = counts.leased + counts.finished + counts.scored;
        max_generated.saturating_sub(started)
    }
}

/// Returns the maximum number of samples that are leased, finished or scored at once; `None` for no
/// limit.
fn max_generated(count: u32, weight: Permille) -> Option<u32> {
    if weight >= Permille::WHOLE {
        return None;
    }
    let whole = u64::from(Permille::WHOLE.0);
    let weight = u64::from(weight.0);
    let ahead = u64::from(count) * MAX_STEPS_AHEAD * weight * weight / (whole * whole);
    u32::try_from(u64::from(count) + ahead).ok()
}
