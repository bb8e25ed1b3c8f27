//! Question: which submitted samples does a pool accept?
//!
//! Inputs: the prompts, the known samples, the pool's `max_open_samples`.
//!
//! Rule: a submission is accepted completely or not at all. It is refused temporarily while it
//! would raise the number of unacknowledged samples above `max_open_samples`, and permanently when
//! its new samples alone exceed the limit. Known numbers are not added again. Numbers so low that
//! the pool no longer tracks whether they were acknowledged are refused.
//!
//! Why: the memory and the snapshots of a group hold all open samples with their tokens, about 4 kB
//! each.

use super::numbers::NumberLookup;
use super::pool::{FULL_RETRY_AFTER_MS, PoolLedger, invalid};
use super::stage::QueueKey;
use std::collections::BTreeSet;
use wingshore_types::Prompt;
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply};

impl PoolLedger {
    /// Checks a submission without adding its samples.
    ///
    /// # Errors
    /// Returns the refusal; no sample of the submission may be added then.
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

    /// Returns the answer to a submission that would add no sample.
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
        let is_forgotten = self.acknowledged.lookup(number.0) == NumberLookup::Forgotten;
        if is_forgotten && !self.open.contains_key(&number) {
            return Err(invalid(format!(
                "sample {number}: numbers below {} are no longer told apart; number upwards",
                self.acknowledged.floor()
            )));
        }
        Ok(())
    }
}
