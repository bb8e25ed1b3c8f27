//! Moving attempts off engines, and second attempts of stragglers.

use crate::messages::AttemptId;
use crate::runner::{Context, RolloutRunner};
use crate::settings::OverIssue;
use crate::streams::{Attempt, Tokens};
use std::cmp::Reverse;
use wingshore_routing::Class;
use wingshore_types::{Instant, LeaseId, ServerId};

impl RolloutRunner {
    /// Gives up streams that have been silent for too long, and resumes them elsewhere.
    pub(crate) fn give_up_stalled(&mut self, context: &mut Context<'_>) {
        let first = self.settings.first_event_timeout;
        let further = self.settings.stall_timeout;
        let now = context.now;
        let is_stalled = |attempt: &Attempt| {
            let has_begun = attempt.generation.tokens.len() > attempt.resumed_tokens;
            let limit = if has_begun { further } else { first };
            now.since(attempt.last_event) >= limit
        };
        for id in self.attempts_where(is_stalled) {
            self.fail(context, id, Tokens::Keep);
        }
    }

    /// Moves attempts off engines that have been leaving for longer than the grace time: short
    /// ones have finished by then.
    pub(crate) fn move_off_leaving(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        for attempt in self.attempts.values_mut() {
            let view = context.router.server_view(now, &attempt.server);
            let is_leaving = view.is_none_or(|view| view.leaving);
            attempt.leaving_since = is_leaving.then(|| attempt.leaving_since.unwrap_or(now));
        }
        let grace = self.settings.leaving_grace;
        let is_due = |attempt: &Attempt| {
            let since = attempt.leaving_since;
            since.is_some_and(|since| now.since(since) >= grace)
        };
        for id in self.attempts_where(is_due) {
            self.move_off(context, id);
        }
    }

    /// Frees slots that live requests ask back: the attempts with the fewest tokens move.
    pub(crate) fn yield_borrowed_slots(&mut self, context: &mut Context<'_>) {
        let over = context.router.over_guarantee(context.now, Class::Rollout);
        for borrowed in over {
            let mut running = self.attempts_on(&borrowed.server);
            running.truncate(borrowed.wanted_back as usize);
            for id in running {
                self.move_elsewhere(context, id);
            }
        }
    }

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

    /// Attempts on an engine, the one with the fewest tokens first.
    fn attempts_on(&self, server: &ServerId) -> Vec<AttemptId> {
        let mut running: Vec<(usize, AttemptId)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == *server)
            .map(|(id, attempt)| (attempt.generation.tokens.len(), *id))
            .collect();
        running.sort();
        running.into_iter().map(|(_, id)| id).collect()
    }

    fn attempts_where(&self, is_wanted: impl Fn(&Attempt) -> bool) -> Vec<AttemptId> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| is_wanted(attempt))
            .map(|(id, _)| *id)
            .collect()
    }
}
