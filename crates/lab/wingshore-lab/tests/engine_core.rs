//! The stand-in engine's core: true versions in the tokens, batching, fencing, failing swaps.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_lab::stand_ins::engine::fence::OrderAnswer;
use wingshore_lab::stand_ins::engine::{
    DropReason, EngineCore, EngineFault, EngineInput, EngineOutput, EngineSettings,
};
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::platform::{
    EngineCompletionRequest, EngineOrder, EngineStreamEvent, OrderBody, OrderFence,
};
use wingshore_types::{Epoch, Generation, Instant, OrderSequence, Token, WeightVersion};

const SEED: u64 = 9;

struct Bench {
    core: EngineCore,
    now: Instant,
    outputs: Vec<EngineOutput>,
}

impl Bench {
    fn new(settings: EngineSettings) -> Self {
        Self {
            core: EngineCore::new(Instant::ZERO, settings, 1),
            now: Instant::ZERO,
            outputs: Vec::new(),
        }
    }

    fn input(&mut self, input: EngineInput) {
        self.core.step(self.now, input, &mut self.outputs);
    }

    fn run_for(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.input(EngineInput::Tick);
    }

    fn generation(&self, wanted: &str) -> Generation {
        let mut generation = Generation::default();
        for output in &self.outputs {
            if let EngineOutput::Event { request_id, event } = output
                && request_id == wanted
                && let EngineStreamEvent::Chunk {
                    tokens,
                    weight_version,
                } = event
            {
                generation.append(*weight_version, tokens);
            }
        }
        generation
    }

    fn finished(&self, wanted: &str) -> bool {
        self.outputs.iter().any(
            |output| matches!(output, EngineOutput::Finished { sequence } if sequence.request_id == wanted),
        )
    }

    fn swap_to(&mut self, sequence: u64, version: u64) {
        self.input(EngineInput::Order(load_order(1, sequence, version)));
        self.input(EngineInput::WeightsFetched {
            version: WeightVersion(version),
            succeeded: true,
        });
    }

    fn last_answer(&self) -> Option<OrderAnswer> {
        self.outputs.iter().rev().find_map(|output| match output {
            EngineOutput::OrderAnswered { judgement, .. } => Some(judgement.answer),
            _ => None,
        })
    }
}

fn request(request_id: &str, max_tokens: u32) -> EngineCompletionRequest {
    EngineCompletionRequest {
        request_id: request_id.to_owned(),
        model: EngineSettings::default().model,
        adapter: None,
        prompt: vec![1, 2, 3],
        resume: Vec::new(),
        max_tokens,
        priority: 0,
        stream: true,
        deadline_ms: 60_000,
        seed: SEED,
    }
}

fn load_order(epoch: u64, sequence: u64, version: u64) -> EngineOrder {
    EngineOrder {
        fence: OrderFence {
            epoch: Epoch(epoch),
            sequence: OrderSequence(sequence),
        },
        order: OrderBody::LoadWeights {
            version: WeightVersion(version),
            source: "http://store".to_owned(),
        },
    }
}

fn long_answers() -> EngineSettings {
    EngineSettings {
        length_median: 1000.0,
        length_sigma: 0.0,
        ..EngineSettings::default()
    }
}

fn expected(generation: &Generation) -> Vec<Token> {
    let prompt_hash = hash_tokens(&[1, 2, 3]);
    generation
        .segments
        .iter()
        .flat_map(|segment| {
            segment
                .tokens
                .clone()
                .map(|position| token_at(prompt_hash, SEED, position, segment.version))
        })
        .collect()
}

#[gtest]
fn a_swap_in_the_middle_changes_the_version_stamped_and_in_the_tokens() {
    let mut bench = Bench::new(long_answers());
    bench.input(EngineInput::Submit(request("a", 50)));
    bench.run_for(Duration::from_millis(100));
    bench.swap_to(1, 1);
    bench.run_for(Duration::from_secs(10));

    let generation = bench.generation("a");
    expect_that!(bench.finished("a"), eq(true));
    expect_that!(generation.tokens.len(), eq(50));
    expect_that!(generation.segments.len(), eq(2));
    expect_that!(generation.segments[1].version, eq(WeightVersion(1)));
    expect_that!(generation.tokens, eq(&expected(&generation)));
}

#[gtest]
fn a_resumed_attempt_continues_where_the_first_one_stopped() {
    let mut first = Bench::new(long_answers());
    first.input(EngineInput::Submit(request("a", 40)));
    first.run_for(Duration::from_millis(150));
    let partial = first.generation("a").tokens;
    let mut second = Bench::new(long_answers());
    let resumed = EngineCompletionRequest {
        resume: partial.clone(),
        ..request("b", 40)
    };
    second.input(EngineInput::Submit(resumed));
    second.run_for(Duration::from_secs(10));

    let mut whole = partial;
    whole.extend(second.generation("b").tokens);
    let mut reference = Bench::new(long_answers());
    reference.input(EngineInput::Submit(request("c", 40)));
    reference.run_for(Duration::from_secs(10));
    expect_that!(whole, eq(&reference.generation("c").tokens));
}

#[gtest]
fn a_swap_that_fails_partway_leaves_the_version_unknown_and_refuses_work() {
    let mut bench = Bench::new(long_answers());
    bench.input(EngineInput::Fault(EngineFault::FailNextSwap));
    bench.input(EngineInput::Submit(request("a", 500)));
    bench.run_for(Duration::from_millis(50));
    bench.swap_to(1, 1);
    bench.run_for(Duration::from_secs(1));
    expect_that!(bench.core.state().weight_version, none());
    expect_that!(
        bench.outputs,
        contains(eq(&EngineOutput::Dropped {
            request_id: "a".to_owned(),
            reason: DropReason::WeightsLost
        }))
    );

    bench.input(EngineInput::Submit(request("b", 5)));
    expect_that!(
        bench.outputs,
        contains(matches_pattern!(EngineOutput::RefusedNotRun {
            request_id: eq("b"),
            ..
        }))
    );

    bench.swap_to(2, 2);
    bench.run_for(Duration::from_secs(1));
    expect_that!(
        bench.core.state().weight_version,
        some(eq(WeightVersion(2)))
    );
}

#[gtest]
fn only_orders_above_the_highest_are_taken_and_a_repeat_gets_its_first_answer() {
    // (epoch, sequence, accepted), in the order in which they arrive
    let arrivals = [
        (2, 5, true),
        (2, 4, false),
        (1, 9, false),
        (2, 5, true),
        (3, 1, true),
        (2, 6, false),
        (2, 5, true),
        (1, 9, false),
    ];
    let mut bench = Bench::new(EngineSettings::default());
    for (epoch, sequence, accepted) in arrivals {
        bench.input(EngineInput::Order(load_order(epoch, sequence, epoch)));
        let answer = bench.last_answer();
        expect_that!(
            answer == Some(OrderAnswer::Accepted),
            eq(accepted),
            "{epoch}/{sequence}"
        );
    }
    let fetches = bench
        .outputs
        .iter()
        .filter(|output| matches!(output, EngineOutput::FetchWeights { .. }))
        .count();
    expect_that!(fetches, eq(2));
}

#[gtest]
fn higher_priority_goes_first_and_a_full_queue_refuses() {
    let settings = EngineSettings {
        max_batch: 1,
        max_queue: 2,
        ..long_answers()
    };
    let mut bench = Bench::new(settings);
    bench.input(EngineInput::Submit(request("running", 10)));
    bench.input(EngineInput::Submit(request("low", 10)));
    let urgent = EngineCompletionRequest {
        priority: 1,
        ..request("high", 10)
    };
    bench.input(EngineInput::Submit(urgent));
    bench.input(EngineInput::Submit(request("refused", 10)));
    bench.run_for(Duration::from_secs(10));

    let order: Vec<&str> = bench
        .outputs
        .iter()
        .filter_map(|output| match output {
            EngineOutput::Finished { sequence } => Some(sequence.request_id.as_str()),
            _ => None,
        })
        .collect();
    expect_that!(
        order,
        elements_are![eq(&"running"), eq(&"high"), eq(&"low")]
    );
    expect_that!(bench.finished("refused"), eq(false));
}

#[gtest]
fn cached_prefixes_stay_within_memory_and_their_events_come_late() {
    let settings = EngineSettings {
        kv_capacity_tokens: 64,
        cache_event_loss_permille: 0,
        length_median: 2.0,
        ..EngineSettings::default()
    };
    let delay = settings.cache_event_delay;
    let mut bench = Bench::new(settings);
    for first in 0..8 {
        let prompt: Vec<Token> = (0..32).map(|token| first * 100 + token).collect();
        let request = EngineCompletionRequest {
            prompt,
            ..request(&format!("r{first}"), 4)
        };
        bench.input(EngineInput::Submit(request));
        bench.run_for(Duration::from_millis(100));
    }
    expect_that!(bench.core.state().kv_free, le(64));
    let early = bench.core.cache_events(bench.now, 0).events.len();
    let late = bench.core.cache_events(bench.now + delay, 0).events.len();
    expect_that!(early, lt(late));
}

#[gtest]
fn a_frozen_engine_generates_nothing_and_then_goes_on() {
    let mut bench = Bench::new(long_answers());
    bench.input(EngineInput::Submit(request("a", 20)));
    bench.input(EngineInput::Fault(EngineFault::Freeze(
        Duration::from_secs(5),
    )));
    bench.run_for(Duration::from_secs(4));
    expect_that!(bench.generation("a").tokens, is_empty());
    bench.run_for(Duration::from_secs(4));
    expect_that!(bench.finished("a"), eq(true));
}
