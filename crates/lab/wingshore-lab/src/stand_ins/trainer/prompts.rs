//! The prompts of a trainer: a function of its seed and a sample's number, so that a trainer that
//! starts again submits the very same ones; and what is recorded of the samples that come back.

use super::settings::TrainingSettings;
use crate::events::DeliveredSample;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingshore_types::api::SampleBody;
use wingshore_types::generator::hash_tokens;
use wingshore_types::{Prompt, SampleNumber, StepId, Token};

/// Largest token of a prompt.
const MAX_TOKEN: Token = 50_000;

/// Numbers of a step's samples.
pub fn numbers_of(settings: &TrainingSettings, step: StepId) -> std::ops::Range<u64> {
    let batch = u64::from(settings.batch);
    step.0 * batch..(step.0 + 1) * batch
}

pub fn prompt_of(settings: &TrainingSettings, number: SampleNumber) -> Prompt {
    let group = number.0 / settings.group.max(1);
    let shared = settings.shared_tokens.min(settings.prompt_tokens);
    let mut tokens = tokens(settings.seed, shared);
    let own = settings.prompt_tokens - shared;
    tokens.extend(self::tokens(
        settings.seed ^ (group + 1).rotate_left(20),
        own,
    ));
    Prompt {
        number,
        tokens,
        max_tokens: settings.max_tokens,
        seed: settings.seed ^ number.0.rotate_left(32),
    }
}

fn tokens(seed: u64, count: usize) -> Vec<Token> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    (0..count)
        .map(|_| generator.random_range(0..MAX_TOKEN))
        .collect()
}

/// What the trainer records of a sample that it received, beside what it had submitted.
pub fn delivered(training: &TrainingSettings, sample: &SampleBody) -> DeliveredSample {
    let submitted = prompt_of(training, sample.number);
    DeliveredSample {
        number: sample.number,
        prompt_hash: hash_tokens(&sample.prompt),
        submitted_prompt_hash: hash_tokens(&submitted.tokens),
        seed: submitted.seed,
        max_tokens: submitted.max_tokens,
        token_count: sample.tokens.len() as u32,
        tokens_hash: hash_tokens(&sample.tokens),
        segments: sample.segments.clone(),
        score: sample.score,
    }
}
