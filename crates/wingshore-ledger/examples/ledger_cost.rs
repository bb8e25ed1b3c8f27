//! Prints what a ledger costs: time per applied operation, log bytes per sample, snapshot bytes,
//! snapshot and restore time, resident memory.
//!
//! `cargo run --release -p wingshore-ledger --example ledger_cost -- [SAMPLES] [TOKENS]`

use std::time::{Duration, Instant};
use wingshore_ledger::samples::{LedgerCommand, LedgerState, Operation, PoolSettings};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::ledger::{LedgerReply, PullRequest, SampleLease};
use wingshore_types::{
    Generation, LogIndex, NodeId, PoolId, Prompt, Revision, SampleNumber, StepId, TrainerId,
    WeightVersion,
};

/// Tokens of each prompt; an assumed length.
const PROMPT_TOKENS: u32 = 200;
/// Samples that are submitted together; an assumed number.
const SUBMISSION: u64 = 64;
/// Samples that are leased together; an assumed number.
const LEASES_PER_REQUEST: u32 = 64;
/// Bytes of a page of memory, in which the system counts what a process holds.
const PAGE_BYTES: u64 = 4096;

/// Cost of one kind of operation.
#[derive(Default)]
struct Cost {
    operations: u64,
    samples: u64,
    log_bytes: u64,
    time: Duration,
}

impl Cost {
    fn print(&self, name: &str) {
        println!(
            "{name:<16} {:>8} operations {:>10.0} ns/operation {:>9.0} ns/sample {:>8.1} log bytes/sample",
            self.operations,
            self.time.as_nanos() as f64 / self.operations.max(1) as f64,
            self.time.as_nanos() as f64 / self.samples.max(1) as f64,
            self.log_bytes as f64 / self.samples.max(1) as f64,
        );
    }
}

struct Bench {
    state: LedgerState,
    index: u64,
}

impl Bench {
    fn apply(&mut self, operation: Operation, samples: u64, cost: &mut Cost) -> LedgerReply {
        self.index += 1;
        let operations = vec![operation];
        let command = LedgerCommand { operations };
        let encoded = postcard::to_stdvec(&command).unwrap_or_default();
        cost.log_bytes += encoded.len() as u64;
        cost.operations += 1;
        cost.samples += samples;
        let start = Instant::now();
        let mut replies = self.state.apply(LogIndex(self.index), command);
        cost.time += start.elapsed();
        replies.pop().unwrap_or(LedgerReply::Done)
    }

    fn submit(&mut self, samples: u64) {
        let mut cost = Cost::default();
        for first in (0..samples).step_by(SUBMISSION as usize) {
            let last = (first + SUBMISSION).min(samples);
            let prompts = (first..last).map(prompt).collect();
            let operation = Operation::Submit {
                pool: pool(),
                prompts,
            };
            self.apply(operation, last - first, &mut cost);
        }
        cost.print("submit (64)");
    }

    fn lease(&mut self) -> Vec<SampleLease> {
        let mut cost = Cost::default();
        let mut all = Vec::new();
        loop {
            let operation = Operation::Lease {
                pool: pool(),
                node: NodeId::new("node-17"),
                boot_id: 1,
                most: LEASES_PER_REQUEST,
            };
            match self.apply(operation, u64::from(LEASES_PER_REQUEST), &mut cost) {
                LedgerReply::Leases(leases) if !leases.is_empty() => all.extend(leases),
                _ => break,
            }
        }
        cost.print("lease (64)");
        all
    }

    fn finish_and_score(&mut self, leases: &[SampleLease], tokens: u32) {
        let mut finish = Cost::default();
        let mut score = Cost::default();
        for granted in leases {
            let operation = Operation::Finish {
                pool: pool(),
                sample: granted.prompt.number,
                lease: granted.lease,
                generation: generation(granted.prompt.seed, tokens),
            };
            self.apply(operation, 1, &mut finish);
        }
        for granted in leases {
            let operation = Operation::Score {
                pool: pool(),
                sample: granted.prompt.number,
                lease: granted.lease,
                score: 0.5,
            };
            self.apply(operation, 1, &mut score);
        }
        finish.print("finish");
        score.print("score");
    }

    fn hand_over(&mut self, samples: u64) {
        let mut hand_over = Cost::default();
        let mut acknowledge = Cost::default();
        let pull = PullRequest {
            trainer: trainer(),
            step: StepId(0),
            weight_version: WeightVersion(7),
            count: samples as u32,
            wait_ms: 0,
        };
        let operation = Operation::HandOver { pool: pool(), pull };
        self.apply(operation, samples, &mut hand_over);
        hand_over.print("hand over");
        let start = Instant::now();
        let ledger = self.state.pool(&pool());
        let batch = ledger.and_then(|ledger| ledger.recorded(StepId(0)).cloned());
        let copied = start.elapsed();
        let encoded = postcard::to_stdvec(&batch).unwrap_or_default();
        println!(
            "answer to a pull: {:.1} MB; copied in {:.1} ms, copied and encoded in {:.1} ms",
            encoded.len() as f64 / 1e6,
            copied.as_secs_f64() * 1e3,
            start.elapsed().as_secs_f64() * 1e3
        );
        drop(batch);
        let operation = Operation::Acknowledge {
            pool: pool(),
            trainer: trainer(),
            step: StepId(0),
        };
        self.apply(operation, samples, &mut acknowledge);
        acknowledge.print("acknowledge");
    }

    fn snapshot(&self, name: &str, samples: u64) {
        let start = Instant::now();
        let bytes = self.state.snapshot();
        let taken = start.elapsed();
        let start = Instant::now();
        let restored = LedgerState::restore(&bytes);
        println!(
            "{name}: snapshot {:.1} MB ({:.0} bytes/sample), taken in {:.1} ms, restored in {:.1} ms ({}), resident {:.0} MB",
            bytes.len() as f64 / 1e6,
            bytes.len() as f64 / samples as f64,
            taken.as_secs_f64() * 1e3,
            start.elapsed().as_secs_f64() * 1e3,
            if restored.is_ok() { "whole" } else { "FAILED" },
            resident_bytes() as f64 / 1e6,
        );
    }
}

fn pool() -> PoolId {
    PoolId::new("disputes")
}

fn trainer() -> TrainerId {
    TrainerId::new("trainer")
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        number: SampleNumber(number),
        tokens: (0..PROMPT_TOKENS)
            .map(|position| token(number, position))
            .collect(),
        max_tokens: 1 << 16,
        seed: number,
    }
}

fn generation(seed: u64, tokens: u32) -> Generation {
    let mut generation = Generation::default();
    let half = tokens / 2;
    let first: Vec<u32> = (0..half).map(|position| token(seed, position)).collect();
    let second: Vec<u32> = (half..tokens)
        .map(|position| token(seed, position))
        .collect();
    generation.append(WeightVersion(6), &first);
    generation.append(WeightVersion(7), &second);
    generation
}

/// Tokens of a vocabulary of 128,000, so that their encoding has a usual length.
fn token(seed: u64, position: u32) -> u32 {
    let mixed = (seed ^ u64::from(position) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((mixed >> 32) % 128_000) as u32
}

/// Resident memory of this process, from the kernel's page counts.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).map(str::parse::<u64>);
    pages.and_then(Result::ok).unwrap_or(0) * PAGE_BYTES
}

fn argument(position: usize, otherwise: u64) -> u64 {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

fn main() {
    let samples = argument(1, 16_384);
    let tokens = argument(2, 1_000) as u32;
    println!("{samples} samples, {PROMPT_TOKENS} prompt tokens, {tokens} generated tokens");
    let mut bench = Bench {
        state: LedgerState::default(),
        index: 0,
    };
    let settings = PoolSettings {
        revision: Revision(1),
        staleness_bound: 2,
        max_open_samples: samples as u32,
        sample_lease_ms: 10_000,
        idle_weight: wingshore_types::configuration::Permille::WHOLE,
        trainer: trainer(),
    };
    let operation = Operation::Configure {
        pool: pool(),
        settings,
    };
    bench.apply(operation, 0, &mut Cost::default());
    bench.submit(samples);
    let leases = bench.lease();
    bench.finish_and_score(&leases, tokens);
    drop(leases);
    bench.snapshot("all scored", samples);
    bench.hand_over(samples);
    bench.snapshot("all acknowledged", samples);
}
