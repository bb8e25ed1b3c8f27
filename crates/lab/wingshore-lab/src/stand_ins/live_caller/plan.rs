//! What live callers send and when, drawn from a seed.

use super::settings::LoadSettings;
use crate::events::CallKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::Token;

/// Largest token of a prompt.
const MAX_TOKEN: Token = 50_000;

/// One request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    pub number: u64,
    /// When it is due, counted from the start.
    pub due: Duration,
    /// What is asked.
    pub kind: CallKind,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether it is sent again after it was answered.
    pub resent: bool,
    /// Prompt of a completion.
    pub prompt: Vec<Token>,
    /// Seed of a completion.
    pub seed: u64,
}

/// An endless sequence of requests.
pub struct CallPlan {
    settings: LoadSettings,
    generator: ChaCha8Rng,
    number: u64,
    due: Duration,
}

impl CallPlan {
    /// The sequence of these settings.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            number: 0,
            due: Duration::ZERO,
        }
    }

    fn kind(&mut self) -> CallKind {
        let draw = self.generator.random_range(0..1000);
        let charges = self.settings.charge_permille;
        if draw < charges {
            CallKind::Charge
        } else if draw < charges + self.settings.completion_permille {
            CallKind::Completion
        } else {
            CallKind::Lookup
        }
    }

    fn draw(&mut self, permille: u32) -> bool {
        self.generator.random_range(0..1000) < permille
    }
}

impl Iterator for CallPlan {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / self.settings.requests_per_second.max(f64::EPSILON);
        self.due += Duration::from_secs_f64(gap.min(3600.0));
        self.number += 1;
        let kind = self.kind();
        let keyed = kind == CallKind::Charge && self.draw(self.settings.keyed_permille);
        let resent = keyed && self.draw(self.settings.resend_permille);
        let prompt_tokens = self.settings.prompt_tokens;
        let prompt = match kind {
            CallKind::Completion => (0..prompt_tokens)
                .map(|_| self.generator.random_range(0..MAX_TOKEN))
                .collect(),
            CallKind::Charge | CallKind::Lookup => Vec::new(),
        };
        Some(PlannedCall {
            number: self.number,
            due: self.due,
            kind,
            keyed,
            resent,
            prompt,
            seed: self.generator.random(),
        })
    }
}
