//! What stands in the log of a ledger group.

use serde::{Deserialize, Serialize};
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::ledger::PullRequest;
use wingshore_types::{
    Generation, LeaseId, NodeId, PoolId, Prompt, Revision, SampleNumber, StepId, TrainerId,
    WeightVersion,
};

/// One entry of the log: operations that are applied in order, each with its own reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerCommand {
    /// The operations.
    pub operations: Vec<Operation>,
}

/// What a ledger needs to know of a pool's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Revision of the configuration this is from.
    pub revision: Revision,
    /// Most versions that a delivered sample's oldest segment may lie behind the trainer's.
    pub staleness_bound: u64,
    /// Most samples submitted and not yet acknowledged.
    pub max_open_samples: u32,
    /// How long a lease holds without renewal, in milliseconds.
    pub sample_lease_ms: u64,
    /// Weight on trainer idle time against staleness: how far ahead of the trainer to generate.
    pub idle_weight: Permille,
    /// The one trainer the samples go to.
    pub trainer: TrainerId,
}

/// One change of a pool's samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Sets what is known of a pool; the newest revision wins.
    Configure {
        /// Which pool.
        pool: PoolId,
        /// The settings.
        settings: PoolSettings,
    },
    /// Adds samples that are not known yet.
    Submit {
        /// Which pool.
        pool: PoolId,
        /// What to generate.
        prompts: Vec<Prompt>,
    },
    /// Grants leases, after ending those of the node's other boots.
    Lease {
        /// Which pool.
        pool: PoolId,
        /// Who will generate.
        node: NodeId,
        /// The node's boot.
        boot_id: u64,
        /// Most samples.
        most: u32,
    },
    /// Ends leases that were not renewed in time. The leader's clock decided it; the command
    /// names the leases, so that no clock is needed to apply it.
    Expire {
        /// Which pool.
        pool: PoolId,
        /// The leases.
        leases: Vec<LeaseId>,
    },
    /// Ends a lease and keeps what was generated.
    Return {
        /// Which pool.
        pool: PoolId,
        /// The lease.
        lease: LeaseId,
        /// So far.
        partial: Generation,
    },
    /// A whole generation.
    Finish {
        /// Which pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease under which it was made.
        lease: LeaseId,
        /// All tokens and segments.
        generation: Generation,
    },
    /// A score.
    Score {
        /// Which pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease under which the scored generation was made.
        lease: LeaseId,
        /// The score.
        score: f64,
    },
    /// The trainer has stated a newer version: generations that are too old for it are dropped.
    ObserveVersion {
        /// Which pool.
        pool: PoolId,
        /// The trainer's version.
        version: WeightVersion,
    },
    /// Hands a step's batch over.
    HandOver {
        /// Which pool.
        pool: PoolId,
        /// What the trainer asked.
        pull: PullRequest,
    },
    /// The trainer has a batch safe.
    Acknowledge {
        /// Which pool.
        pool: PoolId,
        /// Who.
        trainer: TrainerId,
        /// Which step.
        step: StepId,
    },
}

impl Operation {
    /// The pool it is about.
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

    /// About how many bytes it takes in the log.
    pub fn estimated_bytes(&self) -> usize {
        /// Bytes of a command besides its items: identifiers and framing; an estimate.
        const FIXED: usize = 64;
        /// Bytes of a token: it has 32 bits, of which the codec leaves out what is zero.
        const PER_TOKEN: usize = 4;
        /// Bytes of an item besides its tokens; an estimate.
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
