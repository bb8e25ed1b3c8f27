//! A random workload of nodes and a trainer, with lost answers and leader changes. The log of the
//! trainer must show no violated guarantee, and must show one for each injected fault.

mod support;

use googletest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use support::*;
use wingshore_ledger::samples::{Faults, LedgerLeader};
use wingshore_types::protocol::ledger::{Batch, LedgerReply, LedgerRequest};
use wingshore_types::{Instant, LeaseId};

const SEEDS: std::ops::Range<u64> = 0..20;
const ACTIONS: u32 = 1_500;
const BATCH: u32 = 3;

/// Violated guarantees found in the trainer's log.
#[derive(Debug, Default, PartialEq)]
struct Violations {
    delivered_twice: u32,
    too_old: u32,
    changed_batches: u32,
}

/// Batches that the trainer received, recorded independently of the ledger.
#[derive(Default)]
struct TrainerLog {
    /// Step -> (version in the pull, bytes of the first answer, its sample numbers).
    steps: BTreeMap<u64, (u64, Vec<u8>, Vec<u64>)>,
    violations: Violations,
}

impl TrainerLog {
    fn receive(&mut self, step: u64, version: u64, batch: &Batch) {
        let bytes = postcard::to_stdvec(batch).expect("encodes");
        if let Some((_, first, _)) = self.steps.get(&step) {
            self.violations.changed_batches += u32::from(*first != bytes);
            return;
        }
        let numbers: Vec<u64> = batch.samples.iter().map(|s| s.number.0).collect();
        for sample in &batch.samples {
            let oldest = sample.generation.segments.iter().map(|s| s.version.0).min();
            let is_old = oldest.is_none_or(|oldest| oldest + BOUND < version);
            self.violations.too_old += u32::from(is_old);
            let mut earlier = self.steps.values().flat_map(|(_, _, numbers)| numbers);
            let is_repeated = earlier.any(|number| *number == sample.number.0);
            self.violations.delivered_twice += u32::from(is_repeated);
        }
        self.steps.insert(step, (version, bytes, numbers));
    }
}

struct Workload {
    group: Ledger,
    faults: Faults,
    random: ChaCha8Rng,
    log: TrainerLog,
    leases: Vec<(u64, LeaseId)>,
    next_number: u64,
    step: u64,
    version: u64,
}

impl Workload {
    fn run(seed: u64, faults: Faults) -> (Violations, u64) {
        let mut workload = Self {
            group: ledger(faults),
            faults,
            random: ChaCha8Rng::seed_from_u64(seed),
            log: TrainerLog::default(),
            leases: Vec::new(),
            next_number: 0,
            step: 0,
            version: 1,
        };
        for _ in 0..ACTIONS {
            workload.run_random_action();
        }
        (workload.log.violations, workload.step)
    }

    fn run_random_action(&mut self) {
        match self.random.random_range(0..100) {
            0..10 => self.submit(),
            10..25 => self.lease(),
            25..55 => self.finish(),
            55..70 => self.score(),
            70..90 => self.pull(),
            90..94 => self.change_leader(),
            _ => self.advance_time(),
        }
    }

    fn submit(&mut self) {
        let first = self.next_number.saturating_sub(2);
        self.group.call(submit(first..self.next_number + 4));
        self.next_number += 4;
    }

    fn lease(&mut self) {
        let node = ["a", "b", "c"][self.random.random_range(0..3)];
        let boot_id = self.random.random_range(0..2);
        if let Some(LedgerReply::Leases(granted)) = self.group.call(lease(node, boot_id, 4)) {
            let granted = granted.iter().map(|g| (g.prompt.number.0, g.lease));
            self.leases.extend(granted);
        }
    }

    /// Finishes a random recent lease, possibly an ended one, so that late and duplicate finishes
    /// are common.
    fn finish(&mut self) {
        if self.leases.is_empty() {
            return;
        }
        let recent = self.leases.len().saturating_sub(24);
        let (number, lease) = self.leases[self.random.random_range(recent..self.leases.len())];
        let newest = self.version;
        let oldest = newest.saturating_sub(1);
        let versions = [self.random.random_range(oldest..=newest), newest];
        self.group.call(finish(number, lease, &versions));
    }

    fn score(&mut self) {
        let request = LedgerRequest::Unscored {
            pool: pool(),
            most: 8,
        };
        if let Some(LedgerReply::Unscored(samples)) = self.group.call(request) {
            for sample in samples {
                self.group.call(score(sample.number.0, sample.lease));
            }
        }
    }

    fn pull(&mut self) {
        let tag = self.group.request(pull(self.step, self.version, BATCH, 0));
        if self.random.random_ratio(1, 4) {
            // An answer that exists already is sent just before the leader is lost.
            self.take_reply(tag);
            return self.change_leader();
        }
        self.group.commit_all();
        if self.take_reply(tag) && self.random.random_ratio(2, 3) {
            self.group.call(acknowledge(self.step));
            self.step += 1;
            self.version += u64::from(self.random.random_ratio(2, 3));
        }
    }

    fn take_reply(&mut self, tag: wingshore_types::machine::RequestTag) -> bool {
        match self.group.replies.remove(&tag) {
            Some(LedgerReply::Batch(batch)) => {
                self.log.receive(self.step, self.version, &batch);
                true
            }
            _ => false,
        }
    }

    fn change_leader(&mut self) {
        let origin = Instant::from_millis(self.random.next_u64() >> 40);
        let leader = LedgerLeader::with_faults(self.faults);
        self.group.change_leader(leader, origin);
        self.group.restore();
        self.group.state.set_faults(self.faults);
    }

    fn advance_time(&mut self) {
        let milliseconds = self.random.random_range(0..LEASE_MS);
        self.group.advance_time(Duration::from_millis(milliseconds));
    }
}

fn run_all(faults: Faults) -> (Violations, u64) {
    let mut total = Violations::default();
    let mut steps = 0;
    for seed in SEEDS {
        let (violations, run) = Workload::run(seed, faults);
        total.delivered_twice += violations.delivered_twice;
        total.too_old += violations.too_old;
        total.changed_batches += violations.changed_batches;
        steps += run;
    }
    (total, steps)
}

#[gtest]
fn no_guarantee_is_violated() {
    let (violations, steps) = run_all(Faults::default());
    expect_that!(violations, eq(&Violations::default()));
    expect_that!(steps, gt(100));
}

#[gtest]
fn each_injected_fault_is_detected() {
    let none = Faults::default();
    let age = Faults {
        hand_over_without_age_check: true,
        ..none
    };
    expect_that!(run_all(age).0.too_old, gt(0));
    let early = Faults {
        answer_before_commit: true,
        ..none
    };
    expect_that!(run_all(early).0.changed_batches, gt(0));
    let second = Faults {
        accept_second_finish: true,
        ..none
    };
    expect_that!(run_all(second).0.delivered_twice, gt(0));
    let forget = Faults {
        forget_handover: true,
        ..none
    };
    expect_that!(run_all(forget).0.changed_batches, gt(0));
}
