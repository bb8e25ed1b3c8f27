//! Samples and the weight versions that produced their tokens.

use crate::ids::{SampleNumber, WeightVersion};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// One token of a model's vocabulary.
pub type Token = u32;

/// Consecutive generated tokens made by one weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version that produced the tokens, as the engine stamped it.
    pub version: WeightVersion,
    /// Positions within the sample's generated tokens.
    pub tokens: Range<u32>,
}

/// What a trainer asks to have generated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The trainer's number for the sample.
    pub number: SampleNumber,
    /// Prompt tokens.
    pub tokens: Vec<Token>,
    /// Maximal number of tokens to generate.
    pub max_tokens: u32,
    /// Seed of the generation.
    pub seed: u64,
}

/// The generated part of a sample.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Generated tokens, prompt not included.
    pub tokens: Vec<Token>,
    /// Segments in order; together they cover `tokens` without gap or overlap.
    pub segments: Vec<Segment>,
}

impl Generation {
    /// Appends tokens made by `version`, extending the last segment where the version is the same.
    pub fn append(&mut self, version: WeightVersion, tokens: &[Token]) {
        if tokens.is_empty() {
            return;
        }
        let start = self.tokens.len() as u32;
        self.tokens.extend_from_slice(tokens);
        let end = self.tokens.len() as u32;
        match self.segments.last_mut() {
            Some(last) if last.version == version => last.tokens.end = end,
            _ => self.segments.push(Segment {
                version,
                tokens: start..end,
            }),
        }
    }

    /// The oldest version among the segments; `None` before the first token.
    pub fn oldest_version(&self) -> Option<WeightVersion> {
        self.segments.iter().map(|segment| segment.version).min()
    }

    /// Whether the segments cover the tokens exactly, in order.
    pub fn is_well_formed(&self) -> bool {
        let mut next = 0;
        for segment in &self.segments {
            if segment.tokens.start != next || segment.tokens.end <= next {
                return false;
            }
            next = segment.tokens.end;
        }
        next as usize == self.tokens.len()
    }
}

/// A whole sample as its trainer receives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The trainer's number for it.
    pub number: SampleNumber,
    /// Prompt tokens.
    pub prompt: Vec<Token>,
    /// Generated tokens and the versions that made them.
    pub generation: Generation,
    /// The scorer's verdict.
    pub score: f64,
}
