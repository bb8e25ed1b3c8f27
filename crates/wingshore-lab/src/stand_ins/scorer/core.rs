//! The scorer's draws, without sockets and clocks.

use super::ScorerSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How one scoring goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scoring {
    /// How long it takes.
    pub time: Duration,
    /// Whether it ends with a score.
    pub succeeds: bool,
}

/// Draws how scorings go.
#[derive(Debug)]
pub struct ScorerCore {
    settings: ScorerSettings,
    generator: ChaCha8Rng,
}

impl ScorerCore {
    /// The draws of these settings.
    pub fn new(settings: ScorerSettings) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// How the next scoring goes.
    pub fn draw(&mut self) -> Scoring {
        let slow = self.generator.random_range(0..1000) < self.settings.slow_permille;
        let failing = self.generator.random_range(0..1000) < self.settings.failing_permille;
        Scoring {
            time: if slow {
                self.settings.slow_time
            } else {
                self.settings.usual_time
            },
            succeeds: !failing,
        }
    }
}
