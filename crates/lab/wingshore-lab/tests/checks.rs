//! Each checker passes a good log and fails a doctored one.

use googletest::prelude::*;
use std::collections::BTreeSet;
use wingshore_lab::checks::summary::summarize;
use wingshore_lab::checks::{Limits, Promise, RunLog, check_all};
use wingshore_lab::events::{CallKind, DeliveredSample, Event, ReceivedCompletion, Record};
use wingshore_lab::stand_ins::engine::length::LengthDistribution;
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::{SampleNumber, Segment, StepId, Token, Verdict, WeightVersion};

const SECOND: u64 = 1_000_000;
const PROMPT_HASH: u64 = 77;
const SEED: u64 = 5;
const LENGTH: u32 = 10;

fn limits() -> Limits {
    Limits::stated(LengthDistribution {
        median: f64::from(LENGTH),
        sigma: 0.0,
    })
}

fn record(seconds: u64, source: &str, event: Event) -> Record {
    Record {
        at_us: seconds * SECOND,
        source: source.to_owned(),
        event,
    }
}

/// Segments of versions 3 and 4, and the tokens they made.
fn segments() -> Vec<Segment> {
    let segment = |version, tokens| Segment {
        version: WeightVersion(version),
        tokens,
    };
    vec![segment(3, 0..6), segment(4, 6..LENGTH)]
}

fn tokens_hash() -> u64 {
    let made = |segment: Segment| {
        let positions = segment.tokens.clone();
        positions.map(move |position| token_at(PROMPT_HASH, SEED, position, segment.version))
    };
    let tokens: Vec<Token> = segments().into_iter().flat_map(made).collect();
    hash_tokens(&tokens)
}

fn sample(number: u64) -> DeliveredSample {
    DeliveredSample {
        number: SampleNumber(number),
        prompt_hash: PROMPT_HASH,
        submitted_prompt_hash: PROMPT_HASH,
        seed: SEED,
        max_tokens: 100,
        token_count: LENGTH,
        tokens_hash: tokens_hash(),
        segments: segments(),
        score: 0.5,
    }
}

fn batch(step: u64, samples: Vec<DeliveredSample>) -> Event {
    Event::BatchDelivered {
        pool: "pool".to_owned(),
        step: StepId(step),
        trainer_version: WeightVersion(4),
        staleness_bound: 1,
        asked: 2,
        body_hash: step,
        repeated: false,
        waited_us: SECOND / 2,
        samples,
    }
}

fn executed(request: &str, key: Option<&str>, answer_hash: u64) -> Event {
    Event::Executed {
        request: request.to_owned(),
        key: key.map(str::to_owned),
        charge: true,
        status: 200,
        answer_hash,
    }
}

fn answered(request: &str, status: u16, verdict: Option<Verdict>, whole: bool) -> Event {
    Event::Answered {
        request: request.to_owned(),
        key: None,
        kind: CallKind::Charge,
        no_repeat: true,
        status,
        verdict,
        answer_hash: 1,
        whole,
        latency_us: SECOND / 10,
        first_token_us: None,
    }
}

fn completed(completion: ReceivedCompletion) -> Event {
    Event::Completed {
        request: "completion".to_owned(),
        completion,
    }
}

fn completion() -> ReceivedCompletion {
    ReceivedCompletion {
        prompt_hash: PROMPT_HASH,
        seed: SEED,
        max_tokens: 100,
        token_count: LENGTH,
        tokens_hash: tokens_hash(),
        segments: segments(),
    }
}

fn action(process: &str, action: &str) -> Event {
    Event::ProcessAction {
        process: process.to_owned(),
        action: action.to_owned(),
    }
}

fn seen(revision: u64) -> Event {
    Event::RevisionSeen {
        observed: "node".to_owned(),
        revision,
    }
}

fn order(epoch: u64, sequence: u64) -> Event {
    Event::OrderAnswered {
        epoch,
        sequence,
        accepted: true,
        repeated: false,
    }
}

/// A short run in which everything is as it must be.
fn good() -> Vec<Record> {
    let server = |state: fn(String) -> Event| state("api".to_owned());
    vec![
        record(
            0,
            "fleet",
            Event::CallerNode {
                caller: "gate".to_owned(),
                node: "node".to_owned(),
            },
        ),
        record(0, "fleet", Event::RevisionCommitted { revision: 1 }),
        record(1, "fleet", seen(1)),
        record(2, "engine", order(1, 1)),
        record(3, "engine", order(2, 1)),
        record(
            3,
            "engine",
            Event::AttemptFinished {
                request: "attempt".to_owned(),
                prompt_hash: PROMPT_HASH,
                seed: SEED,
                tokens_hash: tokens_hash(),
                token_count: LENGTH,
            },
        ),
        record(
            4,
            "trainer",
            Event::Submitted {
                samples: (0..4).map(SampleNumber).collect(),
                added: 4,
                known: 0,
            },
        ),
        record(6, "trainer", batch(0, vec![sample(0), sample(2)])),
        record(
            7,
            "trainer",
            Event::Trained {
                step: StepId(0),
                busy_us: SECOND,
            },
        ),
        record(8, "trainer", batch(1, vec![sample(1), sample(3)])),
        record(9, "api", executed("charge", None, 1)),
        record(10, "gate", answered("charge", 200, None, true)),
        record(
            10,
            "gate",
            answered("refused", 503, Some(Verdict::NotRun), true),
        ),
        record(11, "gate", completed(completion())),
        record(12, "fleet", server(|server| Event::Leaving { server })),
        record(13, "api", executed("late but within the bound", None, 2)),
        record(30, "fleet", server(|server| Event::Staying { server })),
        record(31, "api", executed("welcome again", Some("key"), 3)),
        record(40, "fleet", action("node", "kill")),
        record(
            40,
            "gate",
            answered("cut by a kill", 0, Some(Verdict::MayHaveRun), false),
        ),
        record(41, "fleet", action("node", "start")),
        record(42, "fleet", seen(0)),
    ]
}

fn broken_by(doctored: Vec<Record>) -> Vec<Promise> {
    let mut records = good();
    records.extend(doctored);
    let violations = check_all(&RunLog::new(records), &limits());
    let promises: BTreeSet<Promise> = violations.iter().map(|v| v.promise).collect();
    promises.into_iter().collect()
}

#[gtest]
fn a_good_log_breaks_nothing() {
    expect_that!(broken_by(Vec::new()), is_empty());
}

#[gtest]
fn each_doctored_log_breaks_its_promise() {
    let wrong_version = DeliveredSample {
        segments: vec![Segment {
            version: WeightVersion(4),
            tokens: 0..LENGTH,
        }],
        ..sample(4)
    };
    let old = |version| ReceivedCompletion {
        segments: vec![Segment {
            version: WeightVersion(version),
            tokens: 0..LENGTH,
        }],
        ..completion()
    };
    let stale_batch = |event: Event| match event {
        Event::BatchDelivered {
            pool,
            step,
            asked,
            body_hash,
            waited_us,
            samples,
            ..
        } => Event::BatchDelivered {
            pool,
            step,
            trainer_version: WeightVersion(5),
            staleness_bound: 1,
            asked,
            body_hash,
            repeated: false,
            waited_us,
            samples,
        },
        other => other,
    };
    let submitted = |numbers: &[u64]| {
        let samples: Vec<SampleNumber> = numbers.iter().copied().map(SampleNumber).collect();
        record(
            5,
            "trainer",
            Event::Submitted {
                added: samples.len() as u32,
                known: 0,
                samples,
            },
        )
    };
    let cases: Vec<(&str, Promise, Vec<Record>)> = vec![
        (
            "a sample names a version that did not make it",
            Promise::VersionsTrue,
            vec![
                submitted(&[4, 5]),
                record(20, "trainer", batch(2, vec![wrong_version, sample(5)])),
            ],
        ),
        (
            "a completion names a version that did not make it",
            Promise::VersionsTrue,
            vec![record(20, "gate", completed(old(9)))],
        ),
        (
            "a sample is older than the bound",
            Promise::StalenessBound,
            vec![
                submitted(&[4, 5]),
                record(
                    20,
                    "trainer",
                    stale_batch(batch(2, vec![sample(4), sample(5)])),
                ),
            ],
        ),
        (
            "a sample comes in two steps",
            Promise::ExactlyOnce,
            vec![
                submitted(&[4]),
                record(20, "trainer", batch(2, vec![sample(4), sample(0)])),
            ],
        ),
        (
            "a sample is lost",
            Promise::ExactlyOnce,
            vec![submitted(&[4])],
        ),
        (
            "a sample was never submitted",
            Promise::ExactlyOnce,
            vec![record(20, "trainer", batch(2, vec![sample(8), sample(9)]))],
        ),
        (
            "a step is short",
            Promise::ExactlyOnce,
            vec![
                submitted(&[4]),
                record(20, "trainer", batch(2, vec![sample(4)])),
            ],
        ),
        (
            "a repeated pull gets other bytes",
            Promise::ExactlyOnce,
            vec![record(
                20,
                "trainer",
                match batch(1, vec![sample(1), sample(3)]) {
                    Event::BatchDelivered {
                        pool,
                        step,
                        samples,
                        ..
                    } => Event::BatchDelivered {
                        pool,
                        step,
                        trainer_version: WeightVersion(4),
                        staleness_bound: 1,
                        asked: 2,
                        body_hash: 999,
                        repeated: true,
                        waited_us: 0,
                        samples,
                    },
                    other => other,
                },
            )],
        ),
        (
            "an answer that no back end sent",
            Promise::WholeAnswers,
            vec![record(
                20,
                "gate",
                answered("welcome again", 200, None, true),
            )],
        ),
        (
            "a completion is cut short",
            Promise::WholeAnswers,
            vec![record(
                20,
                "gate",
                completed(ReceivedCompletion {
                    token_count: 6,
                    tokens_hash: hash_tokens(
                        &(0..6)
                            .map(|position| token_at(PROMPT_HASH, SEED, position, WeightVersion(3)))
                            .collect::<Vec<Token>>(),
                    ),
                    segments: segments()[..1].to_vec(),
                    ..completion()
                }),
            )],
        ),
        (
            "a request refused as not run was run",
            Promise::NotRunTrue,
            vec![record(50, "api", executed("refused", None, 4))],
        ),
        (
            "a charge ran twice",
            Promise::NoRepeat,
            vec![record(50, "api", executed("charge", None, 5))],
        ),
        (
            "a key ran twice",
            Promise::NoRepeat,
            vec![record(50, "api", executed("other request", Some("key"), 5))],
        ),
        (
            "work reaches a server long after it began to leave",
            Promise::Leaving,
            vec![record(18, "api", executed("much too late", None, 6))],
        ),
        (
            "an answer is cut though the node was not killed",
            Promise::PlannedStop,
            vec![record(
                20,
                "gate",
                answered("cut", 0, Some(Verdict::MayHaveRun), false),
            )],
        ),
        (
            "a node goes back",
            Promise::Configuration,
            vec![record(2, "fleet", seen(0))],
        ),
        (
            "a node lags beyond the limit",
            Promise::Configuration,
            vec![
                record(5, "fleet", Event::RevisionCommitted { revision: 7 }),
                record(14, "fleet", seen(6)),
            ],
        ),
        (
            "the control group goes back",
            Promise::Configuration,
            vec![record(
                50,
                "fleet",
                Event::RevisionCommitted { revision: 0 },
            )],
        ),
        (
            "an engine takes an order of an older epoch",
            Promise::OrdersFenced,
            vec![record(50, "engine", order(1, 9))],
        ),
    ];
    for (name, promise, doctored) in cases {
        expect_that!(broken_by(doctored), elements_are![eq(&promise)], "{name}");
    }
}

#[gtest]
fn figures_of_leaders_revisions_and_stops_are_those_of_the_log() {
    let fleet = |seconds, event| record(seconds, "fleet", event);
    let action = |action: &str| Event::ProcessAction {
        process: "node-a".to_owned(),
        action: action.to_owned(),
    };
    let summary = summarize(&RunLog::new(vec![
        fleet(1, Event::RevisionCommitted { revision: 4 }),
        fleet(2, Event::RevisionInForce { revision: 3 }),
        fleet(3, Event::RevisionCommitted { revision: 5 }),
        fleet(4, Event::LeaderFound { after_us: 800_000 }),
        fleet(4, action("stop")),
        fleet(6, Event::RevisionInForce { revision: 5 }),
        fleet(7, action("stop_failed")),
    ]));
    expect_that!(summary.in_force_max_us, eq(5 * SECOND));
    expect_that!(summary.leaderless_us, elements_are![eq(&800_000)]);
    expect_that!(summary.failed_stops, elements_are![eq("node-a")]);
}

#[gtest]
fn figures_are_those_of_the_log() {
    let summary = summarize(&RunLog::new(good()));
    expect_that!(summary.steps, eq(1));
    expect_that!(summary.samples_delivered, eq(4));
    expect_that!(summary.live_requests, eq(3));
    expect_that!(summary.live_refused, eq(1));
    expect_that!(summary.staleness_max, eq(1));
    expect_that!(summary.staleness_mean, eq(1.0));
    // From the first pull, at 5.5 s, to the end of training, at 7 s, one second was training.
    expect_that!(summary.trainer_idle, near(1.0 / 3.0, 1e-9));
    // The log's answers took a tenth of a second each; three digits are kept.
    for latency in summary.latency.values() {
        expect_that!(latency.p50_us as f64, near(SECOND as f64 / 10.0, 100.0));
    }
}
