//! The samples of one pool.

use super::command::PoolSettings;
use super::faults::Faults;
use super::indexes::Indexes;
use super::numbers::{NumberSet, Remembered};
use super::pulls::HandOver;
use super::stage::{Holder, OpenSample, QueueKey, Stage};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::protocol::ledger::{LedgerCounts, LedgerRefusal, LedgerReply, SampleLease};
use wingshore_types::{
    Generation, LeaseId, NodeId, Prompt, SampleNumber, StepId, TrainerId, WeightVersion,
};

/// When to come back after a refusal for lack of room, in milliseconds.
pub(crate) const FULL_RETRY_AFTER_MS: u64 = 500;
/// Most leases granted by one request.
pub(crate) const MAX_LEASES_PER_REQUEST: u32 = 256;
/// One answer takes no further sample beyond this many tokens, so that it fits a frame.
pub(crate) const MAX_TOKENS_PER_ANSWER: usize = 2 << 20;

/// The samples of one pool, and what was handed over to its trainer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolLedger {
    pub(super) settings: PoolSettings,
    /// The newest version the trainer has stated.
    pub(super) trainer_version: WeightVersion,
    pub(super) open: BTreeMap<SampleNumber, OpenSample>,
    pub(super) handed_over: BTreeMap<StepId, HandOver>,
    pub(super) acknowledged: NumberSet,
    pub(super) acknowledged_step: Option<StepId>,
    pub(super) acknowledged_count: u64,
    next_submission: u64,
    pub(super) next_lease: u64,
    pub(super) duplicates_dropped: u64,
    pub(super) regenerated: u64,
    #[serde(skip)]
    pub(super) indexes: Indexes,
    #[serde(skip)]
    pub(super) faults: Faults,
}

impl PoolLedger {
    pub(super) fn new(settings: PoolSettings, faults: Faults) -> Self {
        Self {
            settings,
            trainer_version: WeightVersion::default(),
            open: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            acknowledged: NumberSet::default(),
            acknowledged_step: None,
            acknowledged_count: 0,
            next_submission: 0,
            next_lease: 0,
            duplicates_dropped: 0,
            regenerated: 0,
            indexes: Indexes::default(),
            faults,
        }
    }

    /// What is known of the pool's configuration.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Segments below this version are too old for the trainer.
    pub fn oldest_useful(&self) -> WeightVersion {
        let bound = self.settings.staleness_bound;
        WeightVersion(self.trainer_version.0.saturating_sub(bound))
    }

    /// The newest version the trainer has stated.
    pub fn trainer_version(&self) -> WeightVersion {
        self.trainer_version
    }

    /// Counts.
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            pending: self.indexes.pending.len() as u32,
            leased: self.indexes.leases.len() as u32,
            finished: self.indexes.finished.len() as u32,
            scored: self.indexes.scored.len() as u32,
            handed_over: self.indexes.delivered.len() as u32,
            acknowledged: self.acknowledged_count,
            duplicates_dropped: self.duplicates_dropped,
            regenerated: self.regenerated,
        }
    }

    /// Active leases.
    pub fn leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.indexes.leases.iter()
    }

    /// Whether a lease is active.
    pub fn is_active(&self, lease: LeaseId) -> bool {
        self.indexes.leases.sample(lease).is_some()
    }

    /// Whether a lease request would change anything.
    pub(super) fn lease_would_change(&self, node: &NodeId, boot_id: u64, most: u32) -> bool {
        let old_boots = self.indexes.leases.of_other_boots(node, boot_id);
        let grants = most > 0 && !self.indexes.pending.is_empty();
        grants || !old_boots.is_empty()
    }

    pub(super) fn rebuild_indexes(&mut self) {
        let mut indexes = Indexes::default();
        for sample in self.open.values() {
            indexes.insert(sample);
        }
        for (step, hand_over) in &self.handed_over {
            for sample in &hand_over.batch.samples {
                indexes.delivered.insert(sample.number, *step);
            }
        }
        self.indexes = indexes;
    }

    pub(super) fn configure(&mut self, settings: PoolSettings) -> LedgerReply {
        if settings.revision > self.settings.revision {
            self.settings = settings;
            self.drop_too_old();
        }
        LedgerReply::Done
    }

    /// Checks a submission without making it.
    ///
    /// # Errors
    /// The refusal; nothing of the submission may be added then.
    pub(super) fn check_submission(&self, prompts: &[Prompt]) -> Result<(), LedgerRefusal> {
        let mut new = BTreeSet::new();
        for prompt in prompts {
            self.check_prompt(prompt)?;
            if !self.is_known(prompt.number) {
                new.insert(prompt.number);
            }
        }
        let limit = self.settings.max_open_samples as usize;
        if new.len() > limit {
            return Err(invalid(format!(
                "{} new samples at once; the pool allows {limit} open ones",
                new.len()
            )));
        }
        if new.len() + self.open_count() > limit && !new.is_empty() {
            return Err(LedgerRefusal::Full {
                retry_after_ms: FULL_RETRY_AFTER_MS,
            });
        }
        Ok(())
    }

    /// The answer to a submission that would add nothing.
    pub(super) fn answer_submission(&self, prompts: &[Prompt]) -> Option<LedgerReply> {
        if let Err(refusal) = self.check_submission(prompts) {
            return Some(LedgerReply::Refused(refusal));
        }
        let all_known = prompts.iter().all(|prompt| self.is_known(prompt.number));
        all_known.then_some(LedgerReply::Submitted {
            added: 0,
            known: prompts.len() as u32,
        })
    }

    pub(super) fn submit(&mut self, prompts: Vec<Prompt>) -> LedgerReply {
        if let Err(refusal) = self.check_submission(&prompts) {
            return LedgerReply::Refused(refusal);
        }
        let submission = self.next_submission;
        self.next_submission += 1;
        let mut added = 0;
        let mut known = 0;
        for prompt in prompts {
            if self.is_known(prompt.number) {
                known += 1;
                continue;
            }
            added += 1;
            self.add_pending(QueueKey::new(submission, &prompt), prompt);
        }
        LedgerReply::Submitted { added, known }
    }

    pub(super) fn lease(&mut self, node: NodeId, boot_id: u64, most: u32) -> LedgerReply {
        let ended = self.indexes.leases.of_other_boots(&node, boot_id);
        self.expire(&ended);
        let chosen = self.next_pending(most.min(MAX_LEASES_PER_REQUEST));
        let holder = Holder { node, boot_id };
        let granted = chosen
            .into_iter()
            .filter_map(|key| self.grant(key.number(), &holder))
            .collect();
        LedgerReply::Leases(granted)
    }

    pub(super) fn expire(&mut self, leases: &[LeaseId]) -> LedgerReply {
        for lease in leases {
            self.end_lease(*lease, None);
        }
        LedgerReply::Done
    }

    pub(super) fn give_back(&mut self, lease: LeaseId, partial: Generation) -> LedgerReply {
        let Some(number) = self.indexes.leases.sample(lease) else {
            return LedgerReply::Done;
        };
        let most = self.open.get(&number).map(|open| open.prompt.max_tokens);
        if let Err(refusal) = check_generation(&partial, most.unwrap_or(0)) {
            return LedgerReply::Refused(refusal);
        }
        self.end_lease(lease, Some(partial));
        LedgerReply::Done
    }

    /// Drops generations that the trainer's version has left too far behind: whole ones are
    /// generated again, partial ones are forgotten.
    pub(super) fn observe_version(&mut self, version: WeightVersion) -> LedgerReply {
        if version > self.trainer_version {
            self.trainer_version = version;
            self.drop_too_old();
        }
        LedgerReply::Done
    }

    /// Moves an open sample to another stage.
    pub(super) fn set_stage(&mut self, number: SampleNumber, stage: Stage) {
        if let Some(sample) = self.open.get_mut(&number) {
            self.indexes.remove(sample);
            sample.stage = stage;
            self.indexes.insert(sample);
        }
    }

    /// Takes the stage out of an open sample, which must be given another one then.
    pub(super) fn take_stage(&mut self, number: SampleNumber) -> Option<Stage> {
        let sample = self.open.get_mut(&number)?;
        self.indexes.remove(sample);
        let partial = Generation::default();
        Some(std::mem::replace(
            &mut sample.stage,
            Stage::Pending { partial },
        ))
    }

    pub(super) fn is_known(&self, number: SampleNumber) -> bool {
        self.open.contains_key(&number)
            || self.indexes.delivered.contains_key(&number)
            || self.acknowledged.remembers(number.0) == Remembered::Yes
    }

    pub(super) fn check_trainer(&self, trainer: &TrainerId) -> Result<(), LedgerRefusal> {
        if *trainer == self.settings.trainer {
            return Ok(());
        }
        Err(LedgerRefusal::WrongTrainer {
            expected: self.settings.trainer.clone(),
        })
    }

    fn open_count(&self) -> usize {
        self.open.len() + self.indexes.delivered.len()
    }

    fn check_prompt(&self, prompt: &Prompt) -> Result<(), LedgerRefusal> {
        let number = prompt.number;
        if prompt.max_tokens == 0 {
            return Err(invalid(format!(
                "sample {number}: max_tokens is 0; it must be at least 1"
            )));
        }
        let is_forgotten = self.acknowledged.remembers(number.0) == Remembered::Forgotten;
        if is_forgotten && !self.open.contains_key(&number) {
            return Err(invalid(format!(
                "sample {number}: numbers below {} are no longer told apart; number upwards",
                self.acknowledged.floor()
            )));
        }
        Ok(())
    }

    pub(super) fn add_pending(&mut self, key: QueueKey, prompt: Prompt) {
        let sample = OpenSample {
            key,
            prompt,
            stage: Stage::Pending {
                partial: Generation::default(),
            },
        };
        self.indexes.insert(&sample);
        self.open.insert(key.number(), sample);
    }

    /// The next samples to lease, as many as fit one answer; one at least.
    fn next_pending(&self, most: u32) -> Vec<QueueKey> {
        let mut tokens = 0;
        let mut chosen = Vec::new();
        for key in self.indexes.pending.iter().take(most as usize) {
            if tokens >= MAX_TOKENS_PER_ANSWER {
                break;
            }
            tokens += self.open.get(&key.number()).map_or(0, OpenSample::tokens);
            chosen.push(*key);
        }
        chosen
    }

    fn grant(&mut self, number: SampleNumber, holder: &Holder) -> Option<SampleLease> {
        let sample = self.open.get(&number)?;
        let Stage::Pending { partial } = &sample.stage else {
            return None;
        };
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let granted = SampleLease {
            lease,
            prompt: sample.prompt.clone(),
            partial: partial.clone(),
            oldest_useful: self.oldest_useful(),
            duration_ms: self.settings.sample_lease_ms,
        };
        let stage = Stage::Leased {
            lease,
            holder: holder.clone(),
            partial: partial.clone(),
        };
        self.set_stage(number, stage);
        Some(granted)
    }

    /// Ends an active lease. A newer partial generation replaces the one kept, when it is useful
    /// and at least as long.
    fn end_lease(&mut self, lease: LeaseId, newer: Option<Generation>) {
        let Some(number) = self.indexes.leases.sample(lease) else {
            return;
        };
        let kept = match self.open.get(&number).map(|sample| &sample.stage) {
            Some(Stage::Leased { partial, .. }) => partial.clone(),
            _ => Generation::default(),
        };
        let is_better = |newer: &Generation| {
            !self.is_too_old(newer.oldest_version()) && newer.tokens.len() >= kept.tokens.len()
        };
        let partial = newer.filter(is_better).unwrap_or(kept);
        self.set_stage(number, Stage::Pending { partial });
    }

    pub(super) fn is_too_old(&self, oldest: Option<WeightVersion>) -> bool {
        oldest.is_some_and(|oldest| oldest < self.oldest_useful())
    }

    fn drop_too_old(&mut self) {
        let too_old: Vec<SampleNumber> = self
            .open
            .values()
            .filter(|sample| self.is_too_old(sample.stage.oldest_version()))
            .map(|sample| sample.key.number())
            .collect();
        for number in too_old {
            self.drop_generation(number);
        }
    }

    fn drop_generation(&mut self, number: SampleNumber) {
        let partial = Generation::default();
        let stage = match self.open.get(&number).map(|sample| &sample.stage) {
            Some(Stage::Pending { .. }) => Stage::Pending { partial },
            Some(Stage::Leased { lease, holder, .. }) => Stage::Leased {
                lease: *lease,
                holder: holder.clone(),
                partial,
            },
            Some(_) if !self.faults.hand_over_without_age_check => {
                self.regenerated += 1;
                Stage::Pending { partial }
            }
            _ => return,
        };
        self.set_stage(number, stage);
    }
}

/// A refusal for a request that makes no sense.
pub(super) fn invalid(message: String) -> LedgerRefusal {
    LedgerRefusal::Invalid { message }
}

/// Checks the shape and the length of a generation.
pub(super) fn check_generation(
    generation: &Generation,
    max_tokens: u32,
) -> Result<(), LedgerRefusal> {
    if !generation.is_well_formed() {
        return Err(invalid(
            "segments must cover the tokens exactly, in order".to_owned(),
        ));
    }
    if generation.tokens.len() > max_tokens as usize {
        return Err(invalid(format!(
            "{} tokens; the prompt allows {max_tokens}",
            generation.tokens.len()
        )));
    }
    Ok(())
}
