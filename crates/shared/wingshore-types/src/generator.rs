//! Hashes of prompts and the deterministic token function of simulated engines.
//!
//! [`hash_tokens`] identifies prompts and their prefixes. [`token_at`] is used by simulated engines
//! and checkers only. It is part of this crate so that the tests of any crate can recompute which
//! version generated which token.

use crate::ids::WeightVersion;
use crate::sample::Token;
use fnv::FnvHasher;
use std::hash::Hasher;

/// Vocabulary size of the simulated model.
pub const VOCABULARY: u32 = 1 << 24;

/// Returns the token at `position` of the generation for `prompt_hash` and `seed` by `version`.
pub fn token_at(prompt_hash: u64, seed: u64, position: u32, version: WeightVersion) -> Token {
    let mixed = mix(prompt_hash ^ mix(seed) ^ mix(u64::from(position) << 32 | version.0));
    (mixed % u64::from(VOCABULARY)) as Token
}

/// Returns the FNV-1a hash of the little-endian bytes of `tokens`.
pub fn hash_tokens(tokens: &[Token]) -> u64 {
    let mut hasher = FnvHasher::default();
    for token in tokens {
        hasher.write(&token.to_le_bytes());
    }
    hasher.finish()
}

/// Applies the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
