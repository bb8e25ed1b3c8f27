//! Second attempts of stragglers.
//!
//! Question: which samples get a second attempt on another engine while the first one runs?
//!
//! Inputs: the start time of each attempt, how many tokens it may still generate, whether samples
//! wait for a slot here or in the ledger, the policy in the settings.
//!
//! Rule: while no other sample could use the slots, attempts that have run for at least
//! [`SecondAttemptPolicy::min_running_time`] get a second attempt that starts from the tokens
//! generated so far, those with the most tokens left first. The first attempt to finish wins; the
//! other one is cancelled.
//!
//! Why: a step is complete only when its last sample is. Disabled by default.

use crate::messages::AttemptId;
use crate::runner::{Context, RolloutRunner};
use crate::settings::SecondAttemptPolicy;
use std::cmp::Reverse;
use wingshore_types::{Instant, LeaseId};

impl RolloutRunner {
    /// Starts second attempts of stragglers if no other sample could use the slots.
    pub(crate) fn start_second_attempts(&mut self, context: &mut Context<'_>) {
        let Some(policy) = self.settings.second_attempts else {
            return;
        };
        let has_other_work = self.leased.waiting() > 0 || !self.polls.ledger_is_empty();
        if has_other_work || self.stopping_since.is_some() || context.now < self.refused_until {
            return;
        }
        for (lease, id) in self.stragglers(context.now, policy) {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let resume = (attempt.generation.clone(), attempt.server.clone());
            if self.start(context, lease, Some(resume)).is_err() {
                return;
            }
            self.counters.second_attempts += 1;
        }
    }

    fn stragglers(&self, now: Instant, policy: SecondAttemptPolicy) -> Vec<(LeaseId, AttemptId)> {
        let issued_twice = self
            .leased
            .iter()
            .filter(|(_, sample)| sample.attempts.len() > 1);
        let remaining = (policy.max_samples as usize).saturating_sub(issued_twice.count());
        let mut stragglers: Vec<(Reverse<u32>, LeaseId, AttemptId)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| now.since(attempt.started) >= policy.min_running_time)
            .filter_map(|(id, attempt)| {
                let sample = self.leased.get(attempt.lease)?;
                let generated = attempt.generation.tokens.len() as u32;
                let left = sample.prompt.max_tokens.saturating_sub(generated);
                let is_only = sample.attempts.len() == 1;
                is_only.then_some((Reverse(left), attempt.lease, *id))
            })
            .collect();
        stragglers.sort();
        stragglers.truncate(remaining);
        stragglers
            .into_iter()
            .map(|(_, lease, id)| (lease, id))
            .collect()
    }
}
