//! Samples of one pool and their stages. The sibling modules contain the rules of the transitions
//! between stages.
//!
//! A generation is dropped as soon as its oldest segment lags behind the newest version that the
//! trainer reported by more than the pool's `staleness_bound`.

use super::command::PoolSettings;
use super::faults::Faults;
use super::indexes::Indexes;
use super::numbers::{NumberLookup, NumberSet};
use super::stage::{OpenSample, QueueKey, Stage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wingshore_types::protocol::ledger::{Batch, LedgerCounts, LedgerRefusal, LedgerReply};
use wingshore_types::{
    Generation, LeaseId, Prompt, SampleNumber, StepId, TrainerId, WeightVersion,
};

/// Retry delay when the pool or the queue is full, in milliseconds.
pub(crate) const FULL_RETRY_AFTER_MS: u64 = 500;
/// Number of tokens from which an answer takes no further sample, so that it fits into a frame
/// between processes.
pub(crate) const MAX_TOKENS_PER_ANSWER: usize = 2 << 20;

/// Samples of one pool and the batches that were handed over to its trainer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolLedger {
    pub(super) settings: PoolSettings,
    /// Newest version that the trainer has reported.
    pub(super) trainer_version: WeightVersion,
    pub(super) open: BTreeMap<SampleNumber, OpenSample>,
    /// Batch of each step that the trainer has not acknowledged yet.
    pub(super) handed_over: BTreeMap<StepId, Batch>,
    pub(super) acknowledged: NumberSet,
    pub(super) acknowledged_step: Option<StepId>,
    pub(super) acknowledged_count: u64,
    pub(super) next_submission: u64,
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

    /// Returns the configuration of the pool.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the oldest weight version that is not too old for the trainer.
    pub fn oldest_useful(&self) -> WeightVersion {
        let bound = self.settings.staleness_bound;
        WeightVersion(self.trainer_version.0.saturating_sub(bound))
    }

    /// Returns the newest version that the trainer has reported.
    pub fn trainer_version(&self) -> WeightVersion {
        self.trainer_version
    }

    /// Returns the number of samples by stage, and the totals of the pool.
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

    /// Returns the active leases.
    pub fn leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.indexes.leases.iter()
    }

    /// Returns whether a lease is active.
    pub fn is_active(&self, lease: LeaseId) -> bool {
        self.indexes.leases.sample(lease).is_some()
    }

    pub(super) fn rebuild_indexes(&mut self) {
        let mut indexes = Indexes::default();
        for sample in self.open.values() {
            indexes.insert(sample);
        }
        for (step, batch) in &self.handed_over {
            for sample in &batch.samples {
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

    /// Records a newer version of the trainer and drops the generations that are too old for it:
    /// samples with a complete generation become pending again, partial generations are discarded.
    pub(super) fn observe_version(&mut self, version: WeightVersion) -> LedgerReply {
        if version > self.trainer_version {
            self.trainer_version = version;
            self.drop_too_old();
        }
        LedgerReply::Done
    }

    /// Moves an open sample to another stage and updates the indexes.
    pub(super) fn set_stage(&mut self, number: SampleNumber, stage: Stage) {
        if let Some(sample) = self.open.get_mut(&number) {
            self.indexes.remove(sample);
            sample.stage = stage;
            self.indexes.insert(sample);
        }
    }

    /// Removes the stage of an open sample from the sample and the indexes. The caller must set
    /// another stage afterwards.
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
            || self.acknowledged.lookup(number.0) == NumberLookup::Present
    }

    pub(super) fn check_trainer(&self, trainer: &TrainerId) -> Result<(), LedgerRefusal> {
        if *trainer == self.settings.trainer {
            return Ok(());
        }
        Err(LedgerRefusal::WrongTrainer {
            expected: self.settings.trainer.clone(),
        })
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

/// Returns the refusal of an invalid request.
pub(super) fn invalid(message: String) -> LedgerRefusal {
    LedgerRefusal::Invalid { message }
}

/// Checks the segments and the length of a generation.
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
