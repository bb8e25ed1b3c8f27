//! Hand-over of batches to the trainer, and their acknowledgement.
//!
//! Question: which samples form the batch of a step, and what does a repeated pull get?
//!
//! Inputs: the pull (trainer, step, the trainer's weight version, count), the scored samples in
//! queue order, the batches that are not acknowledged yet.
//!
//! Rule: a step gets the first `count` scored samples as soon as there are that many. Generations
//! whose oldest segment lags behind the trainer's newest version by more than the pool's bound have
//! been dropped before. The batch is recorded in the log before the pull is answered, and every
//! repeated pull of the step gets the same batch until it is acknowledged. Steps are consecutive,
//! and at most [`MAX_OPEN_STEPS`] are unacknowledged.
//!
//! Why: the batch is committed before the first answer is sent, so a lost answer can be repeated
//! and no sample is delivered in two batches. Staleness is checked against the version in the pull
//! itself, since the trainer advances between generation and hand-over.
//!
//! Cost: the group does nothing else while the hand-over of a batch is applied.

use super::pool::{PoolLedger, invalid};
use super::stage::{OpenSample, QueueKey, Stage, encoded_bytes};
use wingshore_types::protocol::ledger::{Batch, LedgerRefusal, LedgerReply, PullRequest};
use wingshore_types::{Sample, StepId, TrainerId, WeightVersion};

/// Maximum number of steps that are handed over and not acknowledged: the one in training and one
/// prefetched.
pub(crate) const MAX_OPEN_STEPS: usize = 2;
/// Maximum size of a batch in bytes. The batch is held in memory and in snapshots until it is
/// acknowledged. The limit is twice the size of a step of 16,384 samples of 1,280 tokens (60 MiB).
pub(crate) const MAX_BATCH_BYTES: usize = 128 << 20;
/// Size in bytes from which a part of a batch takes no further sample, so that the part fits into a
/// frame between processes and delays other answers on its connection only briefly.
pub(crate) const PART_BYTES: usize = 8 << 20;
/// Retry delay of a pull that found too few ready samples, in milliseconds.
pub(crate) const NOT_READY_RETRY_AFTER_MS: u64 = 100;

/// Status of a pull according to the committed state.
#[derive(Debug)]
pub(crate) enum PullStatus<'a> {
    /// The step is already handed over; contains its batch.
    Recorded(&'a Batch),
    /// The pull contains a newer trainer version than the state.
    NewerVersion,
    /// Enough samples are ready.
    Ready,
    /// Not enough samples are ready.
    Waiting {
        /// Number of ready samples.
        ready: u32,
    },
}

impl PoolLedger {
    /// Returns the status of a pull.
    ///
    /// # Errors
    /// Returns the refusal of a pull that waiting cannot make acceptable.
    pub(crate) fn pull_status(&self, pull: &PullRequest) -> Result<PullStatus<'_>, LedgerRefusal> {
        self.check_trainer(&pull.trainer)?;
        if let Some(batch) = self.recorded_batch(pull.step) {
            check_same_count(batch, pull)?;
            return Ok(PullStatus::Recorded(batch));
        }
        self.check_new_step(pull)?;
        if pull.weight_version > self.trainer_version {
            return Ok(PullStatus::NewerVersion);
        }
        let ready = self.indexes.scored.len();
        if ready >= pull.count as usize {
            return Ok(PullStatus::Ready);
        }
        Ok(PullStatus::Waiting {
            ready: ready as u32,
        })
    }

    /// Returns the batch recorded for a step that is handed over and not acknowledged.
    pub fn recorded_batch(&self, step: StepId) -> Option<&Batch> {
        self.handed_over.get(&step)
    }

    /// Returns the part of a handed-over batch that begins with sample `from`.
    ///
    /// # Errors
    /// Returns a refusal if the step is not handed over to this trainer, was already acknowledged,
    /// or has no such sample.
    pub(super) fn batch_part(
        &self,
        trainer: &TrainerId,
        step: StepId,
        from: u32,
    ) -> Result<Batch, LedgerRefusal> {
        self.check_trainer(trainer)?;
        let Some(batch) = self.recorded_batch(step) else {
            return Err(wrong_step(format!(
                "step {step} is not handed over, or was acknowledged already"
            )));
        };
        if from >= batch.total {
            return Err(invalid(format!(
                "from is {from}; step {step} has {} samples, counted from 0",
                batch.total
            )));
        }
        Ok(partial_batch(batch, from as usize))
    }

    /// Records a hand-over unless it is already recorded. The reply does not contain the batch: the
    /// leader reads it from the state, and followers need no copy.
    pub(super) fn hand_over(&mut self, pull: &PullRequest) -> LedgerReply {
        if self.faults.forget_handover {
            self.discard_hand_over(pull.step);
        }
        self.observe_if_admissible(pull);
        match self.pull_status(pull) {
            Err(refusal) => LedgerReply::Refused(refusal),
            Ok(PullStatus::Recorded(_)) => LedgerReply::Done,
            Ok(PullStatus::Ready) => self.record(pull),
            Ok(PullStatus::NewerVersion) => LedgerReply::Refused(not_ready(0)),
            Ok(PullStatus::Waiting { ready }) => LedgerReply::Refused(not_ready(ready)),
        }
    }

    pub(super) fn acknowledge(&mut self, trainer: &TrainerId, step: StepId) -> LedgerReply {
        if let Err(refusal) = self.check_trainer(trainer) {
            return LedgerReply::Refused(refusal);
        }
        if self.is_acknowledged(step) {
            return LedgerReply::Done;
        }
        if self.handed_over.first_key_value().map(|(first, _)| *first) != Some(step) {
            return LedgerReply::Refused(self.wrong_acknowledgement(step));
        }
        if let Some(batch) = self.handed_over.remove(&step) {
            self.mark_acknowledged(&batch);
        }
        self.acknowledged_step = Some(step);
        LedgerReply::Done
    }

    /// Returns the batch that a pull would get from the current state; for the injected faults
    /// that answer with an uncommitted batch.
    pub(crate) fn preview_batch(&self, pull: &PullRequest) -> Batch {
        let samples = self
            .first_scored(pull.count)
            .iter()
            .filter_map(|key| self.open.get(&key.number()).and_then(complete_sample))
            .collect();
        self.batch(pull, samples)
    }

    /// Returns whether the step or a later one was acknowledged.
    pub(crate) fn is_acknowledged(&self, step: StepId) -> bool {
        self.acknowledged_step.is_some_and(|last| step <= last)
    }

    fn check_new_step(&self, pull: &PullRequest) -> Result<(), LedgerRefusal> {
        let most = self.settings.max_open_samples;
        if pull.count == 0 || pull.count > most {
            return Err(invalid(format!(
                "count is {}; it must be between 1 and {most}",
                pull.count
            )));
        }
        if self.is_acknowledged(pull.step) {
            return Err(wrong_step(format!(
                "step {} was acknowledged already",
                pull.step
            )));
        }
        match self.next_step() {
            Some(next) if pull.step != next => Err(wrong_step(format!(
                "step {} was pulled; the next one is {next}",
                pull.step
            ))),
            _ => self.check_open_steps(),
        }
    }

    fn check_open_steps(&self) -> Result<(), LedgerRefusal> {
        if self.handed_over.len() < MAX_OPEN_STEPS {
            return Ok(());
        }
        Err(wrong_step(format!(
            "{MAX_OPEN_STEPS} steps are not acknowledged; acknowledge the older one first"
        )))
    }

    /// Returns the only step that a new pull may request; `None` before the first pull, when any
    /// step is allowed.
    fn next_step(&self) -> Option<StepId> {
        let handed_over = self.handed_over.last_key_value().map(|(step, _)| *step);
        let last = handed_over.max(self.acknowledged_step)?;
        Some(StepId(last.0.saturating_add(1)))
    }

    fn observe_if_admissible(&mut self, pull: &PullRequest) {
        if matches!(self.pull_status(pull), Ok(PullStatus::NewerVersion)) {
            self.observe_version(pull.weight_version);
        }
    }

    fn first_scored(&self, count: u32) -> Vec<QueueKey> {
        let scored = self.indexes.scored.iter();
        scored.take(count as usize).copied().collect()
    }

    fn record(&mut self, pull: &PullRequest) -> LedgerReply {
        let first_scored = self.first_scored(pull.count);
        if let Err(refusal) = self.check_batch_size(&first_scored) {
            return LedgerReply::Refused(refusal);
        }
        let mut samples = Vec::with_capacity(first_scored.len());
        for key in first_scored {
            let Some(open) = self.open.remove(&key.number()) else {
                continue;
            };
            self.indexes.remove(&open);
            self.indexes.delivered.insert(key.number(), pull.step);
            samples.extend(into_complete_sample(open));
        }
        let batch = self.batch(pull, samples);
        self.handed_over.insert(pull.step, batch);
        LedgerReply::Done
    }

    fn check_batch_size(&self, first_scored: &[QueueKey]) -> Result<(), LedgerRefusal> {
        let samples = first_scored
            .iter()
            .filter_map(|key| self.open.get(&key.number()));
        let bytes: usize = samples.map(OpenSample::encoded_bytes).sum();
        if bytes <= MAX_BATCH_BYTES {
            return Ok(());
        }
        Err(invalid(format!(
            "the batch of {} samples takes {bytes} bytes; {MAX_BATCH_BYTES} are allowed: \
             pull fewer samples a step",
            first_scored.len()
        )))
    }

    fn batch(&self, pull: &PullRequest, samples: Vec<Sample>) -> Batch {
        Batch {
            step: pull.step,
            weight_version: self.checked_version(pull),
            total: samples.len() as u32,
            samples,
        }
    }

    /// Returns the version against which staleness is checked: the newest version that the trainer
    /// has ever reported, which is never below the one in this pull.
    fn checked_version(&self, pull: &PullRequest) -> WeightVersion {
        self.trainer_version.max(pull.weight_version)
    }

    fn mark_acknowledged(&mut self, batch: &Batch) {
        for sample in &batch.samples {
            self.indexes.delivered.remove(&sample.number);
            self.acknowledged.insert(sample.number.0);
        }
        self.acknowledged_count += batch.samples.len() as u64;
    }

    fn wrong_acknowledgement(&self, step: StepId) -> LedgerRefusal {
        match self.handed_over.first_key_value() {
            Some((first, _)) if *first < step => wrong_step(format!(
                "step {step} was acknowledged before step {first}; acknowledge in order"
            )),
            _ => wrong_step(format!("step {step} was not handed over")),
        }
    }

    /// Injected fault [`super::Faults::forget_handover`]: discards a recorded hand-over.
    fn discard_hand_over(&mut self, step: StepId) {
        if let Some(batch) = self.handed_over.remove(&step) {
            for sample in &batch.samples {
                self.indexes.delivered.remove(&sample.number);
            }
        }
    }
}

/// Returns the part of a batch that begins with sample `from`. It contains at least one sample if
/// the batch has one there.
pub(super) fn partial_batch(batch: &Batch, from: usize) -> Batch {
    let mut bytes = 0;
    let samples = batch.samples.iter().skip(from).take_while(|sample| {
        let has_room = bytes < PART_BYTES;
        bytes += encoded_bytes(&sample.prompt, &sample.generation);
        has_room
    });
    Batch {
        step: batch.step,
        weight_version: batch.weight_version,
        total: batch.total,
        samples: samples.cloned().collect(),
    }
}

/// Returns the refusal of a pull that found too few ready samples.
pub(crate) fn not_ready(ready: u32) -> LedgerRefusal {
    LedgerRefusal::NotReady {
        ready,
        retry_after_ms: NOT_READY_RETRY_AFTER_MS,
    }
}

fn wrong_step(message: String) -> LedgerRefusal {
    LedgerRefusal::WrongStep { message }
}

fn check_same_count(batch: &Batch, pull: &PullRequest) -> Result<(), LedgerRefusal> {
    if batch.samples.len() == pull.count as usize {
        return Ok(());
    }
    Err(wrong_step(format!(
        "step {} was handed over with {} samples; the pull asks for {}",
        pull.step,
        batch.samples.len(),
        pull.count
    )))
}

fn complete_sample(open: &OpenSample) -> Option<Sample> {
    into_complete_sample(open.clone())
}

fn into_complete_sample(open: OpenSample) -> Option<Sample> {
    let Stage::Scored { finished, score } = open.stage else {
        return None;
    };
    Some(Sample {
        number: open.prompt.number,
        prompt: open.prompt.tokens,
        generation: finished.generation,
        score,
    })
}
