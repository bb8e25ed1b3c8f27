//! The replicated state of a ledger group.

use super::command::{LedgerCommand, Operation};
use super::faults::Faults;
use super::pool::PoolLedger;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};
use wingshore_types::snapshot;
use wingshore_types::{LogIndex, PoolId};

/// First byte of a snapshot.
const SNAPSHOT_VERSION: u8 = 1;

/// The pools of a ledger group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerState {
    pools: BTreeMap<PoolId, PoolLedger>,
    #[serde(skip)]
    faults: Faults,
}

impl LedgerState {
    /// An empty state with deliberate faults; for tests only.
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            pools: BTreeMap::new(),
            faults,
        }
    }

    /// Switches deliberate faults on or off, for instance after a restore; for tests only.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        for pool in self.pools.values_mut() {
            pool.faults = faults;
        }
    }

    /// The pools by name.
    pub fn pools(&self) -> &BTreeMap<PoolId, PoolLedger> {
        &self.pools
    }

    /// One pool.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolLedger> {
        self.pools.get(pool)
    }

    fn apply_operation(&mut self, operation: Operation) -> LedgerReply {
        if let Operation::Configure { pool, settings } = operation {
            let faults = self.faults;
            let new = || PoolLedger::new(settings.clone(), faults);
            let ledger = self.pools.entry(pool).or_insert_with(new);
            return ledger.configure(settings);
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
        Operation::Return { lease, partial, .. } => pool.give_back(lease, partial),
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
