//! `POST /v1/completions`: the body, parsed into a valid request.

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use wingshore_types::{PoolId, Token};

/// Tokens generated when the caller does not say, as in the OpenAI interface.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Whom a completion is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionTarget {
    /// Any engine that serves the base model.
    Model(String),
    /// The engines of a pool.
    Pool(PoolId),
}

/// A valid completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Whom it is for.
    pub target: CompletionTarget,
    /// An adapter on top of the base model.
    pub adapter: Option<String>,
    /// Prompt tokens; the bytes of a text prompt.
    pub prompt: Vec<Token>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether to answer by server-sent events.
    pub stream: bool,
    /// Seed of the generation, where the caller gives one.
    pub seed: Option<u64>,
}

/// Why a completion request makes no sense.
#[derive(Debug, Snafu)]
pub enum CompletionRequestError {
    /// Not the JSON that is wanted.
    #[snafu(display("the body is not a completion request: {source}"))]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// Neither or both of `model` and `pool`.
    #[snafu(display("one of `model` and `pool` is wanted"))]
    Target,
    /// No prompt tokens.
    #[snafu(display("`prompt` is empty; at least one token or character is wanted"))]
    EmptyPrompt,
    /// No tokens to generate.
    #[snafu(display("`max_tokens` is 0; at least 1 is wanted"))]
    NoTokens,
    /// An option that engines do not have.
    #[snafu(display("`{option}` is not supported"))]
    Unsupported {
        /// The option.
        option: &'static str,
    },
}

/// The body as callers write it. Sampling options that are not named here are ignored.
#[derive(Deserialize)]
struct CompletionBody {
    model: Option<String>,
    pool: Option<String>,
    adapter: Option<String>,
    prompt: PromptBody,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    seed: Option<u64>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    logprobs: Option<u32>,
    suffix: Option<String>,
    stop: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PromptBody {
    Text(String),
    Tokens(Vec<Token>),
}

impl CompletionRequest {
    /// Parses a body.
    ///
    /// # Errors
    /// What is wrong with it and what is allowed.
    pub fn parse(body: &[u8]) -> Result<Self, CompletionRequestError> {
        let body: CompletionBody = serde_json::from_slice(body).context(JsonSnafu)?;
        refuse_unsupported(&body)?;
        let target = match (body.model, body.pool) {
            (Some(model), None) => CompletionTarget::Model(model),
            (None, Some(pool)) => CompletionTarget::Pool(PoolId::new(&pool)),
            _ => return TargetSnafu.fail(),
        };
        let prompt = match body.prompt {
            PromptBody::Text(text) => text.bytes().map(Token::from).collect(),
            PromptBody::Tokens(tokens) => tokens,
        };
        ensure!(!prompt.is_empty(), EmptyPromptSnafu);
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        ensure!(max_tokens > 0, NoTokensSnafu);
        Ok(Self {
            target,
            adapter: body.adapter,
            prompt,
            max_tokens,
            stream: body.stream.unwrap_or(false),
            seed: body.seed,
        })
    }
}

fn refuse_unsupported(body: &CompletionBody) -> Result<(), CompletionRequestError> {
    let unsupported = [
        ("n", body.n.is_some_and(|n| n != 1)),
        ("best_of", body.best_of.is_some_and(|n| n != 1)),
        ("echo", body.echo == Some(true)),
        ("logprobs", body.logprobs.is_some()),
        ("suffix", body.suffix.is_some()),
        (
            "stop",
            body.stop.as_ref().is_some_and(|stop| !stop.is_null()),
        ),
    ];
    match unsupported.into_iter().find(|(_, used)| *used) {
        Some((option, _)) => UnsupportedSnafu { option }.fail(),
        None => Ok(()),
    }
}
