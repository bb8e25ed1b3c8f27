//! Log entries of a ledger group.

use serde::{Deserialize, Serialize};
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::ledger::PullRequest;
use wingshore_types::{
    Generation, LeaseId, NodeId, PoolId, Prompt, Revision, SampleNumber, StepId, TrainerId,
    WeightVersion,
};

/// A log entry: operations that are applied in order, each with its own reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerCommand {
    /// Operations in the order in which they are applied.
    pub operations: Vec<Operation>,
}

/// Configuration of a pool as far as the ledger uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Revision of the configuration that these settings come from.
    pub revision: Revision,
    /// Maximum number of versions by which the oldest segment of a delivered sample may lag behind
    /// the trainer's version.
    pub staleness_bound: u64,
    /// Maximum number of samples that are submitted and not yet acknowledged.
    pub max_open_samples: u32,
    /// Duration of a lease without renewal, in milliseconds.
    pub sample_lease_ms: u64,
    /// Weight of trainer idle time against staleness. It determines how far ahead of the trainer
    /// samples are generated.
    pub idle_weight: Permille,
    /// Trainer that receives the samples.
    pub trainer: TrainerId,
}

/// A change to the samples of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Sets the settings of a pool; a revision that is not newer is ignored.
    Configure {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Settings of the pool.
        settings: PoolSettings,
    },
    /// Adds the samples that are not known yet.
    Submit {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Prompts of the samples.
        prompts: Vec<Prompt>,
    },
    /// Ends the leases of the node's other boots, then grants new ones.
    Lease {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Node that will generate the samples.
        node: NodeId,
        /// Boot id of the node.
        boot_id: u64,
        /// Maximum number of leases to grant.
        most: u32,
    },
    /// Ends leases that were not renewed in time. The leader determines the leases by its own
    /// clock and lists them, so that no clock is needed to apply the operation.
    Expire {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Expired leases.
        leases: Vec<LeaseId>,
    },
    /// Ends a lease and stores the partial generation.
    Return {
        /// Pool that the operation changes.
        pool: PoolId,
        /// The lease.
        lease: LeaseId,
        /// Tokens and segments generated so far.
        partial: Generation,
    },
    /// Records a complete generation.
    Finish {
        /// Pool that the operation changes.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// Lease under which it was generated.
        lease: LeaseId,
        /// All tokens and segments of the sample.
        generation: Generation,
    },
    /// Records the score of a generation.
    Score {
        /// Pool that the operation changes.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// Lease under which the scored generation was made.
        lease: LeaseId,
        /// The score.
        score: f64,
    },
    /// Records a newer version of the trainer and drops the generations that are too old for it.
    ObserveVersion {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Weight version of the trainer.
        version: WeightVersion,
    },
    /// Hands over the batch of a step.
    HandOver {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Pull request of the trainer.
        pull: PullRequest,
    },
    /// Records that the trainer has secured a batch and no longer needs it from the ledger.
    Acknowledge {
        /// Pool that the operation changes.
        pool: PoolId,
        /// Trainer that acknowledges.
        trainer: TrainerId,
        /// Step whose batch is acknowledged.
        step: StepId,
    },
}

impl Operation {
    /// Returns the pool that the operation changes.
    pub fn pool(&self) -> &PoolId {
        match self {
            Self::Configure { pool, .. }
            | Self::Submit { pool, .. }
            | Self::Lease { pool, .. }
            | Self::Expire { pool, .. }
            | Self::Return { pool, .. }
            | Self::Finish { pool, .. }
            | Self::Score { pool, .. }
            | Self::ObserveVersion { pool, .. }
            | Self::HandOver { pool, .. }
            | Self::Acknowledge { pool, .. } => pool,
        }
    }

    /// Returns the estimated size of the operation in the log, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        /// Estimated size of an operation in bytes without its items: identifiers and framing.
        const FIXED: usize = 64;
        /// Estimated size of a token in bytes: it has 32 bits, and the codec omits leading zeros.
        const PER_TOKEN: usize = 4;
        /// Estimated size of an item in bytes without its tokens.
        const PER_ITEM: usize = 16;
        let variable = match self {
            Self::Submit { prompts, .. } => prompts
                .iter()
                .map(|prompt| PER_ITEM + PER_TOKEN * prompt.tokens.len())
                .sum(),
            Self::Expire { leases, .. } => PER_ITEM * leases.len(),
            Self::Return {
                partial: generation,
                ..
            }
            | Self::Finish { generation, .. } => {
                PER_TOKEN * generation.tokens.len() + PER_ITEM * generation.segments.len()
            }
            _ => 0,
        };
        FIXED + variable
    }
}
