//! One request inside the engine: its tokens so far and those not yet sent.

use super::length::LengthDistribution;
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::platform::{EngineCompletionRequest, FinishReason, Usage};
use wingshore_types::{Instant, Token, WeightVersion};

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub request: EngineCompletionRequest,
    pub prompt_hash: u64,
    /// The engine gives up at this time.
    pub deadline: Instant,
    /// All generated tokens, those handed over for resumption included.
    pub generated: Vec<Token>,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    whole_length: u32,
    unsent: Vec<Token>,
    sent_any: bool,
}

impl Sequence {
    /// A request as it arrived.
    pub fn new(
        request: EngineCompletionRequest,
        deadline: Instant,
        lengths: LengthDistribution,
    ) -> Self {
        let prompt_hash = hash_tokens(&request.prompt);
        Self {
            prompt_hash,
            deadline,
            generated: request.resume.clone(),
            cached_tokens: 0,
            whole_length: lengths.whole_length(prompt_hash, request.seed, request.max_tokens),
            unsent: Vec::new(),
            sent_any: false,
            request,
        }
    }

    /// Tokens of context it holds in memory now.
    pub fn context_tokens(&self) -> u64 {
        (self.request.prompt.len() + self.generated.len()) as u64
    }

    /// Tokens of memory it may need until its end.
    pub fn reserved_tokens(&self) -> u64 {
        self.request.prompt.len() as u64 + u64::from(self.request.max_tokens)
    }

    /// Prompt and resumed tokens, whose keys and values are needed before the next token.
    pub fn prefill_tokens(&self) -> Vec<Token> {
        let mut tokens = self.request.prompt.clone();
        tokens.extend_from_slice(&self.generated);
        tokens
    }

    /// Whether all tokens are generated.
    pub fn is_whole(&self) -> bool {
        self.generated.len() >= self.whole_length as usize
    }

    /// Generates the next token, by `version`.
    pub fn generate(&mut self, version: WeightVersion) {
        let position = self.generated.len() as u32;
        let token = token_at(self.prompt_hash, self.request.seed, position, version);
        self.generated.push(token);
        self.unsent.push(token);
    }

    /// Whether an event is due: the first token goes at once, later ones in groups.
    pub fn event_is_due(&self, tokens_per_event: usize) -> bool {
        !self.unsent.is_empty() && (!self.sent_any || self.unsent.len() >= tokens_per_event)
    }

    /// Takes the tokens that were not yet sent.
    pub fn take_unsent(&mut self) -> Vec<Token> {
        self.sent_any |= !self.unsent.is_empty();
        std::mem::take(&mut self.unsent)
    }

    /// Why a whole generation ended.
    pub fn finish_reason(&self) -> FinishReason {
        if self.whole_length < self.request.max_tokens {
            FinishReason::Stop
        } else {
            FinishReason::Length
        }
    }

    /// Token counts.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.request.prompt.len() as u32,
            completion_tokens: self.generated.len() as u32,
            cached_tokens: self.cached_tokens,
        }
    }
}
