//! Answers to `POST /v1/completions`, in the OpenAI shape with wingshore's additions: the tokens
//! themselves and the weight versions that made them.

use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};
use wingshore_types::platform::{FinishReason, Usage};
use wingshore_types::{Generation, Segment, Token, WeightVersion};

/// Name of the object, as in the OpenAI interface.
const OBJECT: &str = "text_completion";

/// What all answers to one request have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CompletionHead {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
}

impl CompletionHead {
    /// The head of the answers to the request `id`.
    pub fn new(id: String, model: String) -> Self {
        let created = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_secs());
        Self {
            id,
            object: OBJECT,
            created,
            model,
        }
    }
}

/// A whole completion, or one event of a streamed one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CompletionBody<'a> {
    #[serde(flatten)]
    head: &'a CompletionHead,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
struct Choice {
    index: u32,
    text: String,
    tokens: Vec<Token>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    segments: Vec<Segment>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_version: Option<WeightVersion>,
    finish_reason: Option<FinishReason>,
    logprobs: Option<()>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    cached_tokens: u32,
}

impl<'a> CompletionBody<'a> {
    /// A whole completion.
    pub fn whole(
        head: &'a CompletionHead,
        generation: &Generation,
        reason: FinishReason,
        usage: Usage,
    ) -> Self {
        let choice = Choice {
            index: 0,
            text: text_of(&generation.tokens),
            tokens: generation.tokens.clone(),
            segments: generation.segments.clone(),
            weight_version: None,
            finish_reason: Some(reason),
            logprobs: None,
        };
        Self {
            head,
            choices: [choice],
            usage: Some(UsageBody::from(usage)),
        }
    }

    /// One event: tokens made by one version.
    pub fn chunk(head: &'a CompletionHead, version: WeightVersion, tokens: &[Token]) -> Self {
        let choice = Choice {
            index: 0,
            text: text_of(tokens),
            tokens: tokens.to_vec(),
            segments: Vec::new(),
            weight_version: Some(version),
            finish_reason: None,
            logprobs: None,
        };
        Self {
            head,
            choices: [choice],
            usage: None,
        }
    }

    /// The last event before `[DONE]`.
    pub fn end(head: &'a CompletionHead, reason: FinishReason, usage: Usage) -> Self {
        let choice = Choice {
            index: 0,
            text: String::new(),
            tokens: Vec::new(),
            segments: Vec::new(),
            weight_version: None,
            finish_reason: Some(reason),
            logprobs: None,
        };
        Self {
            head,
            choices: [choice],
            usage: Some(UsageBody::from(usage)),
        }
    }
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            cached_tokens: usage.cached_tokens,
        }
    }
}

/// The node has no tokenizer: tokens are written as numbers, each after a space.
fn text_of(tokens: &[Token]) -> String {
    tokens.iter().map(|token| format!(" {token}")).collect()
}
