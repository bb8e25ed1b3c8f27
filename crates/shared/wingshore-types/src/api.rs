//! JSON bodies and header names of the HTTP API of a node. `docs/API.md` documents the API.

use crate::ids::{SampleNumber, StepId, TrainerId, WeightVersion};
use crate::sample::{Prompt, Segment, Token};
use serde::{Deserialize, Serialize};

/// Header that marks a request that must not be retried.
pub const NO_REPEAT_HEADER: &str = "x-wingshore-no-repeat";
/// Header with the remaining time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-wingshore-deadline-ms";
/// Header with the priority of the request; higher values are served first.
pub const PRIORITY_HEADER: &str = "x-wingshore-priority";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Response header with the name of the server that answered.
pub const SERVER_HEADER: &str = "x-wingshore-server";

/// Request body of `POST /v1/pools/{pool}/samples`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// The prompts to generate samples for.
    pub prompts: Vec<Prompt>,
}

/// Response body of `POST /v1/pools/{pool}/samples`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Number of samples that were added.
    pub added: u32,
    /// Number of samples that existed already.
    pub known: u32,
}

/// Request body of `POST /v1/pools/{pool}/steps/{step}/pull`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullBody {
    /// The trainer that pulls.
    pub trainer: TrainerId,
    /// The trainer's current weight version.
    pub weight_version: WeightVersion,
    /// Number of samples in the step.
    pub count: u32,
    /// Maximum time to wait for the samples, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Response body of a pull: the batch of the step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchBody {
    /// The step.
    pub step: StepId,
    /// The weight version that staleness was measured against.
    pub weight_version: WeightVersion,
    /// The samples.
    pub samples: Vec<SampleBody>,
}

/// A sample of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleBody {
    /// The number that the trainer chose for the sample.
    pub number: SampleNumber,
    /// Prompt tokens.
    pub prompt: Vec<Token>,
    /// Generated tokens.
    pub tokens: Vec<Token>,
    /// The weight versions that generated the tokens.
    pub segments: Vec<Segment>,
    /// The score.
    pub score: f64,
}

/// Request body of `POST /v1/pools/{pool}/steps/{step}/ack`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeBody {
    /// The trainer that acknowledges the step.
    pub trainer: TrainerId,
}

/// Request body of `POST /v1/pools/{pool}/versions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// The version that is available in the weight store.
    pub version: WeightVersion,
}
