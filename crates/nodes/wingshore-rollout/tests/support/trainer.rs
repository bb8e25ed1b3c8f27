//! Simulated trainer that compares the samples it receives with the expected tokens.

use super::STALENESS_BOUND;
use super::engines::Engines;
use super::ledger_support::{Ledger, acknowledge, pool, pull};
use std::collections::BTreeSet;
use std::time::Duration;
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::ledger::{Batch, LedgerReply, LedgerRequest};
use wingshore_types::{Instant, Prompt, Sample, SampleNumber, WeightVersion};

pub const BATCH: u32 = 24;
const MAX_TOKENS: u32 = 500;
const TRAINING_TIME: Duration = Duration::from_millis(400);

/// Numbers of samples that violated a guarantee, determined from their tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    pub delivered_twice: u32,
    pub too_old: u32,
    pub wrong_version: u32,
    pub incomplete: u32,
}

#[derive(Default)]
pub struct Trainer {
    pub violations: Violations,
    step: u64,
    version: u64,
    submitted_steps: u64,
    request: Option<RequestTag>,
    busy_until: Instant,
    received: BTreeSet<u64>,
}

impl Trainer {
    pub fn steps_done(&self) -> u64 {
        self.step
    }

    /// Forgets the request in flight, which was lost with the previous leader.
    pub fn forget_requests(&mut self) {
        self.request = None;
    }

    pub fn run(&mut self, now: Instant, ledger: &mut Ledger, engines: &mut Engines) {
        self.version = self.version.max(1);
        if now < self.busy_until {
            return;
        }
        self.submit(ledger);
        let Some(tag) = self.request else {
            self.request = Some(ledger.request(pull(self.step, self.version, BATCH, 30_000)));
            ledger.commit_all();
            return;
        };
        match ledger.replies.remove(&tag) {
            Some(LedgerReply::Batch(batch)) => self.train(now, &batch, ledger, engines),
            Some(_) => self.request = None,
            None => {}
        }
    }

    /// Submits prompts so that the ledger has those of the current and the next step.
    fn submit(&mut self, ledger: &mut Ledger) {
        while self.submitted_steps < self.step + 2 {
            let first = self.submitted_steps * u64::from(BATCH);
            let numbers = first..first + u64::from(BATCH);
            ledger.call(LedgerRequest::Submit {
                pool: pool(),
                prompts: numbers.map(prompt).collect(),
            });
            self.submitted_steps += 1;
        }
    }

    fn train(&mut self, now: Instant, batch: &Batch, ledger: &mut Ledger, engines: &mut Engines) {
        for sample in &batch.samples {
            self.check(sample);
        }
        ledger.call(acknowledge(self.step));
        self.request = None;
        self.step += 1;
        self.version += 1;
        self.busy_until = now + TRAINING_TIME;
        engines.publish(self.busy_until, WeightVersion(self.version));
    }

    fn check(&mut self, sample: &Sample) {
        let is_new = self.received.insert(sample.number.0);
        self.violations.delivered_twice += u32::from(!is_new);
        let seed = sample.number.0;
        let expected = 20 + (seed * 37) % 60 + if seed % 8 == 3 { 300 } else { 0 };
        let is_whole = sample.generation.tokens.len() as u64 == expected;
        self.violations.incomplete += u32::from(!is_whole);
        self.violations.wrong_version += u32::from(!versions_are_correct(sample));
        let oldest = sample.generation.oldest_version().unwrap_or_default();
        let is_old = oldest.0 + STALENESS_BOUND < self.version;
        self.violations.too_old += u32::from(is_old);
    }
}

/// Returns whether each token is the one that the reported version generates at its position.
fn versions_are_correct(sample: &Sample) -> bool {
    let prompt = hash_tokens(&sample.prompt);
    let segments = sample.generation.segments.iter();
    let mut positions = segments.flat_map(|s| s.tokens.clone().map(|at| (at, s.version)));
    let seed = sample.number.0;
    positions.all(|(at, version)| {
        let token = sample.generation.tokens.get(at as usize);
        token == Some(&token_at(prompt, seed, at, version))
    })
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        number: SampleNumber(number),
        tokens: vec![11, number as u32],
        max_tokens: MAX_TOKENS,
        seed: number,
    }
}
