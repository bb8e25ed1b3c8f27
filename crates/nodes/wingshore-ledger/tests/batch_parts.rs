//! A batch that is larger than one answer is read in parts, which must cover the recorded batch
//! exactly.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_ledger::samples::Faults;
use wingshore_types::protocol::ledger::{Batch, LedgerRefusal, LedgerReply, LedgerRequest};
use wingshore_types::{StepId, TrainerId};

/// Tokens of a prompt that takes 5 MiB, so that an answer contains two of them.
const TOKENS: usize = 1 << 20;
const SAMPLES: u64 = 5;
/// Maximum size of a frame between processes, as in `wingshore_transport`.
const MAX_FRAME_BYTES: usize = 64 << 20;

fn large_prompts() -> LedgerRequest {
    let prompts = (0..SAMPLES).map(|number| {
        let mut prompt = prompt(number);
        prompt.tokens = vec![u32::MAX - number as u32; TOKENS];
        prompt
    });
    LedgerRequest::Submit {
        pool: pool(),
        prompts: prompts.collect(),
    }
}

fn part(trainer: TrainerId, from: u32) -> LedgerRequest {
    LedgerRequest::BatchPart {
        pool: pool(),
        trainer,
        step: StepId(0),
        from,
    }
}

fn batch(reply: Option<LedgerReply>) -> Batch {
    match reply {
        Some(LedgerReply::Batch(batch)) => *batch,
        _ => panic!("expected a batch"),
    }
}

fn ledger_with_large_samples() -> Ledger {
    let mut group = ledger(Faults::default());
    group.call(large_prompts());
    submit_and_score(&mut group, 0..SAMPLES, 1);
    group
}

#[gtest]
fn the_parts_of_a_large_batch_cover_it_also_after_a_restore() {
    let mut group = ledger_with_large_samples();
    let first = batch(group.call(pull(0, 1, SAMPLES as u32, 0)));
    expect_that!(first.total, eq(SAMPLES as u32));
    let mut numbers: Vec<u64> = Vec::new();
    let mut lengths = Vec::new();
    let mut samples = first.samples;
    while !samples.is_empty() {
        lengths.push(samples.len());
        let encoded = postcard::to_stdvec(&samples).expect("samples can be encoded");
        expect_that!(encoded.len(), le(MAX_FRAME_BYTES));
        for sample in &samples {
            let expected = u32::MAX - sample.number.0 as u32;
            expect_that!(
                sample.prompt.iter().all(|token| *token == expected),
                eq(true)
            );
            numbers.push(sample.number.0);
        }
        group.restore();
        if numbers.len() == SAMPLES as usize {
            break;
        }
        samples = batch(group.call(part(trainer(), numbers.len() as u32))).samples;
    }
    expect_that!(lengths, eq(&vec![2, 2, 1]));
    expect_that!(numbers, eq(&vec![0, 1, 2, 3, 4]));
}

#[gtest]
fn a_part_that_does_not_exist_is_refused() {
    let mut group = ledger_with_large_samples();
    let not_handed_over = group.call(part(trainer(), 0));
    expect_that!(
        not_handed_over,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::WrongStep { .. }
        ))))
    );
    group.call(pull(0, 1, SAMPLES as u32, 0));
    let beyond = group.call(part(trainer(), SAMPLES as u32));
    expect_that!(
        beyond,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::Invalid { .. }
        ))))
    );
    let other = group.call(part(TrainerId::new("other"), 0));
    expect_that!(
        other,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::WrongTrainer { .. }
        ))))
    );
    group.call(acknowledge(0));
    let acknowledged = group.call(part(trainer(), 2));
    expect_that!(
        acknowledged,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::WrongStep { .. }
        ))))
    );
}
