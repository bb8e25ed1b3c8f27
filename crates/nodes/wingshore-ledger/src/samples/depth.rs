//! Question: how far ahead of its trainer does a pool generate?
//!
//! Inputs: the samples of a step, by the pool's newest pull; the pool's samples that are leased,
//! finished or scored; its weight on trainer idle time against staleness, in thousandths.
//!
//! Rule: leases are granted only while those samples are fewer than `1 + 3 (weight / 1000)^2` steps
//! have. At the full weight there is no limit.
//!
//! Why: samples that are generated long before they are pulled save the trainer a wait, but are
//! older when it gets them. At weight 0 only what the trainer asks for next is generated.
//!
//! Missing input: until the first pull after a change of leader, or of a new pool, there is no
//! limit.

use super::pool::PoolLedger;
use std::collections::BTreeMap;
use wingshore_types::PoolId;
use wingshore_types::configuration::Permille;

/// Steps, beyond the next one, that are generated ahead just below the full weight.
const MAX_STEPS_AHEAD: u64 = 3;

/// Samples that a step of each pool takes, by its newest pull. In the leader's memory only.
#[derive(Debug, Default)]
pub(super) struct GenerationDepth {
    step_sizes: BTreeMap<PoolId, u32>,
}

impl GenerationDepth {
    /// A trainer asks for a step of so many samples.
    pub(super) fn record_step_size(&mut self, pool: &PoolId, count: u32) {
        self.step_sizes.insert(pool.clone(), count);
    }

    /// How many more samples may be leased now.
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

/// Samples that may be leased, finished or scored at once; `None` for no limit.
fn max_generated(count: u32, weight: Permille) -> Option<u32> {
    if weight >= Permille::WHOLE {
        return None;
    }
    let whole = u64::from(Permille::WHOLE.0);
    let weight = u64::from(weight.0);
    let ahead = u64::from(count) * MAX_STEPS_AHEAD * weight * weight / (whole * whole);
    u32::try_from(u64::from(count) + ahead).ok()
}
