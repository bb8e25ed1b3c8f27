//! How long a generation becomes: a seeded, heavy-tailed function of the request alone, so that
//! every engine stops at the same token and a checker can say whether an answer is whole.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Parameters of the log-normal length distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthDistribution {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

impl LengthDistribution {
    /// Number of tokens that the model generates before it stops by itself, at least one.
    pub fn natural_length(&self, prompt_hash: u64, seed: u64) -> u32 {
        let mut generator = ChaCha8Rng::seed_from_u64(prompt_hash ^ seed.rotate_left(32));
        let normal = standard_normal(&mut generator);
        let length = self.median * (self.sigma * normal).exp();
        length.round().clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// Number of tokens of a whole answer that may have at most `max_tokens`.
    pub fn whole_length(&self, prompt_hash: u64, seed: u64, max_tokens: u32) -> u32 {
        self.natural_length(prompt_hash, seed).min(max_tokens)
    }
}

/// One draw from the standard normal distribution (Box-Muller).
fn standard_normal(generator: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = generator.random_range(f64::EPSILON..1.0);
    let angle: f64 = generator.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
