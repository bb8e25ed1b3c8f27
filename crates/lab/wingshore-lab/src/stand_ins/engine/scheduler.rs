//! Continuous batching: which sequences wait, which run, and what one step does.

use super::cache::PrefixCache;
use super::length::LengthDistribution;
use super::messages::{DropReason, EngineOutput, FinishedSequence};
use super::sequence::Sequence;
use super::settings::EngineSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::platform::{CacheEvent, EngineCompletionRequest, EngineStreamEvent};
use wingshore_types::{Instant, WeightVersion};

/// Place in the queue: priority first, then arrival.
type QueuePlace = (Reverse<i32>, u64);

/// The sequences of an engine and the cache they share.
pub struct Scheduler {
    settings: EngineSettings,
    lengths: LengthDistribution,
    generator: ChaCha8Rng,
    cache: PrefixCache,
    waiting: BTreeMap<QueuePlace, Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
}

impl Scheduler {
    /// Nothing waits, nothing runs, nothing is cached.
    pub fn new(settings: EngineSettings, seed: u64) -> Self {
        let lengths = LengthDistribution {
            median: settings.length_median,
            sigma: settings.length_sigma,
        };
        let cache = PrefixCache::new(
            settings.cache_block_tokens,
            settings.cache_event_delay,
            settings.cache_event_loss_permille,
        );
        Self {
            settings,
            lengths,
            generator: ChaCha8Rng::seed_from_u64(seed),
            cache,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
        }
    }

    /// Number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting sequences.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Memory that is neither reserved nor holds cached prefixes, in tokens.
    pub fn free_tokens(&self) -> u64 {
        let used = self.reserved() + self.cache.tokens_held();
        self.settings.kv_capacity_tokens.saturating_sub(used)
    }

    /// Cache events after `after` that are published by now.
    pub fn cache_events(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        self.cache.events_after(now, after)
    }

    /// Queues a request.
    pub fn submit(&mut self, now: Instant, request: EngineCompletionRequest) {
        let deadline = now + Duration::from_millis(request.deadline_ms);
        let place = (Reverse(request.priority), self.arrivals);
        self.arrivals += 1;
        let sequence = Sequence::new(request, deadline, self.lengths);
        self.waiting.insert(place, sequence);
    }

    /// Forgets an attempt.
    pub fn cancel(&mut self, request_id: &str, out: &mut Vec<EngineOutput>) {
        let before = self.running.len() + self.waiting.len();
        self.running
            .retain(|sequence| sequence.request.request_id != request_id);
        self.waiting
            .retain(|_, sequence| sequence.request.request_id != request_id);
        if self.running.len() + self.waiting.len() < before {
            out.push(EngineOutput::Dropped {
                request_id: request_id.to_owned(),
                reason: DropReason::Cancelled,
            });
        }
    }

    /// Fills the batch and answers how long its next step takes; `None` when it is empty.
    pub fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        let uncached = self.fill_batch(now);
        let room = self
            .settings
            .kv_capacity_tokens
            .saturating_sub(self.reserved());
        self.cache.shrink_to(now, room, &mut self.generator);
        (!self.running.is_empty()).then(|| self.step_time(uncached))
    }

    /// Ends a step: each running sequence has one more token, made by `version`.
    pub fn end_step(&mut self, now: Instant, version: WeightVersion, out: &mut Vec<EngineOutput>) {
        for sequence in std::mem::take(&mut self.running) {
            self.advance_sequence(now, sequence, version, out);
        }
        self.drop_expired(now, out);
    }

    /// Sends what `version` has generated so far, so that no event mixes two versions.
    pub fn flush(&mut self, version: WeightVersion, out: &mut Vec<EngineOutput>) {
        for sequence in &mut self.running {
            push_chunk(sequence, version, out);
        }
    }

    /// Drops everything that waits or runs.
    pub fn drop_all(&mut self, reason: DropReason, out: &mut Vec<EngineOutput>) {
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        let all = running.iter().chain(waiting.values());
        out.extend(all.map(|sequence| dropped(sequence, reason)));
    }

    fn reserved(&self) -> u64 {
        self.running.iter().map(Sequence::reserved_tokens).sum()
    }

    fn advance_sequence(
        &mut self,
        now: Instant,
        mut sequence: Sequence,
        version: WeightVersion,
        out: &mut Vec<EngineOutput>,
    ) {
        if !sequence.is_whole() {
            sequence.generate(version);
        }
        if sequence.is_whole() {
            push_chunk(&mut sequence, version, out);
            finish(sequence, out);
        } else if sequence.deadline <= now {
            out.push(dropped(&sequence, DropReason::Deadline));
        } else {
            if sequence.event_is_due(self.settings.tokens_per_event) {
                push_chunk(&mut sequence, version, out);
            }
            self.running.push(sequence);
        }
    }

    fn drop_expired(&mut self, now: Instant, out: &mut Vec<EngineOutput>) {
        let expired: Vec<QueuePlace> = self
            .waiting
            .iter()
            .filter(|(_, sequence)| sequence.deadline <= now)
            .map(|(place, _)| *place)
            .collect();
        for place in expired {
            let sequence = self.waiting.remove(&place);
            out.extend(sequence.map(|sequence| dropped(&sequence, DropReason::Deadline)));
        }
    }

    /// Moves waiting sequences into the batch; answers how many tokens are to be prefilled.
    fn fill_batch(&mut self, now: Instant) -> u64 {
        let mut uncached = 0;
        while self.running.len() < self.settings.max_batch && self.next_fits() {
            let Some((_, sequence)) = self.waiting.pop_first() else {
                break;
            };
            uncached += self.prefill(now, sequence);
        }
        uncached
    }

    /// Whether the next waiting sequence fits into memory; one alone always does.
    fn next_fits(&self) -> bool {
        let Some((_, next)) = self.waiting.first_key_value() else {
            return false;
        };
        let needed = self.reserved() + next.reserved_tokens();
        self.running.is_empty() || needed <= self.settings.kv_capacity_tokens
    }

    fn prefill(&mut self, now: Instant, mut sequence: Sequence) -> u64 {
        let tokens = sequence.prefill_tokens();
        let cached = self.cache.longest_prefix(&tokens);
        sequence.cached_tokens = cached.min(sequence.request.prompt.len() as u32);
        self.cache
            .store(now, &sequence.request.prompt, &mut self.generator);
        self.running.push(sequence);
        (tokens.len() as u64).saturating_sub(u64::from(cached))
    }

    fn step_time(&self, uncached: u64) -> Duration {
        let settings = &self.settings;
        let context: u64 = self.running.iter().map(Sequence::context_tokens).sum();
        let thousand_context = context as f64 / 1000.0;
        let thousand_uncached = uncached as f64 / 1000.0;
        settings.step_base
            + settings.step_per_sequence * self.running.len() as u32
            + settings.step_per_thousand_context.mul_f64(thousand_context)
            + settings.prefill_per_thousand.mul_f64(thousand_uncached)
    }
}

fn push_chunk(sequence: &mut Sequence, weight_version: WeightVersion, out: &mut Vec<EngineOutput>) {
    let tokens = sequence.take_unsent();
    if tokens.is_empty() {
        return;
    }
    out.push(EngineOutput::Event {
        request_id: sequence.request.request_id.clone(),
        event: EngineStreamEvent::Chunk {
            tokens,
            weight_version,
        },
    });
}

fn finish(sequence: Sequence, out: &mut Vec<EngineOutput>) {
    out.push(EngineOutput::Event {
        request_id: sequence.request.request_id.clone(),
        event: EngineStreamEvent::Finished {
            finish_reason: sequence.finish_reason(),
            usage: sequence.usage(),
        },
    });
    out.push(EngineOutput::Finished {
        sequence: FinishedSequence {
            request_id: sequence.request.request_id,
            prompt_hash: sequence.prompt_hash,
            seed: sequence.request.seed,
            tokens: sequence.generated,
        },
    });
}

fn dropped(sequence: &Sequence, reason: DropReason) -> EngineOutput {
    EngineOutput::Dropped {
        request_id: sequence.request.request_id.clone(),
        reason,
    }
}
