//! Requests to a ledger group: the life of samples.
//!
//! submitted -> leased -> finished -> scored -> handed over (trainer, step) -> acknowledged, freed.

use crate::ids::{LeaseId, NodeId, PoolId, SampleNumber, StepId, TrainerId, WeightVersion};
use crate::sample::{Generation, Prompt, Sample};
use serde::{Deserialize, Serialize};

/// A node's right to generate one sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleLease {
    /// The grant; reports name it.
    pub lease: LeaseId,
    /// What to generate.
    pub prompt: Prompt,
    /// What an earlier attempt left, to be resumed; empty to start anew.
    pub partial: Generation,
    /// Segments below this version would be too old when handed over now.
    pub oldest_useful: WeightVersion,
    /// Time until the lease runs out without renewal, in milliseconds.
    pub duration_ms: u64,
}

/// What a pull asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Who asks.
    pub trainer: TrainerId,
    /// For which step.
    pub step: StepId,
    /// The trainer's own version now; staleness is counted against it.
    pub weight_version: WeightVersion,
    /// How many samples make the step.
    pub count: u32,
    /// How long the answer may wait for them, in milliseconds.
    pub wait_ms: u64,
}

/// A handed-over batch, or a part of one that is too large for one answer. A repeated pull of the
/// same step gets the same one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The step.
    pub step: StepId,
    /// The trainer's version that staleness was checked against.
    pub weight_version: WeightVersion,
    /// Samples in the whole batch.
    pub total: u32,
    /// The samples of this part, in order.
    pub samples: Vec<Sample>,
}

/// Counts of a pool's samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerCounts {
    /// Waiting to be leased.
    pub pending: u32,
    /// Leased.
    pub leased: u32,
    /// Generated, not yet scored.
    pub finished: u32,
    /// Ready for hand-over.
    pub scored: u32,
    /// Handed over, not yet acknowledged.
    pub handed_over: u32,
    /// Acknowledged since the beginning.
    pub acknowledged: u64,
    /// Later finishes of samples that were finished already.
    pub duplicates_dropped: u64,
    /// Samples generated again because they were too old.
    pub regenerated: u64,
}

/// A request to a ledger group. `pool` must be one that the group holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Sets what the ledger needs to know of the pool; sent by the node from its configuration.
    /// The newest revision wins.
    Configure {
        /// Which pool.
        pool: PoolId,
        /// Revision of the configuration this is from.
        revision: crate::ids::Revision,
        /// See [`crate::configuration::Pool`].
        staleness_bound: u64,
        /// See [`crate::configuration::Pool`].
        max_open_samples: u32,
        /// See [`crate::configuration::Pool`].
        sample_lease_ms: u64,
        /// See [`crate::configuration::Pool`].
        idle_weight: crate::configuration::Permille,
        /// The one trainer its samples go to.
        trainer: TrainerId,
    },
    /// Adds samples; one that is known already is not added again.
    Submit {
        /// Which pool.
        pool: PoolId,
        /// What to generate.
        prompts: Vec<Prompt>,
    },
    /// Asks for samples to generate.
    Lease {
        /// Which pool.
        pool: PoolId,
        /// Who will generate them.
        node: NodeId,
        /// The node's boot; a later boot of a node ends the leases of its earlier ones.
        boot_id: u64,
        /// Maximal number of samples.
        most: u32,
    },
    /// Keeps leases; answers those that are lost.
    Renew {
        /// Which pool.
        pool: PoolId,
        /// The leases.
        leases: Vec<LeaseId>,
    },
    /// Gives a lease back, with what was generated so far.
    Return {
        /// Which pool.
        pool: PoolId,
        /// The lease.
        lease: LeaseId,
        /// So far.
        partial: Generation,
    },
    /// Reports a whole generation. The first one for a sample wins, also from a lost lease.
    Finish {
        /// Which pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease.
        lease: LeaseId,
        /// All tokens and segments.
        generation: Generation,
    },
    /// Asks for finished samples to score, each with its tokens; several nodes may get the same.
    Unscored {
        /// Which pool.
        pool: PoolId,
        /// Maximal number of samples.
        most: u32,
    },
    /// Reports a score. The first one wins.
    Score {
        /// Which pool.
        pool: PoolId,
        /// The sample.
        sample: SampleNumber,
        /// The lease under which the generation that was scored was made.
        lease: LeaseId,
        /// The score.
        score: f64,
    },
    /// Hands a step's batch over.
    Pull {
        /// Which pool.
        pool: PoolId,
        /// What is asked.
        pull: PullRequest,
    },
    /// Asks for a further part of a batch that was handed over.
    BatchPart {
        /// Which pool.
        pool: PoolId,
        /// Who asks.
        trainer: TrainerId,
        /// Which step.
        step: StepId,
        /// The part's first sample, counted from 0 in the whole batch.
        from: u32,
    },
    /// The trainer has the batch safe: it is freed.
    Acknowledge {
        /// Which pool.
        pool: PoolId,
        /// Who.
        trainer: TrainerId,
        /// Which step.
        step: StepId,
    },
    /// Counts.
    Counts {
        /// Which pool.
        pool: PoolId,
    },
}

/// Why a ledger group refuses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRefusal {
    /// The group does not know the pool yet.
    UnknownPool,
    /// Too many open samples; nothing of the request was added.
    Full {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not enough samples were ready in time; nothing was handed over.
    NotReady {
        /// Samples ready now.
        ready: u32,
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The step is older than one already acknowledged, or was pulled with another count.
    WrongStep {
        /// What is wrong and what is allowed.
        message: String,
    },
    /// Not the pool's trainer.
    WrongTrainer {
        /// The one that is.
        expected: TrainerId,
    },
    /// The request is invalid.
    Invalid {
        /// What is wrong.
        message: String,
    },
}

/// A finished sample that waits for its score.
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

/// A ledger group's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// Committed.
    Done,
    /// To a submission.
    Submitted {
        /// Samples that were new.
        added: u32,
        /// Samples that were known already.
        known: u32,
    },
    /// To a lease request; may be empty.
    Leases(Vec<SampleLease>),
    /// To a renewal: leases that are lost; stop generating those.
    Lost(Vec<LeaseId>),
    /// To a finish or a score: whether it was the first.
    First(bool),
    /// To a question for unscored samples.
    Unscored(Vec<UnscoredSample>),
    /// To a pull: the batch's first part, which mostly is all of it; to a further part.
    Batch(Box<Batch>),
    /// Counts.
    Counts(LedgerCounts),
    /// Refused; nothing was changed.
    Refused(LedgerRefusal),
}
