//! How far ahead of its trainer a pool generates: the weight between trainer idle time and
//! staleness.
//!
//! Samples that are generated long before they are pulled spare the trainer a wait, and are older
//! when it gets them. So the leader grants leases only while the samples that are leased, finished
//! or scored are fewer than a number of steps. That number grows with the square of the pool's
//! weight on idle time, from one step, where only what the trainer asks for next is generated, to no
//! limit at all.

use super::pool::PoolLedger;
use std::collections::BTreeMap;
use wingshore_types::PoolId;
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::ledger::LedgerRequest;

/// Further steps that are generated ahead just below the full weight.
const MOST_STEPS_AHEAD: u64 = 3;

/// Samples a step of each pool takes, by its newest pull. In the leader's memory only: until the
/// first pull after a change of leader nothing is held back.
#[derive(Debug, Default)]
pub(super) struct GenerationDepth {
    counts: BTreeMap<PoolId, u32>,
}

impl GenerationDepth {
    /// A trainer asks for a step of so many samples.
    pub(super) fn on_pull(&mut self, pool: &PoolId, count: u32) {
        self.counts.insert(pool.clone(), count);
    }

    /// The lease request, with as many samples as may be generated now.
    pub(super) fn limit(&self, request: LedgerRequest, ledger: &PoolLedger) -> LedgerRequest {
        let LedgerRequest::Lease {
            pool,
            node,
            boot_id,
            most,
        } = request
        else {
            return request;
        };
        let most = most.min(self.grantable(&pool, ledger));
        LedgerRequest::Lease {
            pool,
            node,
            boot_id,
            most,
        }
    }

    fn grantable(&self, id: &PoolId, ledger: &PoolLedger) -> u32 {
        let Some(count) = self.counts.get(id) else {
            return u32::MAX;
        };
        let Some(allowed) = allowed(*count, ledger.settings().idle_weight) else {
            return u32::MAX;
        };
        let counts = ledger.counts();
        let begun = counts.leased + counts.finished + counts.scored;
        allowed.saturating_sub(begun)
    }
}

/// Samples that may be leased, finished or scored at once; `None` for no limit.
fn allowed(count: u32, weight: Permille) -> Option<u32> {
    if weight >= Permille::WHOLE {
        return None;
    }
    let whole = u64::from(Permille::WHOLE.0);
    let weight = u64::from(weight.0);
    let ahead = u64::from(count) * MOST_STEPS_AHEAD * weight * weight / (whole * whole);
    u32::try_from(u64::from(count) + ahead).ok()
}
