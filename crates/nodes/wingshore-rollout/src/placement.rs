//! Decides which attempts move to another engine.
//!
//! Question: which attempts leave their engine before they are finished?
//!
//! Inputs: the time of each attempt's last event, which engines are leaving and since when, how
//! many borrowed slots live requests reclaim on each engine, the number of tokens of each attempt.
//!
//! Rule: an attempt whose stream has no event within its timeout fails. An attempt on an engine
//! that has been leaving for longer than the grace period moves, with its KV cache if copying is
//! cheaper. Where live requests reclaim slots, the attempts with the fewest tokens move. Each
//! attempt is resumed on another engine from the tokens it generated.
//!
//! Why: a stalled or leaving engine must not delay a step, and attempts with the fewest tokens are
//! the cheapest to move. The timeouts are settings.
//!
//! Missing input: an engine unknown to the router counts as leaving.

use crate::messages::AttemptId;
use crate::runner::{Context, RolloutRunner};
use crate::streams::{Attempt, TokenDisposition};
use wingshore_routing::Class;
use wingshore_types::ServerId;

impl RolloutRunner {
    /// Fails attempts whose stream exceeded its event timeout; their samples are resumed on another
    /// engine.
    pub(crate) fn fail_stalled(&mut self, context: &mut Context<'_>) {
        let first = self.settings.first_event_timeout;
        let further = self.settings.stall_timeout;
        let now = context.now;
        let is_stalled = |attempt: &Attempt| {
            let has_begun = attempt.generation.tokens.len() > attempt.resumed_tokens;
            let limit = if has_begun { further } else { first };
            now.since(attempt.last_event) >= limit
        };
        for id in self.attempts_where(is_stalled) {
            self.fail(context, id, TokenDisposition::Keep);
        }
    }

    /// Moves attempts off engines that have been leaving for longer than the grace period, in which
    /// short attempts finish.
    pub(crate) fn move_from_leaving_engines(&mut self, context: &mut Context<'_>) {
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
            self.move_attempt(context, id);
        }
    }

    /// Moves the attempts with the fewest tokens off borrowed slots that live requests reclaim.
    pub(crate) fn release_borrowed_slots(&mut self, context: &mut Context<'_>) {
        let over = context.router.over_guarantee(context.now, Class::Rollout);
        for borrowed in over {
            let mut running = self.attempts_on(&borrowed.server);
            running.truncate(borrowed.slots_to_reclaim as usize);
            for id in running {
                self.move_without_cache(context, id);
            }
        }
    }

    /// Returns the attempts on an engine, ordered by token count, lowest first.
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
