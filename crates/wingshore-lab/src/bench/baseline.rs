//! The simple policy that others are measured against: samples go round robin over the engines,
//! a step's batch is exactly its own samples, and it waits for all of them.

use std::collections::{BTreeMap, VecDeque};
use wingshore_rollout::StreamEnd;
use wingshore_types::platform::EngineCompletionRequest;
use wingshore_types::{Generation, Prompt, Sample, Token, WeightVersion};

/// A sample.
#[derive(Debug)]
struct Entry {
    prompt: Prompt,
    attempt: u64,
    engine: Option<usize>,
    generation: Generation,
    score: Option<f64>,
}

/// An attempt to start.
#[derive(Debug)]
pub struct Start {
    /// The sample.
    pub number: u64,
    /// Counts its attempts.
    pub attempt: u64,
    /// Which engine.
    pub engine: usize,
    /// The request.
    pub request: EngineCompletionRequest,
}

/// The policy's state.
#[derive(Debug)]
pub struct Baseline {
    model: String,
    engines: usize,
    slots: usize,
    bound: u64,
    samples: BTreeMap<u64, Entry>,
    waiting: VecDeque<u64>,
    in_flight: Vec<usize>,
    is_useful: Vec<bool>,
    next_engine: usize,
}

impl Baseline {
    /// Nothing to do yet; at most `slots` attempts go to one engine.
    pub fn new(model: &str, engines: usize, slots: usize, bound: u64) -> Self {
        Self {
            model: model.to_owned(),
            engines,
            slots,
            bound,
            samples: BTreeMap::new(),
            waiting: VecDeque::new(),
            in_flight: vec![0; engines],
            is_useful: vec![true; engines],
            next_engine: 0,
        }
    }

    /// Takes prompts in.
    pub fn submit(&mut self, prompts: Vec<Prompt>) {
        for prompt in prompts {
            let number = prompt.number.0;
            self.waiting.push_back(number);
            self.samples.insert(
                number,
                Entry {
                    prompt,
                    attempt: 0,
                    engine: None,
                    generation: Generation::default(),
                    score: None,
                },
            );
        }
    }

    /// Whether an engine's weights are of use; those it starts with after a crash are not.
    pub fn set_useful(&mut self, engine: usize, is_useful: bool) {
        self.is_useful[engine] = is_useful;
    }

    /// Starts what fits, each on the next engine in turn that has a slot.
    pub fn starts(&mut self) -> Vec<Start> {
        let mut starts = Vec::new();
        while let Some(number) = self.waiting.pop_front() {
            let Some(engine) = self.next_free() else {
                self.waiting.push_front(number);
                return starts;
            };
            starts.extend(self.start(number, engine));
        }
        starts
    }

    /// Tokens of an attempt.
    pub fn on_chunk(&mut self, number: u64, attempt: u64, tokens: &[Token], by: WeightVersion) {
        if let Some(entry) = self.running(number, attempt) {
            entry.generation.append(by, tokens);
        }
    }

    /// An attempt is whole; answers whether it is to be scored.
    pub fn on_finished(&mut self, number: u64, attempt: u64) -> bool {
        let Some(entry) = self.running(number, attempt) else {
            return false;
        };
        if let Some(engine) = entry.engine.take() {
            self.in_flight[engine] -= 1;
        }
        true
    }

    /// An attempt ended without its final event: it begins anew.
    pub fn on_ended(&mut self, number: u64, attempt: u64, _end: StreamEnd) {
        let Some(entry) = self.running(number, attempt) else {
            return;
        };
        entry.generation = Generation::default();
        if let Some(engine) = entry.engine.take() {
            self.in_flight[engine] -= 1;
        }
        self.waiting.push_front(number);
    }

    /// A score has come.
    pub fn on_score(&mut self, number: u64, score: f64) {
        if let Some(entry) = self.samples.get_mut(&number) {
            entry.score = Some(score);
        }
    }

    /// The whole batch, once every sample of it is there; those that are too old begin anew.
    pub fn pull(
        &mut self,
        numbers: std::ops::Range<u64>,
        by: WeightVersion,
    ) -> Option<Vec<Sample>> {
        let oldest = WeightVersion(by.0.saturating_sub(self.bound));
        self.regenerate_older_than(numbers.clone(), oldest);
        let is_ready = |number| {
            let entry = self.samples.get(&number);
            entry.is_some_and(|entry| entry.score.is_some())
        };
        if !numbers.clone().all(is_ready) {
            return None;
        }
        Some(numbers.filter_map(|number| self.take(number)).collect())
    }

    fn regenerate_older_than(&mut self, numbers: std::ops::Range<u64>, oldest: WeightVersion) {
        for number in numbers {
            let Some(entry) = self.samples.get_mut(&number) else {
                continue;
            };
            let version = entry.generation.oldest_version();
            let is_old = version.is_some_and(|version| version < oldest);
            if entry.score.is_some() && is_old {
                entry.score = None;
                entry.generation = Generation::default();
                self.waiting.push_front(number);
            }
        }
    }

    fn take(&mut self, number: u64) -> Option<Sample> {
        let entry = self.samples.remove(&number)?;
        Some(Sample {
            number: entry.prompt.number,
            prompt: entry.prompt.tokens,
            generation: entry.generation,
            score: entry.score?,
        })
    }

    fn running(&mut self, number: u64, attempt: u64) -> Option<&mut Entry> {
        let entry = self.samples.get_mut(&number)?;
        (entry.attempt == attempt && entry.engine.is_some()).then_some(entry)
    }

    fn next_free(&mut self) -> Option<usize> {
        for _ in 0..self.engines {
            let engine = self.next_engine;
            self.next_engine = (engine + 1) % self.engines;
            if self.is_useful[engine] && self.in_flight[engine] < self.slots {
                return Some(engine);
            }
        }
        None
    }

    fn start(&mut self, number: u64, engine: usize) -> Option<Start> {
        let entry = self.samples.get_mut(&number)?;
        entry.attempt += 1;
        entry.engine = Some(engine);
        self.in_flight[engine] += 1;
        let request = EngineCompletionRequest {
            request_id: format!("baseline-{number}-{}", entry.attempt),
            model: self.model.clone(),
            adapter: None,
            prompt: entry.prompt.tokens.clone(),
            resume: Vec::new(),
            max_tokens: entry.prompt.max_tokens,
            priority: 0,
            stream: true,
            deadline_ms: u64::MAX / 1_000_000_000,
            seed: entry.prompt.seed,
        };
        Some(Start {
            number,
            attempt: entry.attempt,
            engine,
            request,
        })
    }
}
