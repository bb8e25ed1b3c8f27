//! Reference model of the ledger over plain maps, and the actions of the model test.

use crate::support::BOUND;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};

pub const MAX_OPEN: usize = 10;
pub const NUMBERS: u64 = 14;
pub const NODES: [&str; 2] = ["a", "b"];

/// Next action of the test. Indexes are taken modulo the number of existing items. With `own`, a
/// report uses the lease that the sample is actually under. Steps are offsets from the step before
/// the next one.
#[derive(Clone, Debug)]
pub enum Action {
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

pub fn actions() -> impl Strategy<Value = Vec<Action>> {
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
pub enum SampleState {
    Pending,
    Leased(u64, usize, u64),
    Finished(u64, Vec<u64>),
    Scored(Vec<u64>),
    Delivered(u64),
    Acknowledged,
}

/// Reference model of the ledger.
#[derive(Default)]
pub struct Model {
    /// Number -> (submission, state, versions of the tokens kept for resumption).
    pub samples: BTreeMap<u64, (u64, SampleState, Vec<u64>)>,
    pub batches: BTreeMap<u64, Vec<u64>>,
    pub submissions: u64,
    pub leases: u64,
    pub version: u64,
    pub acknowledged_step: Option<u64>,
}

impl Model {
    pub fn oldest_useful(&self) -> u64 {
        self.version.saturating_sub(BOUND)
    }

    pub fn too_old(&self, versions: &[u64]) -> bool {
        versions
            .iter()
            .any(|version| *version < self.oldest_useful())
    }

    /// Returns the numbers of samples whose state satisfies `wanted`, oldest submission first.
    pub fn queue(&self, wanted: impl Fn(&SampleState) -> bool) -> Vec<u64> {
        let mut found: Vec<(u64, u64)> = self
            .samples
            .iter()
            .filter(|(_, (_, state, _))| wanted(state))
            .map(|(number, (submission, _, _))| (*submission, *number))
            .collect();
        found.sort();
        found.into_iter().map(|(_, number)| number).collect()
    }

    pub fn sample_of(&self, lease: u64) -> Option<u64> {
        let is_lease =
            |state: &SampleState| matches!(state, SampleState::Leased(id, _, _) if *id == lease);
        self.queue(is_lease).first().copied()
    }

    pub fn set_state(&mut self, number: u64, state: SampleState) {
        if let Some(sample) = self.samples.get_mut(&number) {
            sample.1 = state;
        }
    }

    pub fn submit(&mut self, numbers: &[u64]) -> LedgerReply {
        let new: BTreeSet<u64> = numbers
            .iter()
            .filter(|number| !self.samples.contains_key(number))
            .copied()
            .collect();
        let open = self
            .queue(|state| *state != SampleState::Acknowledged)
            .len();
        if open + new.len() > MAX_OPEN && !new.is_empty() {
            return LedgerReply::Refused(LedgerRefusal::Full {
                retry_after_ms: 500,
            });
        }
        for number in &new {
            let sample = (self.submissions, SampleState::Pending, vec![]);
            self.samples.insert(*number, sample);
        }
        self.submissions += 1;
        LedgerReply::Submitted {
            added: new.len() as u32,
            known: (numbers.len() - new.len()) as u32,
        }
    }

    /// Grants leases and returns the leased numbers in queue order.
    pub fn lease(&mut self, node: usize, boot_id: u64, most: u32) -> Vec<u64> {
        for number in self.queue(|state| {
            matches!(
                state,
                SampleState::Leased(_, n, boot) if *n == node && *boot != boot_id
            )
        }) {
            self.set_state(number, SampleState::Pending);
        }
        let mut chosen = self.queue(|state| *state == SampleState::Pending);
        chosen.truncate(most as usize);
        for number in &chosen {
            self.set_state(*number, SampleState::Leased(self.leases, node, boot_id));
            self.leases += 1;
        }
        chosen
    }

    pub fn return_lease(&mut self, lease: u64, versions: &[u64]) {
        let Some(number) = self.sample_of(lease) else {
            return;
        };
        self.set_state(number, SampleState::Pending);
        let too_old = self.too_old(versions);
        if let Some((_, _, kept)) = self.samples.get_mut(&number)
            && !too_old
            && versions.len() >= kept.len()
        {
            *kept = versions.to_vec();
        }
    }

    pub fn finish(&mut self, number: u64, lease: u64, versions: &[u64]) -> Option<bool> {
        let (_, state, _) = self.samples.get(&number)?;
        match state {
            SampleState::Delivered(_) | SampleState::Acknowledged => return Some(false),
            _ if versions.is_empty() || lease >= self.leases => return None,
            _ if self.sample_of(lease).is_some_and(|other| other != number) => return None,
            SampleState::Finished(..) | SampleState::Scored(_) => return Some(false),
            SampleState::Pending | SampleState::Leased(..) => {}
        }
        if self.too_old(versions) {
            if self.sample_of(lease) == Some(number) {
                self.set_state(number, SampleState::Pending);
                self.samples.get_mut(&number)?.2.clear();
            }
            return Some(false);
        }
        self.set_state(number, SampleState::Finished(lease, versions.to_vec()));
        Some(true)
    }

    pub fn score(&mut self, number: u64, lease: u64) -> bool {
        match self.samples.get(&number) {
            Some((_, SampleState::Finished(own, versions), _)) if *own == lease => {
                let state = SampleState::Scored(versions.clone());
                self.set_state(number, state);
                true
            }
            _ => false,
        }
    }

    pub fn observe(&mut self, version: u64) {
        self.version = self.version.max(version);
        let oldest_useful = self.oldest_useful();
        let too_old = |versions: &[u64]| versions.iter().any(|version| *version < oldest_useful);
        for (_, state, kept) in self.samples.values_mut() {
            let has_old_tokens = match state {
                SampleState::Finished(_, versions) | SampleState::Scored(versions) => {
                    too_old(versions)
                }
                _ => false,
            };
            if has_old_tokens {
                *state = SampleState::Pending;
                kept.clear();
            }
            if too_old(kept) {
                kept.clear();
            }
        }
    }

    pub fn step_is_allowed(&self, step: u64) -> bool {
        let last = self.batches.keys().next_back().copied();
        let next = last.max(self.acknowledged_step).map(|last| last + 1);
        next.is_none_or(|next| next == step) && self.batches.len() < 2
    }

    /// Hands over a step and returns its batch, or `None` if the request is refused.
    pub fn hand_over(&mut self, step: u64, version: u64, count: usize) -> Option<Vec<u64>> {
        if let Some(batch) = self.batches.get(&step) {
            return Some(batch.clone()).filter(|batch| batch.len() == count);
        }
        if !self.step_is_allowed(step) {
            return None;
        }
        self.observe(version);
        let mut chosen = self.queue(|state| matches!(state, SampleState::Scored(_)));
        if chosen.len() < count {
            return None;
        }
        chosen.truncate(count);
        for number in &chosen {
            self.set_state(*number, SampleState::Delivered(step));
        }
        self.batches.insert(step, chosen.clone());
        Some(chosen)
    }

    pub fn acknowledge(&mut self, step: u64) -> bool {
        if self.acknowledged_step.is_some_and(|last| step <= last) {
            return true;
        }
        if self.batches.keys().next() != Some(&step) {
            return false;
        }
        for number in self.batches.remove(&step).unwrap_or_default() {
            self.set_state(number, SampleState::Acknowledged);
        }
        self.acknowledged_step = Some(step);
        true
    }
}
