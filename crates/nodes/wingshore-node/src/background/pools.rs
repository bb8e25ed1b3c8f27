//! Announces the settings of pools to their ledger groups.

use crate::lock::lock;
use crate::state::NodeState;
use slog::warn;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use wingshore_types::configuration::Pool;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, PoolId, Revision};

/// Timeout of one announcement.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Announces pools to their ledgers and records what was announced.
#[derive(Debug, Default)]
pub struct PoolAnnouncer {
    announced: Mutex<BTreeMap<PoolId, Pool>>,
}

impl PoolAnnouncer {
    /// Announces `pool` unless its present settings were announced before. A failure is logged; the
    /// ledger then refuses requests for the pool, and the next request announces the pool again.
    pub fn announce(&self, node: &NodeState, pool: &Pool, revision: Revision) {
        if lock(&self.announced)
            .get(&pool.id)
            .is_some_and(|known| has_same_ledger_settings(known, pool))
        {
            return;
        }
        let request = GroupRequest::Ledger(LedgerRequest::Configure {
            pool: pool.id.clone(),
            revision,
            staleness_bound: pool.staleness_bound,
            max_open_samples: pool.max_open_samples,
            sample_lease_ms: pool.sample_lease_ms,
            idle_weight: pool.idle_weight,
            trainer: pool.trainer.clone(),
        });
        match node
            .groups
            .call(GroupId::Ledger(pool.ledger), request, TIMEOUT)
        {
            Ok(GroupReply::Ledger(LedgerReply::Done)) => {
                lock(&self.announced).insert(pool.id.clone(), pool.clone());
            }
            other => {
                warn!(node.diagnostics.logger(), "cannot announce the pool to its ledger";
                    "pool" => pool.id.to_string(), "answer" => format!("{other:?}"));
            }
        }
    }

    /// Removes the record of a pool, so that the pool is announced again.
    pub fn forget(&self, pool: &PoolId) {
        lock(&self.announced).remove(pool);
    }
}

fn has_same_ledger_settings(one: &Pool, other: &Pool) -> bool {
    one.ledger == other.ledger
        && one.staleness_bound == other.staleness_bound
        && one.max_open_samples == other.max_open_samples
        && one.sample_lease_ms == other.sample_lease_ms
        && one.idle_weight == other.idle_weight
        && one.trainer == other.trainer
}
