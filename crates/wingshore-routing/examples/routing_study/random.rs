//! Seeded draws.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// A seeded source of draws.
pub struct Random(ChaCha8Rng);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Exponentially distributed nanoseconds.
    pub fn exponential(&mut self, mean: f64) -> u64 {
        let uniform = (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        (-(1.0 - uniform).ln() * mean) as u64
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.0.next_u64()) * bound as u128) >> 64) as usize
    }
}
