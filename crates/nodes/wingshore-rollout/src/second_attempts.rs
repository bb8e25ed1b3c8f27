//! Question: which samples get a second attempt on another engine while the first one runs?
//!
//! Inputs: when each attempt began, how many tokens it may still generate, whether samples wait for a
//! slot here or in the ledger, the policy of the settings.
//!
//! Rule: only while nothing else could use the slots, attempts that have run for longer than
//! [`OverIssue::after`] are attempted again, those with most tokens left first, from what they
//! generated so far. The first attempt to finish wins and the other one is cancelled.
//!
//! Why: a step is complete when its last sample is. Off unless the settings ask for it.

use crate::messages::AttemptId;
use crate::runner::{Context, RolloutRunner};
use crate::settings::OverIssue;
use std::cmp::Reverse;
use wingshore_types::{Instant, LeaseId};

impl RolloutRunner {
    /// Starts second attempts of stragglers, when nothing else could use the slots.
    pub(crate) fn over_issue(&mut self, context: &mut Context<'_>) {
        let Some(policy) = self.settings.over_issue else {
            return;
        };
        let has_other_work = self.held.waiting() > 0 || !self.polls.ledger_is_empty();
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
            self.counters.over_issued += 1;
        }
    }

    fn stragglers(&self, now: Instant, policy: OverIssue) -> Vec<(LeaseId, AttemptId)> {
        let issued_twice = self.held.iter().filter(|(_, held)| held.attempts.len() > 1);
        let room = (policy.most as usize).saturating_sub(issued_twice.count());
        let mut stragglers: Vec<(Reverse<u32>, LeaseId, AttemptId)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| now.since(attempt.started) >= policy.after)
            .filter_map(|(id, attempt)| {
                let held = self.held.get(attempt.lease)?;
                let generated = attempt.generation.tokens.len() as u32;
                let left = held.prompt.max_tokens.saturating_sub(generated);
                let is_only = held.attempts.len() == 1;
                is_only.then_some((Reverse(left), attempt.lease, *id))
            })
            .collect();
        stragglers.sort();
        stragglers.truncate(room);
        stragglers
            .into_iter()
            .map(|(_, lease, id)| (lease, id))
            .collect()
    }
}
