//! Question: which attempts leave their engine before they are finished?
//!
//! Inputs: when each attempt's last event came, which engines are leaving and since when, how many
//! slots live requests ask back on which engine, the tokens of each attempt.
//!
//! Rule: an attempt whose stream is silent for too long counts as failed. One on an engine that has
//! been leaving for longer than the grace time moves, with its cache where that pays. Where live
//! requests ask for slots, the attempts with the fewest tokens move. Each is resumed elsewhere from
//! what it generated.
//!
//! Why: a silent or stopping engine must not hold up a step, and what has fewest tokens costs least
//! to move. The times are settings.
//!
//! Missing input: an engine that the router does not know counts as leaving.

use crate::messages::AttemptId;
use crate::runner::{Context, RolloutRunner};
use crate::streams::{Attempt, Tokens};
use wingshore_routing::Class;
use wingshore_types::ServerId;

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
            running.truncate(borrowed.slots_to_reclaim as usize);
            for id in running {
                self.move_elsewhere(context, id);
            }
        }
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
