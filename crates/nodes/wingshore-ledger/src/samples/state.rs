//! Replicated state of a ledger group.

use super::command::{LedgerCommand, Operation};
use super::faults::Faults;
use super::pool::PoolLedger;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};
use wingshore_types::snapshot;
use wingshore_types::{LogIndex, PoolId};

/// Snapshot format version, the first byte of a snapshot.
const SNAPSHOT_VERSION: u8 = 1;

/// Pools of a ledger group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerState {
    pools: BTreeMap<PoolId, PoolLedger>,
    #[serde(skip)]
    faults: Faults,
}

impl LedgerState {
    /// Creates an empty state with injected faults; for tests only.
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            pools: BTreeMap::new(),
            faults,
        }
    }

    /// Sets the injected faults, which a restore clears; for tests only.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        for pool in self.pools.values_mut() {
            pool.faults = faults;
        }
    }

    /// Returns the pools by id.
    pub fn pools(&self) -> &BTreeMap<PoolId, PoolLedger> {
        &self.pools
    }

    /// Returns a pool, if it is configured.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolLedger> {
        self.pools.get(pool)
    }

    fn apply_operation(&mut self, operation: Operation) -> LedgerReply {
        if let Operation::Configure { pool, settings } = &operation {
            let new = || PoolLedger::new(settings.clone(), self.faults);
            self.pools.entry(pool.clone()).or_insert_with(new);
        }
        match self.pools.get_mut(operation.pool()) {
            Some(pool) => apply_to_pool(pool, operation),
            None => LedgerReply::Refused(LedgerRefusal::UnknownPool),
        }
    }
}

fn apply_to_pool(pool: &mut PoolLedger, operation: Operation) -> LedgerReply {
    match operation {
        Operation::Configure { settings, .. } => pool.configure(settings),
        Operation::Submit { prompts, .. } => pool.submit(prompts),
        Operation::Lease {
            node,
            boot_id,
            most,
            ..
        } => pool.lease(node, boot_id, most),
        Operation::Expire { leases, .. } => pool.expire(&leases),
        Operation::Return { lease, partial, .. } => pool.return_lease(lease, partial),
        Operation::Finish {
            sample,
            lease,
            generation,
            ..
        } => pool.finish(sample, lease, generation),
        Operation::Score {
            sample,
            lease,
            score,
            ..
        } => pool.score(sample, lease, score),
        Operation::ObserveVersion { version, .. } => pool.observe_version(version),
        Operation::HandOver { pull, .. } => pool.hand_over(&pull),
        Operation::Acknowledge { trainer, step, .. } => pool.acknowledge(&trainer, step),
    }
}

impl ReplicatedState for LedgerState {
    type Command = LedgerCommand;
    type Reply = Vec<LedgerReply>;

    fn apply(&mut self, _index: LogIndex, command: LedgerCommand) -> Vec<LedgerReply> {
        command
            .operations
            .into_iter()
            .map(|operation| self.apply_operation(operation))
            .collect()
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(SNAPSHOT_VERSION, self)
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let mut state: Self = snapshot::decode("ledger", SNAPSHOT_VERSION, bytes)?;
        for pool in state.pools.values_mut() {
            pool.rebuild_indexes();
        }
        Ok(state)
    }
}
