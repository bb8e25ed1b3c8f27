//! Comparison of the replicated ledger with a reference model, operation by operation.

mod model;
mod support;

use googletest::prelude::*;
use model::{Action, MAX_OPEN, Model, NODES, SampleState, actions};
use proptest::prelude::*;
use support::{BOUND, LEASE_MS, MAX_TOKENS, generation, pool, prompt, pull_request, trainer};
use wingshore_ledger::samples::{LedgerCommand, LedgerState, Operation, PoolSettings};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::ledger::LedgerReply;
use wingshore_types::{
    Generation, LeaseId, LogIndex, NodeId, Revision, SampleNumber, StepId, WeightVersion,
};

/// The ledger state and the reference model, to which the same operations are applied.
struct LedgerAndModel {
    state: LedgerState,
    model: Model,
    index: u64,
}

impl LedgerAndModel {
    fn new() -> Self {
        let mut pair = Self {
            state: LedgerState::default(),
            model: Model::default(),
            index: 0,
        };
        pair.apply(Operation::Configure {
            pool: pool(),
            settings: PoolSettings {
                revision: Revision(1),
                staleness_bound: BOUND,
                max_open_samples: MAX_OPEN as u32,
                sample_lease_ms: LEASE_MS,
                idle_weight: wingshore_types::configuration::Permille::WHOLE,
                trainer: trainer(),
            },
        });
        pair
    }

    fn apply(&mut self, operation: Operation) -> LedgerReply {
        self.index += 1;
        let operations = vec![operation];
        let command = LedgerCommand { operations };
        self.state.apply(LogIndex(self.index), command).remove(0)
    }

    fn lease_at(&self, index: usize) -> u64 {
        index as u64 % (self.model.leases + 1)
    }

    fn lease_of(&self, number: u64, own: bool, index: usize) -> u64 {
        match self.model.samples.get(&number) {
            Some((_, SampleState::Leased(lease, ..) | SampleState::Finished(lease, _), _))
                if own =>
            {
                *lease
            }
            _ => self.lease_at(index),
        }
    }

    /// Returns a step near the next one: the step before it for offset 0, the next step for 1.
    fn step_near(&self, offset: u64) -> u64 {
        let last = self.model.batches.keys().next_back().copied();
        let next = last
            .max(self.model.acknowledged_step)
            .map_or(7, |last| last + 1);
        next + offset - 1
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Submit(numbers) => {
                let prompts = numbers.iter().copied().map(prompt).collect();
                let reply = self.apply(Operation::Submit {
                    pool: pool(),
                    prompts,
                });
                assert_eq!(reply, self.model.submit(&numbers));
            }
            Action::Lease {
                node,
                boot_id,
                most,
            } => self.lease(node, boot_id, most),
            Action::Expire(index) => {
                let lease = self.lease_at(index);
                self.apply(Operation::Expire {
                    pool: pool(),
                    leases: vec![LeaseId(lease)],
                });
                if let Some(number) = self.model.sample_of(lease) {
                    self.model.set_state(number, SampleState::Pending);
                }
            }
            Action::Return { lease, versions } => {
                let lease = self.lease_at(lease);
                let partial = generation(&versions);
                self.apply(Operation::Return {
                    pool: pool(),
                    lease: LeaseId(lease),
                    partial,
                });
                self.model.return_lease(lease, &versions);
            }
            Action::Finish {
                number,
                own,
                lease,
                versions,
            } => {
                let lease = self.lease_of(number, own, lease);
                self.finish(number, lease, &versions);
            }
            Action::Score { number, own, lease } => {
                let lease = self.lease_of(number, own, lease);
                let reply = self.apply(Operation::Score {
                    pool: pool(),
                    sample: SampleNumber(number),
                    lease: LeaseId(lease),
                    score: 0.5,
                });
                let first = self.model.score(number, lease);
                assert_eq!(reply, LedgerReply::First(first));
            }
            Action::Observe(version) => {
                self.apply(Operation::ObserveVersion {
                    pool: pool(),
                    version: WeightVersion(version),
                });
                self.model.observe(version);
            }
            Action::HandOver {
                step,
                version,
                count,
            } => self.hand_over(self.step_near(step), version, count),
            Action::Acknowledge(offset) => {
                let first = self.model.batches.keys().next().copied();
                let step = first.unwrap_or(self.step_near(0)) + offset - 1;
                let reply = self.apply(Operation::Acknowledge {
                    pool: pool(),
                    trainer: trainer(),
                    step: StepId(step),
                });
                let done = self.model.acknowledge(step);
                assert_eq!(reply == LedgerReply::Done, done);
            }
            Action::Restore => {
                let snapshot = self.state.snapshot();
                self.state = LedgerState::restore(&snapshot).expect("own snapshot is valid");
                assert_eq!(self.state.snapshot(), snapshot);
            }
        }
    }

    fn lease(&mut self, node: usize, boot_id: u64, most: u32) {
        let reply = self.apply(Operation::Lease {
            pool: pool(),
            node: NodeId::new(NODES[node]),
            boot_id,
            most,
        });
        let first = self.model.leases;
        let expected = self.model.lease(node, boot_id, most);
        let LedgerReply::Leases(granted) = reply else {
            panic!("expected leases, got {reply:?}");
        };
        for (position, granted) in granted.iter().enumerate() {
            let number = granted.prompt.number.0;
            assert_eq!(granted.lease, LeaseId(first + position as u64));
            assert_eq!(granted.partial, generation(&self.model.samples[&number].2));
            assert_eq!(granted.oldest_useful.0, self.model.oldest_useful());
        }
        let numbers: Vec<u64> = granted.iter().map(|g| g.prompt.number.0).collect();
        assert_eq!(numbers, expected);
    }

    fn finish(&mut self, number: u64, lease: u64, versions: &[u64]) {
        let reply = self.apply(Operation::Finish {
            pool: pool(),
            sample: SampleNumber(number),
            lease: LeaseId(lease),
            generation: generation(versions),
        });
        match self.model.finish(number, lease, versions) {
            Some(first) => assert_eq!(reply, LedgerReply::First(first)),
            None => assert!(matches!(reply, LedgerReply::Refused(_)), "{reply:?}"),
        }
    }

    fn hand_over(&mut self, step: u64, version: u64, count: u32) {
        let reply = self.apply(Operation::HandOver {
            pool: pool(),
            pull: pull_request(step, version, count, 0),
        });
        let expected = self.model.hand_over(step, version, count as usize);
        assert_eq!(reply == LedgerReply::Done, expected.is_some());
        let ledger = self.state.pool(&pool()).expect("configured");
        if let Some(expected) = expected {
            let batch = ledger.recorded_batch(StepId(step)).expect("recorded");
            let numbers: Vec<u64> = batch.samples.iter().map(|s| s.number.0).collect();
            assert_eq!(numbers, expected);
            let floor = WeightVersion(batch.weight_version.0.saturating_sub(BOUND));
            let oldest = |generation: &Generation| generation.oldest_version();
            let is_fresh = batch
                .samples
                .iter()
                .all(|sample| oldest(&sample.generation) >= Some(floor));
            assert!(is_fresh);
        }
    }

    fn compare_counts(&self) {
        let counts = self.state.pool(&pool()).expect("configured").counts();
        let count = |wanted: fn(&SampleState) -> bool| self.model.queue(wanted).len() as u32;
        assert_eq!(
            counts.pending,
            count(|state| *state == SampleState::Pending)
        );
        assert_eq!(
            counts.leased,
            count(|p| matches!(p, SampleState::Leased(..)))
        );
        assert_eq!(
            counts.finished,
            count(|p| matches!(p, SampleState::Finished(..)))
        );
        assert_eq!(
            counts.scored,
            count(|p| matches!(p, SampleState::Scored(_)))
        );
        let delivered = count(|state| matches!(state, SampleState::Delivered(_)));
        assert_eq!(counts.handed_over, delivered);
        let acknowledged = count(|state| *state == SampleState::Acknowledged);
        assert_eq!(counts.acknowledged, u64::from(acknowledged));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_ledger_matches_the_model(actions in actions()) {
        let mut pair = LedgerAndModel::new();
        for action in actions {
            pair.apply_action(action);
            pair.compare_counts();
        }
    }

    #[test]
    fn snapshots_at_every_point_change_nothing(actions in actions()) {
        let mut pair = LedgerAndModel::new();
        for action in actions {
            pair.apply_action(Action::Restore);
            pair.apply_action(action);
        }
    }

    #[test]
    fn restoring_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = LedgerState::restore(&bytes);
    }
}

#[gtest]
fn the_longest_of_one_submission_is_leased_first() {
    let mut pair = LedgerAndModel::new();
    let mut prompts: Vec<_> = [1, 2, 3].into_iter().map(prompt).collect();
    prompts[1].max_tokens = MAX_TOKENS + 5;
    pair.apply(Operation::Submit {
        pool: pool(),
        prompts,
    });
    let reply = pair.apply(Operation::Lease {
        pool: pool(),
        node: NodeId::new("a"),
        boot_id: 1,
        most: 3,
    });
    let LedgerReply::Leases(granted) = reply else {
        panic!("expected leases, got {reply:?}");
    };
    let numbers: Vec<u64> = granted.iter().map(|g| g.prompt.number.0).collect();
    expect_that!(numbers, eq(&vec![2, 1, 3]));
}
