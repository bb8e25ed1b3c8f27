//! The lower bound of any policy: token work divided by engine capacity, and the longest sample.
//!
//! A token of a sequence with a context of `c` tokens costs an engine at least its own part of a
//! step: the step's base divided by the largest batch, the time for one sequence, and the time for
//! `c` tokens of context. Prefill, swaps, crashes and live requests come on top, so no policy can
//! be faster than the sum of these costs spread evenly over all engines.

use super::scenario::Scenario;
use crate::stand_ins::engine::EngineSettings;

/// Delivered tokens, as far as their cost depends on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    tokens: f64,
    context: f64,
    longest: Longest,
}

/// The longest sample.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    tokens: f64,
    context: f64,
}

impl Work {
    /// Adds a sample.
    pub fn add(&mut self, prompt: usize, tokens: usize) {
        let count = tokens as f64;
        let context = count * prompt as f64 + count * (count - 1.0) / 2.0;
        self.tokens += count;
        self.context += context;
        if count > self.longest.tokens {
            self.longest = Longest {
                tokens: count,
                context,
            };
        }
    }
}

/// What engines can do at most.
#[derive(Clone, Copy, Debug)]
pub struct LowerBound {
    engines: f64,
    largest_batch: f64,
    step_base: f64,
    per_sequence: f64,
    per_context: f64,
}

impl LowerBound {
    /// The bound for a scenario's engines.
    pub fn new(scenario: &Scenario) -> Self {
        Self::of(&scenario.engine, scenario.engines.len())
    }

    /// The bound for so many equal engines.
    pub fn of(engine: &EngineSettings, engines: usize) -> Self {
        Self {
            engines: engines as f64,
            largest_batch: engine.max_batch as f64,
            step_base: engine.step_base.as_secs_f64(),
            per_sequence: engine.step_per_sequence.as_secs_f64(),
            per_context: engine.step_per_thousand_context.as_secs_f64() / 1000.0,
        }
    }

    /// Seconds that all engines together need for the work.
    pub fn seconds(&self, work: &Work) -> f64 {
        let token = self.step_base / self.largest_batch + self.per_sequence;
        (work.tokens * token + work.context * self.per_context) / self.engines
    }

    /// Seconds that the longest sample needs, alone on an engine.
    pub fn longest_sample_seconds(&self, work: &Work) -> f64 {
        let token = self.step_base + self.per_sequence;
        work.longest.tokens * token + work.longest.context * self.per_context
    }
}
