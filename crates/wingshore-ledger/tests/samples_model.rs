//! The replicated ledger against a model made of plain maps, operation by operation.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::{BOUND, LEASE_MS, MAX_TOKENS, generation, pool, prompt, pull_request, trainer};
use wingshore_ledger::samples::{LedgerCommand, LedgerState, Operation, PoolSettings};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};
use wingshore_types::{
    Generation, LeaseId, LogIndex, NodeId, Revision, SampleNumber, StepId, WeightVersion,
};

const MAX_OPEN: usize = 10;
const NUMBERS: u64 = 14;
const NODES: [&str; 2] = ["a", "b"];

/// What the test does next; numbers are taken modulo what exists. With `own`, a report names the
/// lease that the sample is really under; steps are counted from the one before the next.
#[derive(Clone, Debug)]
enum Action {
    Submit(Vec<u64>),
    Lease {
        node: usize,
        boot_id: u64,
        most: u32,
    },
    Expire(usize),
    Return {
        lease: usize,
        versions: Vec<u64>,
    },
    Finish {
        number: u64,
        own: bool,
        lease: usize,
        versions: Vec<u64>,
    },
    Score {
        number: u64,
        own: bool,
        lease: usize,
    },
    Observe(u64),
    HandOver {
        step: u64,
        version: u64,
        count: u32,
    },
    Acknowledge(u64),
    Restore,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let versions = || prop::collection::vec(3..6u64, 0..4);
    let own = || prop::bool::weighted(0.8);
    let step = || prop_oneof![1 => Just(0u64), 6 => Just(1), 1 => Just(2)];
    let action = prop_oneof![
        2 => prop::collection::vec(0..NUMBERS, 1..6).prop_map(Action::Submit),
        4 => (0..2usize, prop::bool::weighted(0.1), 0..5u32).prop_map(|(node, boot_id, most)| {
            let boot_id = u64::from(boot_id);
            Action::Lease { node, boot_id, most }
        }),
        1 => any::<usize>().prop_map(Action::Expire),
        1 => (any::<usize>(), versions())
            .prop_map(|(lease, versions)| Action::Return { lease, versions }),
        12 => (0..NUMBERS, own(), any::<usize>(), versions()).prop_map(
            |(number, own, lease, versions)| Action::Finish { number, own, lease, versions }
        ),
        12 => (0..NUMBERS, own(), any::<usize>())
            .prop_map(|(number, own, lease)| Action::Score { number, own, lease }),
        1 => (1..6u64).prop_map(Action::Observe),
        5 => (step(), 3..7u64, 1..4u32)
            .prop_map(|(step, version, count)| Action::HandOver { step, version, count }),
        2 => step().prop_map(Action::Acknowledge),
        1 => Just(Action::Restore),
    ];
    prop::collection::vec(action, 1..200)
}

#[derive(Clone, Debug, PartialEq)]
enum Place {
    Pending,
    Leased(u64, usize, u64),
    Finished(u64, Vec<u64>),
    Scored(Vec<u64>),
    Delivered(u64),
    Acknowledged,
}

/// What the ledger is meant to do, over plain maps.
#[derive(Default)]
struct Model {
    /// Number -> (submission, place, versions of the tokens kept for resumption).
    samples: BTreeMap<u64, (u64, Place, Vec<u64>)>,
    batches: BTreeMap<u64, Vec<u64>>,
    submissions: u64,
    leases: u64,
    version: u64,
    acknowledged_step: Option<u64>,
}

impl Model {
    fn floor(&self) -> u64 {
        self.version.saturating_sub(BOUND)
    }

    fn too_old(&self, versions: &[u64]) -> bool {
        versions.iter().any(|version| *version < self.floor())
    }

    /// Numbers at places that satisfy `wanted`, oldest submission first.
    fn queue(&self, wanted: impl Fn(&Place) -> bool) -> Vec<u64> {
        let mut found: Vec<(u64, u64)> = self
            .samples
            .iter()
            .filter(|(_, (_, place, _))| wanted(place))
            .map(|(number, (submission, _, _))| (*submission, *number))
            .collect();
        found.sort();
        found.into_iter().map(|(_, number)| number).collect()
    }

    fn holder_of(&self, lease: u64) -> Option<u64> {
        let is_lease = |place: &Place| matches!(place, Place::Leased(id, _, _) if *id == lease);
        self.queue(is_lease).first().copied()
    }

    fn put(&mut self, number: u64, place: Place) {
        if let Some(sample) = self.samples.get_mut(&number) {
            sample.1 = place;
        }
    }

    fn submit(&mut self, numbers: &[u64]) -> LedgerReply {
        let new: BTreeSet<u64> = numbers
            .iter()
            .filter(|number| !self.samples.contains_key(number))
            .copied()
            .collect();
        let open = self.queue(|place| *place != Place::Acknowledged).len();
        if open + new.len() > MAX_OPEN && !new.is_empty() {
            return LedgerReply::Refused(LedgerRefusal::Full {
                retry_after_ms: 500,
            });
        }
        for number in &new {
            let sample = (self.submissions, Place::Pending, vec![]);
            self.samples.insert(*number, sample);
        }
        self.submissions += 1;
        LedgerReply::Submitted {
            added: new.len() as u32,
            known: (numbers.len() - new.len()) as u32,
        }
    }

    /// Numbers that are leased now, in order.
    fn lease(&mut self, node: usize, boot_id: u64, most: u32) -> Vec<u64> {
        for number in self.queue(
            |place| matches!(place, Place::Leased(_, n, boot) if *n == node && *boot != boot_id),
        ) {
            self.put(number, Place::Pending);
        }
        let mut chosen = self.queue(|place| *place == Place::Pending);
        chosen.truncate(most as usize);
        for number in &chosen {
            self.put(*number, Place::Leased(self.leases, node, boot_id));
            self.leases += 1;
        }
        chosen
    }

    fn give_back(&mut self, lease: u64, versions: &[u64]) {
        let Some(number) = self.holder_of(lease) else {
            return;
        };
        self.put(number, Place::Pending);
        let too_old = self.too_old(versions);
        if let Some((_, _, kept)) = self.samples.get_mut(&number)
            && !too_old
            && versions.len() >= kept.len()
        {
            *kept = versions.to_vec();
        }
    }

    fn finish(&mut self, number: u64, lease: u64, versions: &[u64]) -> Option<bool> {
        let (_, place, _) = self.samples.get(&number)?;
        match place {
            Place::Delivered(_) | Place::Acknowledged => return Some(false),
            _ if versions.is_empty() || lease >= self.leases => return None,
            _ if self.holder_of(lease).is_some_and(|other| other != number) => return None,
            Place::Finished(..) | Place::Scored(_) => return Some(false),
            Place::Pending | Place::Leased(..) => {}
        }
        if self.too_old(versions) {
            if self.holder_of(lease) == Some(number) {
                self.put(number, Place::Pending);
                self.samples.get_mut(&number)?.2.clear();
            }
            return Some(false);
        }
        self.put(number, Place::Finished(lease, versions.to_vec()));
        Some(true)
    }

    fn score(&mut self, number: u64, lease: u64) -> bool {
        match self.samples.get(&number) {
            Some((_, Place::Finished(own, versions), _)) if *own == lease => {
                let place = Place::Scored(versions.clone());
                self.put(number, place);
                true
            }
            _ => false,
        }
    }

    fn observe(&mut self, version: u64) {
        self.version = self.version.max(version);
        let floor = self.floor();
        let too_old = |versions: &[u64]| versions.iter().any(|version| *version < floor);
        for (_, place, kept) in self.samples.values_mut() {
            let is_useless = match place {
                Place::Finished(_, versions) | Place::Scored(versions) => too_old(versions),
                _ => false,
            };
            if is_useless {
                *place = Place::Pending;
                kept.clear();
            }
            if too_old(kept) {
                kept.clear();
            }
        }
    }

    fn step_is_allowed(&self, step: u64) -> bool {
        let last = self.batches.keys().next_back().copied();
        let next = last.max(self.acknowledged_step).map(|last| last + 1);
        next.is_none_or(|next| next == step) && self.batches.len() < 2
    }

    /// The batch of the step afterwards.
    fn hand_over(&mut self, step: u64, version: u64, count: usize) -> Option<Vec<u64>> {
        if let Some(batch) = self.batches.get(&step) {
            return Some(batch.clone()).filter(|batch| batch.len() == count);
        }
        if !self.step_is_allowed(step) {
            return None;
        }
        self.observe(version);
        let mut chosen = self.queue(|place| matches!(place, Place::Scored(_)));
        if chosen.len() < count {
            return None;
        }
        chosen.truncate(count);
        for number in &chosen {
            self.put(*number, Place::Delivered(step));
        }
        self.batches.insert(step, chosen.clone());
        Some(chosen)
    }

    fn acknowledge(&mut self, step: u64) -> bool {
        if self.acknowledged_step.is_some_and(|last| step <= last) {
            return true;
        }
        if self.batches.keys().next() != Some(&step) {
            return false;
        }
        for number in self.batches.remove(&step).unwrap_or_default() {
            self.put(number, Place::Acknowledged);
        }
        self.acknowledged_step = Some(step);
        true
    }
}

/// Both side by side.
struct Pair {
    state: LedgerState,
    model: Model,
    index: u64,
}

impl Pair {
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

    fn some_lease(&self, index: usize) -> u64 {
        index as u64 % (self.model.leases + 1)
    }

    fn lease_of(&self, number: u64, own: bool, index: usize) -> u64 {
        match self.model.samples.get(&number) {
            Some((_, Place::Leased(lease, ..) | Place::Finished(lease, _), _)) if own => *lease,
            _ => self.some_lease(index),
        }
    }

    /// A step near the next one: the one before for 0, the next one for 1.
    fn step_near(&self, offset: u64) -> u64 {
        let last = self.model.batches.keys().next_back().copied();
        let next = last
            .max(self.model.acknowledged_step)
            .map_or(7, |last| last + 1);
        next + offset - 1
    }

    fn act(&mut self, action: Action) {
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
                let lease = self.some_lease(index);
                self.apply(Operation::Expire {
                    pool: pool(),
                    leases: vec![LeaseId(lease)],
                });
                if let Some(number) = self.model.holder_of(lease) {
                    self.model.put(number, Place::Pending);
                }
            }
            Action::Return { lease, versions } => {
                let lease = self.some_lease(lease);
                let partial = generation(&versions);
                self.apply(Operation::Return {
                    pool: pool(),
                    lease: LeaseId(lease),
                    partial,
                });
                self.model.give_back(lease, &versions);
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
                self.state = LedgerState::restore(&snapshot).expect("own snapshot");
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
            panic!("not leases: {reply:?}");
        };
        for (position, granted) in granted.iter().enumerate() {
            let number = granted.prompt.number.0;
            assert_eq!(granted.lease, LeaseId(first + position as u64));
            assert_eq!(granted.partial, generation(&self.model.samples[&number].2));
            assert_eq!(granted.oldest_useful.0, self.model.floor());
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
            let batch = ledger.recorded(StepId(step)).expect("recorded");
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
        let count = |wanted: fn(&Place) -> bool| self.model.queue(wanted).len() as u32;
        assert_eq!(counts.pending, count(|place| *place == Place::Pending));
        assert_eq!(counts.leased, count(|p| matches!(p, Place::Leased(..))));
        assert_eq!(counts.finished, count(|p| matches!(p, Place::Finished(..))));
        assert_eq!(counts.scored, count(|p| matches!(p, Place::Scored(_))));
        let delivered = count(|place| matches!(place, Place::Delivered(_)));
        assert_eq!(counts.handed_over, delivered);
        let acknowledged = count(|place| *place == Place::Acknowledged);
        assert_eq!(counts.acknowledged, u64::from(acknowledged));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_ledger_does_what_the_model_does(actions in actions()) {
        let mut pair = Pair::new();
        for action in actions {
            pair.act(action);
            pair.compare_counts();
        }
    }

    #[test]
    fn snapshots_at_every_point_change_nothing(actions in actions()) {
        let mut pair = Pair::new();
        for action in actions {
            pair.act(Action::Restore);
            pair.act(action);
        }
    }

    #[test]
    fn arbitrary_bytes_never_restore_to_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = LedgerState::restore(&bytes);
    }
}

#[gtest]
fn the_longest_of_one_submission_is_leased_first() {
    let mut pair = Pair::new();
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
        panic!("not leases: {reply:?}");
    };
    let numbers: Vec<u64> = granted.iter().map(|g| g.prompt.number.0).collect();
    expect_that!(numbers, eq(&vec![2, 1, 3]));
}
