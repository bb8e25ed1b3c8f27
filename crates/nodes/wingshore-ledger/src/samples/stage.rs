//! Open samples and their stages.

use serde::{Deserialize, Serialize};
use wingshore_types::{Generation, LeaseId, NodeId, Prompt, SampleNumber, Token, WeightVersion};

/// Order in which samples are leased, scored and handed over: the oldest submission first, and
/// within a submission the largest token limit first, so that stragglers start early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct QueueKey {
    submission: u64,
    /// `u32::MAX` minus the token limit, so that larger limits sort first.
    shortness: u32,
    number: SampleNumber,
}

impl QueueKey {
    /// Returns the key of a prompt of the given submission.
    pub(crate) fn new(submission: u64, prompt: &Prompt) -> Self {
        Self {
            submission,
            shortness: u32::MAX - prompt.max_tokens,
            number: prompt.number,
        }
    }

    /// Returns the number of the sample.
    pub(crate) fn number(&self) -> SampleNumber {
        self.number
    }
}

/// Boot of a node that holds leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) node: NodeId,
    pub(crate) boot_id: u64,
}

/// Complete generation and the lease under which it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Finished {
    pub(crate) lease: LeaseId,
    pub(crate) generation: Generation,
}

/// Stage of an open sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// Waits for a lease.
    Pending {
        /// Partial generation of an earlier attempt.
        partial: Generation,
    },
    /// A node generates it.
    Leased {
        lease: LeaseId,
        holder: Holder,
        /// Partial generation of an earlier attempt, for the next attempt if this lease expires.
        partial: Generation,
    },
    /// Waits for its score.
    Finished(Finished),
    /// Waits for a pull.
    Scored { finished: Finished, score: f64 },
}

impl Stage {
    /// Returns the oldest weight version among the tokens of the generation.
    pub(crate) fn oldest_version(&self) -> Option<WeightVersion> {
        self.generation().oldest_version()
    }

    pub(crate) fn generation(&self) -> &Generation {
        match self {
            Self::Pending { partial } | Self::Leased { partial, .. } => partial,
            Self::Finished(finished) | Self::Scored { finished, .. } => &finished.generation,
        }
    }
}

/// Sample that is not handed over yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OpenSample {
    pub(crate) key: QueueKey,
    pub(crate) prompt: Prompt,
    pub(crate) stage: Stage,
}

impl OpenSample {
    /// Returns the number of tokens of the prompt and of the generation.
    pub(crate) fn token_count(&self) -> usize {
        self.prompt.tokens.len() + self.stage.generation().tokens.len()
    }

    /// Returns an upper estimate of the size of the sample in a batch, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(&self.prompt.tokens, self.stage.generation())
    }
}

/// Returns an upper estimate of the size of a sample in a batch, in bytes.
pub(crate) fn encoded_bytes(prompt: &[Token], generation: &Generation) -> usize {
    /// Bytes besides tokens and segments. The codec needs at most 48: 10 for each of the number and
    /// three lengths, 8 for the score.
    const FIXED: usize = 64;
    /// Maximum bytes of a segment: 10 for its version, 5 for each end of its range.
    const PER_SEGMENT: usize = 20;
    let tokens = prompt.iter().chain(&generation.tokens);
    let tokens: usize = tokens.map(|token| encoded_token_bytes(*token)).sum();
    FIXED + PER_SEGMENT * generation.segments.len() + tokens
}

/// Returns the length of a token as a variable-length integer with seven bits per byte.
fn encoded_token_bytes(token: Token) -> usize {
    /// Payload bits per byte; the codec uses the eighth bit as the continuation flag.
    const BITS_PER_BYTE: u32 = 7;
    let bits = Token::BITS - token.leading_zeros();
    bits.div_ceil(BITS_PER_BYTE).max(1) as usize
}
