//! Leased samples that are not finished yet.

use crate::messages::AttemptId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::{Generation, Instant, LeaseId, Prompt, ServerId, WeightVersion};

/// One leased sample.
#[derive(Clone, Debug)]
pub(crate) struct HeldSample {
    pub(crate) prompt: Prompt,
    /// What ended attempts have left; the next one goes on from there.
    pub(crate) base: Generation,
    /// Attempts that run now: none while it waits, two when a straggler was issued twice.
    pub(crate) attempts: Vec<AttemptId>,
    /// The engine that failed it last; another one is preferred.
    pub(crate) avoided: Option<ServerId>,
    /// Not to be started before.
    pub(crate) not_before: Instant,
    /// When to renew the lease.
    pub(crate) renew_at: Instant,
}

/// Waiting samples, the one with most tokens left to generate first: it decides when a batch is
/// complete.
type WaitingKey = (Reverse<u32>, LeaseId);

/// The leased samples of a runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldSamples {
    samples: BTreeMap<LeaseId, HeldSample>,
    waiting: BTreeSet<WaitingKey>,
}

impl HeldSamples {
    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, lease: LeaseId) -> Option<&HeldSample> {
        self.samples.get(&lease)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (LeaseId, &HeldSample)> {
        self.samples.iter().map(|(lease, sample)| (*lease, sample))
    }

    /// Changes a sample and keeps the waiting order in step.
    pub(crate) fn update(&mut self, lease: LeaseId, change: impl FnOnce(&mut HeldSample)) {
        let Some(sample) = self.samples.get_mut(&lease) else {
            return;
        };
        self.waiting.remove(&waiting_key(lease, sample));
        change(sample);
        if sample.attempts.is_empty() {
            self.waiting.insert(waiting_key(lease, sample));
        }
    }

    pub(crate) fn insert(&mut self, lease: LeaseId, sample: HeldSample) {
        self.remove(lease);
        if sample.attempts.is_empty() {
            self.waiting.insert(waiting_key(lease, &sample));
        }
        self.samples.insert(lease, sample);
    }

    pub(crate) fn remove(&mut self, lease: LeaseId) -> Option<HeldSample> {
        let sample = self.samples.remove(&lease)?;
        self.waiting.remove(&waiting_key(lease, &sample));
        Some(sample)
    }

    /// Waiting samples that may start now, in order.
    pub(crate) fn startable(&self, now: Instant) -> Vec<LeaseId> {
        self.waiting
            .iter()
            .map(|(_, lease)| *lease)
            .filter(|lease| self.get(*lease).is_some_and(|held| held.not_before <= now))
            .collect()
    }

    /// Samples whose lease is due for renewal.
    pub(crate) fn due_for_renewal(&self, now: Instant) -> Vec<LeaseId> {
        self.iter()
            .filter(|(_, sample)| sample.renew_at <= now)
            .map(|(lease, _)| lease)
            .collect()
    }

    /// Samples whose kept tokens begin with a version below `oldest_useful`.
    pub(crate) fn with_base_older_than(&self, oldest_useful: WeightVersion) -> Vec<LeaseId> {
        self.iter()
            .filter(|(_, sample)| is_older_than(&sample.base, oldest_useful))
            .map(|(lease, _)| lease)
            .collect()
    }
}

/// Whether some token was made by a version below `oldest_useful`.
pub(crate) fn is_older_than(generation: &Generation, oldest_useful: WeightVersion) -> bool {
    generation
        .oldest_version()
        .is_some_and(|oldest| oldest < oldest_useful)
}

fn waiting_key(lease: LeaseId, sample: &HeldSample) -> WaitingKey {
    let left = (sample.prompt.max_tokens as usize).saturating_sub(sample.base.tokens.len());
    (Reverse(left as u32), lease)
}
