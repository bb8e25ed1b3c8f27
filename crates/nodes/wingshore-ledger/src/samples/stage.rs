//! One open sample and where it stands.

use serde::{Deserialize, Serialize};
use wingshore_types::{Generation, LeaseId, NodeId, Prompt, SampleNumber, Token, WeightVersion};

/// The order in which samples are leased, scored and handed over: the oldest submission first;
/// within one submission the longest allowed generation first, so that stragglers start early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct QueueKey {
    submission: u64,
    shortness: u32,
    number: SampleNumber,
}

impl QueueKey {
    /// The key of a prompt that came with the given submission.
    pub(crate) fn new(submission: u64, prompt: &Prompt) -> Self {
        Self {
            submission,
            shortness: u32::MAX - prompt.max_tokens,
            number: prompt.number,
        }
    }

    /// The sample's number.
    pub(crate) fn number(&self) -> SampleNumber {
        self.number
    }
}

/// A node's boot, which holds leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) node: NodeId,
    pub(crate) boot_id: u64,
}

/// A whole generation and the lease it was made under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Finished {
    pub(crate) lease: LeaseId,
    pub(crate) generation: Generation,
}

/// Where an open sample stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// Waits for a lease.
    Pending {
        /// What an earlier attempt left.
        partial: Generation,
    },
    /// A node generates it.
    Leased {
        lease: LeaseId,
        holder: Holder,
        /// What an earlier attempt left; handed out again when this one is lost.
        partial: Generation,
    },
    /// Waits for its score.
    Finished(Finished),
    /// Waits for a pull.
    Scored { finished: Finished, score: f64 },
}

impl Stage {
    /// The oldest version among its tokens.
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

/// A sample that is not handed over yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OpenSample {
    pub(crate) key: QueueKey,
    pub(crate) prompt: Prompt,
    pub(crate) stage: Stage,
}

impl OpenSample {
    /// Tokens of the prompt and of what was generated.
    pub(crate) fn tokens(&self) -> usize {
        self.prompt.tokens.len() + self.stage.generation().tokens.len()
    }

    /// About the bytes it takes in a batch; not fewer.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(&self.prompt.tokens, self.stage.generation())
    }
}

/// About the bytes that a sample takes in a batch; not fewer.
pub(crate) fn encoded_bytes(prompt: &[Token], generation: &Generation) -> usize {
    /// Bytes of all but tokens and segments. The codec needs 48 at the most: 10 for each of the
    /// number and three lengths, 8 for the score.
    const FIXED: usize = 64;
    /// Bytes of a segment at the most: 10 for its version, 5 for each end of its range.
    const PER_SEGMENT: usize = 20;
    let tokens = prompt.iter().chain(&generation.tokens);
    let tokens: usize = tokens.map(|token| encoded_token_bytes(*token)).sum();
    FIXED + PER_SEGMENT * generation.segments.len() + tokens
}

/// Length of a token as a variable-length integer of seven bits a byte.
fn encoded_token_bytes(token: Token) -> usize {
    /// Bits of a number in each byte; the eighth says whether more follow, as the codec defines it.
    const BITS_PER_BYTE: u32 = 7;
    let bits = Token::BITS - token.leading_zeros();
    bits.div_ceil(BITS_PER_BYTE).max(1) as usize
}
