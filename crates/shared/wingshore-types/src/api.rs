//! What callers see on a node: JSON bodies. Paths and headers are in `docs/API.md`.

use crate::ids::{SampleNumber, StepId, TrainerId, WeightVersion};
use crate::sample::{Prompt, Segment, Token};
use serde::{Deserialize, Serialize};

/// Header that marks a request as not to be repeated.
pub const NO_REPEAT_HEADER: &str = "x-wingshore-no-repeat";
/// Header with the time the caller still waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-wingshore-deadline-ms";
/// Header with the caller's priority; higher goes first.
pub const PRIORITY_HEADER: &str = "x-wingshore-priority";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header by which a node names the server that answered.
pub const SERVER_HEADER: &str = "x-wingshore-server";

/// `POST /v1/pools/{pool}/samples`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// What to generate.
    pub prompts: Vec<Prompt>,
}

/// Its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Samples that were new.
    pub added: u32,
    /// Samples that were known already.
    pub known: u32,
}

/// `POST /v1/pools/{pool}/steps/{step}/pull`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullBody {
    /// Who asks.
    pub trainer: TrainerId,
    /// The trainer's own version now.
    pub weight_version: WeightVersion,
    /// How many samples make the step.
    pub count: u32,
    /// How long the answer may wait for them, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Its answer: the batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchBody {
    /// The step.
    pub step: StepId,
    /// The version staleness was checked against.
    pub weight_version: WeightVersion,
    /// The samples.
    pub samples: Vec<SampleBody>,
}

/// One sample of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleBody {
    /// The trainer's number for it.
    pub number: SampleNumber,
    /// Prompt tokens.
    pub prompt: Vec<Token>,
    /// Generated tokens.
    pub tokens: Vec<Token>,
    /// The versions that made them.
    pub segments: Vec<Segment>,
    /// The score.
    pub score: f64,
}

/// `POST /v1/pools/{pool}/steps/{step}/ack`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeBody {
    /// Who.
    pub trainer: TrainerId,
}

/// `POST /v1/pools/{pool}/versions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// The version that is in the weight store now.
    pub version: WeightVersion,
}
