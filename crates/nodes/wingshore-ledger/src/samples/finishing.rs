//! Finished generations: the first finished attempt of a sample is accepted.

use super::numbers::NumberLookup;
use super::pool::{PoolLedger, check_generation, invalid};
use super::stage::{Finished, OpenSample, QueueKey, Stage};
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};
use wingshore_types::{Generation, LeaseId, Prompt, SampleNumber};

impl PoolLedger {
    pub(super) fn finish(
        &mut self,
        number: SampleNumber,
        lease: LeaseId,
        generation: Generation,
    ) -> LedgerReply {
        let Some(sample) = self.open.get(&number) else {
            return self.finish_not_open(number, lease, generation);
        };
        if let Err(refusal) = self.check_finish(sample, lease, &generation) {
            return LedgerReply::Refused(refusal);
        }
        let is_finished = matches!(sample.stage, Stage::Finished(_) | Stage::Scored { .. });
        if is_finished && !self.faults.accept_second_finish {
            self.duplicates_dropped += 1;
            return LedgerReply::First(false);
        }
        if self.is_too_old(generation.oldest_version()) && !self.faults.hand_over_without_age_check
        {
            return self.finish_too_old(number, lease);
        }
        self.set_stage(number, Stage::Finished(Finished { lease, generation }));
        LedgerReply::First(true)
    }

    fn check_finish(
        &self,
        sample: &OpenSample,
        lease: LeaseId,
        generation: &Generation,
    ) -> Result<(), LedgerRefusal> {
        check_generation(generation, sample.prompt.max_tokens)?;
        if generation.tokens.is_empty() {
            return Err(invalid(
                "a finished generation needs a token at least".to_owned(),
            ));
        }
        let other = self.indexes.leases.sample(lease);
        let is_for_other_sample = other.is_some_and(|number| number != sample.key.number());
        if lease.0 >= self.next_lease || is_for_other_sample {
            return Err(invalid(format!(
                "lease {lease} was not granted for sample {}",
                sample.key.number()
            )));
        }
        Ok(())
    }

    fn finish_not_open(
        &mut self,
        number: SampleNumber,
        lease: LeaseId,
        generation: Generation,
    ) -> LedgerReply {
        let is_forgotten = self.acknowledged.lookup(number.0) == NumberLookup::Forgotten;
        if !self.is_known(number) && !is_forgotten {
            return LedgerReply::Refused(invalid(format!("sample {number} was not submitted")));
        }
        if self.faults.accept_second_finish {
            self.reopen_delivered(number, Finished { lease, generation });
        }
        self.duplicates_dropped += 1;
        LedgerReply::First(false)
    }

    /// Injected fault [`super::Faults::accept_second_finish`] for a delivered sample: makes it
    /// ready again.
    fn reopen_delivered(&mut self, number: SampleNumber, finished: Finished) {
        let Some(step) = self.indexes.delivered.get(&number) else {
            return;
        };
        let delivered = self.recorded_batch(*step).and_then(|batch| {
            let samples = &batch.samples;
            samples.iter().find(|sample| sample.number == number)
        });
        let Some(delivered) = delivered else {
            return;
        };
        let prompt = Prompt {
            number,
            tokens: delivered.prompt.clone(),
            max_tokens: finished.generation.tokens.len() as u32,
            seed: 0,
        };
        self.add_pending(QueueKey::new(0, &prompt), prompt);
        self.set_stage(number, Stage::Finished(finished));
    }

    fn finish_too_old(&mut self, number: SampleNumber, lease: LeaseId) -> LedgerReply {
        if self.indexes.leases.sample(lease) == Some(number) {
            self.regenerated += 1;
            let partial = Generation::default();
            self.set_stage(number, Stage::Pending { partial });
        }
        LedgerReply::First(false)
    }
}
