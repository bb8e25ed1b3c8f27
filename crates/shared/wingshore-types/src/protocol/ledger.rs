//! Requests to a ledger group, which manages the lifecycle of samples.
//!
//! submitted -> leased -> finished -> scored -> handed over (trainer, step) -> acknowledged, freed.

use crate::ids::{LeaseId, NodeId, PoolId, SampleNumber, StepId, TrainerId, WeightVersion};
use crate::sample::{Generation, Prompt, Sample};
use serde::{Deserialize, Serialize};

/// A lease that lets a node generate one sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleLease {
    /// The id of the lease, which the node's reports contain.
    pub lease: LeaseId,
    /// The prompt to generate a sample for.
    pub prompt: Prompt,
    /// The partial generation of an earlier attempt, to be resumed; empty for a fresh start.
    pub partial: Generation,
    /// The oldest version that would not exceed the staleness bound if the sample were handed over
    /// now.
    pub oldest_useful: WeightVersion,
    /// Time until the lease expires without renewal, in milliseconds.
    pub duration_ms: u64,
}

/// The parameters of a pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The trainer that pulls.
    pub trainer: TrainerId,
    /// The step.
    pub step: StepId,
    /// The trainer's current weight version, which staleness is measured against.
    pub weight_version: WeightVersion,
    /// Number of samples in the step.
    pub count: u32,
    /// Maximum time to wait for the samples, in milliseconds.
    pub wait_ms: u64,
}

/// A handed-over batch, or a part of a batch that is too large for one reply. A repeated pull of
/// the same step gets the same batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The step.
    pub step: StepId,
    /// The trainer's weight version that staleness was measured against.
    pub weight_version: WeightVersion,
    /// Number of samples in the complete batch.
    pub total: u32,
    /// The samples of this part, in order.
    pub samples: Vec<Sample>,
}

/// Number of samples of a pool by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerCounts {
    /// Samples that wait to be leased.
    pub pending: u32,
    /// Samples that are leased.
    pub leased: u32,
    /// Samples that are generated but not yet scored.
    pub finished: u32,
    /// Samples that are scored and ready to be handed over.
    pub scored: u32,
    /// Samples that are handed over but not yet acknowledged.
    pub handed_over: u32,
    /// Total number of acknowledged samples.
    pub acknowledged: u64,
    /// Total number of dropped generations of samples that were already finished.
    pub duplicates_dropped: u64,
    /// Total number of samples that were regenerated because they were too stale.
    pub regenerated: u64,
}

/// A request to a ledger group. The group must hold the `pool`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Sets the pool settings that the ledger depends on. A node sends them from its
    /// configuration; the newest revision wins.
    Configure {
        /// The pool.
        pool: PoolId,
        /// The configuration revision of the settings.
        revision: crate::ids::Revision,
        /// See [`crate::configuration::Pool::staleness_bound`].
        staleness_bound: u64,
        /// See [`crate::configuration::Pool::max_open_samples`].
        max_open_samples: u32,
        /// See [`crate::configuration::Pool::sample_lease_ms`].
        sample_lease_ms: u64,
        /// See [`crate::configuration::Pool::idle_weight`].
        idle_weight: crate::configuration::Permille,
        /// The only trainer that receives the samples of the pool.
        trainer: TrainerId,
    },
    /// Adds samples, except for those that exist already.
    Submit {
        /// The pool.
        pool: PoolId,
        /// The prompts to generate samples for.
        prompts: Vec<Prompt>,
    },
    /// Requests leases on samples to generate.
    Lease {
        /// The pool.
        pool: PoolId,
        /// The node that will generate them.
        node: NodeId,
        /// The boot id of the node; a later boot of the node ends the leases of earlier boots.
        boot_id: u64,
        /// Maximum number of samples.
        most: u32,
    },
    /// Renews leases. The reply lists the leases that are lost.
    Renew {
        /// The pool.
        pool: PoolId,
        /// The leases.
        leases: Vec<LeaseId>,
    },
    /// Releases a lease before the sample is finished, with the partial generation.
    Return {
        /// The pool.
        pool: PoolId,
        /// The lease.
        lease: LeaseId,
        /// The tokens and segments generated so far.
        partial: Generation,
    },
    /// Reports a complete generation. The first report for a sample wins, even if its lease was
    /// lost.
    Finish {
        /// The pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease.
        lease: LeaseId,
        /// All tokens and segments.
        generation: Generation,
    },
    /// Requests finished samples to score, with their tokens. Several nodes may get the same
    /// sample.
    Unscored {
        /// The pool.
        pool: PoolId,
        /// Maximum number of samples.
        most: u32,
    },
    /// Reports a score. The first report wins.
    Score {
        /// The pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease under which the scored generation was made.
        lease: LeaseId,
        /// The score.
        score: f64,
    },
    /// Hands over the batch of a step.
    Pull {
        /// The pool.
        pool: PoolId,
        /// The parameters of the pull.
        pull: PullRequest,
    },
    /// Requests a further part of a batch that was handed over.
    BatchPart {
        /// The pool.
        pool: PoolId,
        /// The trainer that pulls.
        trainer: TrainerId,
        /// The step.
        step: StepId,
        /// The index of the part's first sample in the complete batch, from 0.
        from: u32,
    },
    /// Acknowledges that the trainer has stored the batch, so that the ledger can free it.
    Acknowledge {
        /// The pool.
        pool: PoolId,
        /// The trainer.
        trainer: TrainerId,
        /// The step.
        step: StepId,
    },
    /// Requests the sample counts of a pool.
    Counts {
        /// The pool.
        pool: PoolId,
    },
}

/// The reason why a ledger group refuses a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRefusal {
    /// The group has no settings for the pool yet.
    UnknownPool,
    /// There are too many open samples; no sample of the request was added.
    Full {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not enough samples were ready in time; nothing was handed over.
    NotReady {
        /// Number of samples that are ready now.
        ready: u32,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The step is older than an acknowledged one, or was pulled before with another count.
    WrongStep {
        /// The error and the accepted values.
        message: String,
    },
    /// The request is not from the trainer of the pool.
    WrongTrainer {
        /// The trainer of the pool.
        expected: TrainerId,
    },
    /// The request is invalid.
    Invalid {
        /// Description of the error.
        message: String,
    },
}

/// A finished sample that is not yet scored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnscoredSample {
    /// The sample.
    pub number: SampleNumber,
    /// The lease under which it was generated.
    pub lease: LeaseId,
    /// Prompt tokens.
    pub prompt: Vec<crate::sample::Token>,
    /// Generated tokens.
    pub tokens: Vec<crate::sample::Token>,
}

/// A reply of a ledger group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The request is committed.
    Done,
    /// The reply to a submission.
    Submitted {
        /// Number of samples that were added.
        added: u32,
        /// Number of samples that existed already.
        known: u32,
    },
    /// The reply to a lease request; may be empty.
    Leases(Vec<SampleLease>),
    /// The reply to a renewal: the leases that are lost. The node must stop generating these
    /// samples.
    Lost(Vec<LeaseId>),
    /// The reply to a finish or a score: whether it was the first report.
    First(bool),
    /// The reply to a request for unscored samples.
    Unscored(Vec<UnscoredSample>),
    /// The reply to a pull: the first part of the batch, usually the complete batch. Also the reply
    /// to a request for a further part.
    Batch(Box<Batch>),
    /// The sample counts.
    Counts(LedgerCounts),
    /// The request was refused and had no effect.
    Refused(LedgerRefusal),
}
