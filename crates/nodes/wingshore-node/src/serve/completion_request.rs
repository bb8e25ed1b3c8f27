//! Parses and validates the body of `POST /v1/completions`.

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use wingshore_types::{PoolId, Token};

/// Number of tokens to generate if `max_tokens` is absent, as in the OpenAI API.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The engines that a completion request addresses.
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
    /// The engines that may serve the request.
    pub target: CompletionTarget,
    /// Name of an adapter on top of the base model.
    pub adapter: Option<String>,
    /// Prompt tokens; for a text prompt, its bytes.
    pub prompt: Vec<Token>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to answer with server-sent events.
    pub stream: bool,
    /// Seed of the generation, if the caller sets one.
    pub seed: Option<u64>,
}

/// Reason why a completion request is invalid.
#[derive(Debug, Snafu)]
pub enum CompletionRequestError {
    /// The body is not the expected JSON.
    #[snafu(display("the body is not a completion request: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// Neither or both of `model` and `pool` are set.
    #[snafu(display("one of `model` and `pool` is wanted"))]
    Target,
    /// The prompt is empty.
    #[snafu(display("`prompt` is empty; at least one token or character is wanted"))]
    EmptyPrompt,
    /// `max_tokens` is 0.
    #[snafu(display("`max_tokens` is 0; at least 1 is wanted"))]
    NoTokens,
    /// The request uses an option that engines do not support.
    #[snafu(display("`{option}` is not supported"))]
    Unsupported {
        /// Name of the option.
        option: &'static str,
    },
}

/// The request body as sent by callers. Sampling options without a field here are ignored.
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
    /// Parses and validates a request body.
    ///
    /// # Errors
    /// Fails when the body is invalid; the error names what is wrong and what is allowed.
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
