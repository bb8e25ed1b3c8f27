//! Hashes of prompts, and the arithmetic token function of stand-in engines.
//!
//! [`hash_tokens`] names prompts and their prefixes. [`token_at`] is called by stand-ins and checkers only:
//! it is here so that the tests of any crate can recompute which version made which token.

use crate::ids::WeightVersion;
use crate::sample::Token;
use fnv::FnvHasher;
use std::hash::Hasher;

/// Vocabulary size of the stand-in model.
pub const VOCABULARY: u32 = 1 << 24;

/// The token at `position` of the generation for `prompt_hash` and `seed`, made by `version`.
pub fn token_at(prompt_hash: u64, seed: u64, position: u32, version: WeightVersion) -> Token {
    let mixed = mix(prompt_hash ^ mix(seed) ^ mix(u64::from(position) << 32 | version.0));
    (mixed % u64::from(VOCABULARY)) as Token
}

/// Hash of prompt tokens (FNV-1a over their bytes).
pub fn hash_tokens(tokens: &[Token]) -> u64 {
    let mut hasher = FnvHasher::default();
    for token in tokens {
        hasher.write(&token.to_le_bytes());
    }
    hasher.finish()
}

/// Finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
