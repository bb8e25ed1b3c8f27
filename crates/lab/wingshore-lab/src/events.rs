//! What stand-ins write to their logs, and all that the checkers know of a run.

use serde::{Deserialize, Serialize};
use wingshore_types::{SampleNumber, Segment, StepId, WeightVersion};

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it happened, in microseconds since the Unix epoch. All stand-ins of a run share one
    /// machine and so one clock.
    pub at_us: u64,
    /// The stand-in that wrote it.
    pub source: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What kind of request a live caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Changes something; must not be repeated.
    Charge,
    /// Reads something.
    Lookup,
    /// A completion answered by server-sent events.
    Completion,
}

/// A sample as the trainer received it, tokens folded into a hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeliveredSample {
    /// The trainer's number for it.
    pub number: SampleNumber,
    /// Hash of the prompt's tokens, as delivered.
    pub prompt_hash: u64,
    /// Hash of the prompt's tokens, as submitted.
    pub submitted_prompt_hash: u64,
    /// Seed that was submitted.
    pub seed: u64,
    /// Most tokens that were submitted.
    pub max_tokens: u32,
    /// Number of generated tokens.
    pub token_count: u32,
    /// Hash of the generated tokens.
    pub tokens_hash: u64,
    /// Versions that the sample names.
    pub segments: Vec<Segment>,
    /// Its score.
    pub score: f64,
}

/// A completion as a caller received it, tokens folded into a hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedCompletion {
    /// Hash of the prompt's tokens.
    pub prompt_hash: u64,
    /// Seed that was asked for.
    pub seed: u64,
    /// Most tokens that were asked for.
    pub max_tokens: u32,
    /// Number of tokens received.
    pub token_count: u32,
    /// Hash of the tokens received.
    pub tokens_hash: u64,
    /// Versions that the answer names.
    pub segments: Vec<Segment>,
}

/// One event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process listens, or has begun its work.
    Started {
        /// Drawn at each start.
        boot_id: u64,
    },
    /// A back end gave its own word that it takes no new work, or the machine list learnt of it.
    Leaving {
        /// The back end.
        server: String,
    },
    /// A back end that was leaving stays.
    Staying {
        /// The back end.
        server: String,
    },
    /// A live server ran a request.
    Executed {
        /// The caller's own id of the request.
        request: String,
        /// The caller's idempotency key.
        key: Option<String>,
        /// Whether it changed something.
        charge: bool,
        /// Status of the answer.
        status: u16,
        /// Hash of the answer's body.
        answer_hash: u64,
    },
    /// A back end refused a request by its own word, without running it.
    RefusedNotRun {
        /// The request or attempt.
        request: String,
    },
    /// An engine took an attempt in.
    AttemptStarted {
        /// The attempt.
        request: String,
        /// Hash of the prompt's tokens.
        prompt_hash: u64,
        /// Its seed.
        seed: u64,
        /// Tokens that were handed over to be continued.
        resumed_tokens: u32,
    },
    /// An engine generated a whole answer.
    AttemptFinished {
        /// The attempt.
        request: String,
        /// Hash of the prompt's tokens.
        prompt_hash: u64,
        /// Its seed.
        seed: u64,
        /// Hash of all generated tokens, the resumed ones included.
        tokens_hash: u64,
        /// Their number.
        token_count: u32,
    },
    /// An engine gave an attempt up.
    AttemptDropped {
        /// The attempt.
        request: String,
        /// Why: `cancelled`, `deadline` or `weights_lost`.
        reason: String,
    },
    /// The version in force on an engine changed; `None` is unknown.
    VersionInForce {
        /// The version.
        version: Option<WeightVersion>,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The order's epoch.
        epoch: u64,
        /// The order's sequence.
        sequence: u64,
        /// Whether it was taken; otherwise it was fenced.
        accepted: bool,
        /// Whether the same order had been answered before.
        repeated: bool,
    },
    /// A fault was switched on.
    FaultInjected {
        /// Its name.
        fault: String,
    },
    /// The weight store holds a new version.
    WeightsStored {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
    /// The weight store sent a whole version.
    WeightsSent {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
    /// A scorer scored, or failed on purpose.
    Scored {
        /// The sample.
        sample: SampleNumber,
        /// Whether it answered with a score.
        succeeded: bool,
    },
    /// The trainer's samples were taken in.
    Submitted {
        /// Numbers of the samples, in order.
        samples: Vec<SampleNumber>,
        /// Samples that the service says were new.
        added: u32,
        /// Samples that the service says were known.
        known: u32,
    },
    /// The trainer received a batch.
    BatchDelivered {
        /// The pool.
        pool: String,
        /// The step.
        step: StepId,
        /// The trainer's own version.
        trainer_version: WeightVersion,
        /// The configured staleness bound.
        staleness_bound: u64,
        /// How many samples were asked for.
        asked: u32,
        /// Hash of the answer's body.
        body_hash: u64,
        /// Whether this is a repeated pull of a step already logged.
        repeated: bool,
        /// Time spent waiting for it, in microseconds.
        waited_us: u64,
        /// The samples.
        samples: Vec<DeliveredSample>,
    },
    /// The trainer trained a step.
    Trained {
        /// The step.
        step: StepId,
        /// Time spent training, in microseconds.
        busy_us: u64,
    },
    /// The trainer acknowledged a step.
    Acknowledged {
        /// The step.
        step: StepId,
    },
    /// The trainer published a version.
    Published {
        /// The version.
        version: WeightVersion,
    },
    /// A caller has a whole completion; follows or precedes its `answered`.
    Completed {
        /// The caller's own id of the request.
        request: String,
        /// The tokens and the versions that the answer names.
        completion: ReceivedCompletion,
    },
    /// A live caller has its final answer, or gave up.
    Answered {
        /// The caller's own id of the request.
        request: String,
        /// Its idempotency key.
        key: Option<String>,
        /// What was asked.
        kind: CallKind,
        /// Whether it was marked as not to be repeated.
        no_repeat: bool,
        /// HTTP status; 0 when there was no whole answer.
        status: u16,
        /// The verdict of an error, where one was given.
        verdict: Option<wingshore_types::Verdict>,
        /// Hash of the body, or of the tokens of a completion.
        answer_hash: u64,
        /// Whether the caller saw a whole answer (declared length or final event).
        whole: bool,
        /// Time from sending to the end, in microseconds.
        latency_us: u64,
        /// Time from sending to the first token of a stream, in microseconds.
        first_token_us: Option<u64>,
    },
    /// A status poll of a node or of the control group: the revision in force there.
    RevisionSeen {
        /// Who was asked.
        observed: String,
        /// The revision.
        revision: u64,
    },
    /// The node beside a caller, from the site's settings.
    CallerNode {
        /// The caller.
        caller: String,
        /// Its node.
        node: String,
    },
    /// An operator's change was committed at this revision.
    RevisionCommitted {
        /// The revision.
        revision: u64,
    },
    /// The control group was first seen to hold this revision in force everywhere.
    RevisionInForce {
        /// The revision.
        revision: u64,
    },
    /// The control group answered under another leader after its leader was killed or frozen.
    LeaderFound {
        /// Time since then.
        after_us: u64,
    },
    /// The fleet did something to a process: `start`, `stop`, `kill`, `freeze`, `wake`,
    /// `lose_disk`; or a planned stop of it did not succeed: `stop_failed`.
    ProcessAction {
        /// The process.
        process: String,
        /// What was done.
        action: String,
    },
}
