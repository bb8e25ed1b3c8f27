//! Draws of a run: each kind of event has a generator of its own, so that one policy's draws never
//! change another's load.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What a generator is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Arrivals at a live node.
    Arrivals(usize),
    /// Crashes of an engine.
    Crashes(usize),
    /// Failing swaps of an engine.
    Swaps(usize),
    /// Answers of the scorer.
    Scores,
}

impl Purpose {
    fn number(self) -> u64 {
        match self {
            Self::Arrivals(node) => 1 << 32 | node as u64,
            Self::Crashes(engine) => 2 << 32 | engine as u64,
            Self::Swaps(engine) => 3 << 32 | engine as u64,
            Self::Scores => 4 << 32,
        }
    }
}

/// The generator for a purpose.
pub fn generator(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(purpose.number());
    generator
}

/// Exponentially distributed time.
pub fn exponential(generator: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = generator.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// Whether something with this probability, in thousandths, happens.
pub fn happens(generator: &mut ChaCha8Rng, permille: u32) -> bool {
    generator.random_range(0..1000) < permille
}
