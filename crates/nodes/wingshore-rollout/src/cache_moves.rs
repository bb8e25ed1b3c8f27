//! Question: does an attempt that leaves its engine move with its KV cache?
//!
//! Inputs: the tokens of prompt and generation, the costs of copying and computing.
//!
//! Rule: where copying is estimated to be cheaper than computing anew, another engine has a slot
//! and the sample has no second attempt.
//! A slot on another engine is taken first. While the cache is copied the old attempt runs on, so
//! that the copying costs no time of its own; then it is cancelled and resumed on the new engine
//! from all tokens that have come. The cache covers those that were there when it was copied.
//!
//! Why: the gap in a long generation is shorter. With the default [`CacheMoveCosts`] copying pays
//! from 800 tokens on.
//!
//! Missing input: an engine that cannot export or import the cache has the attempt resumed without
//! it.

use crate::messages::{AttemptId, RolloutOutput};
use crate::runner::{Context, RolloutRunner};
use crate::streams::Tokens;
use std::time::Duration;
use wingshore_routing::{Admitted, AttemptOutcome};
use wingshore_types::LeaseId;

/// What copying a KV cache and computing it anew are taken to cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheMoveCosts {
    /// Computing a thousand tokens of cache.
    pub compute_per_thousand: Duration,
    /// Exporting and importing any cache.
    pub copy_base: Duration,
    /// Copying a thousand tokens of cache besides.
    pub copy_per_thousand: Duration,
}

impl Default for CacheMoveCosts {
    fn default() -> Self {
        Self {
            compute_per_thousand: Duration::from_millis(30),
            copy_base: Duration::from_millis(20),
            copy_per_thousand: Duration::from_millis(5),
        }
    }
}

impl CacheMoveCosts {
    /// Whether copying the cache of `tokens` is cheaper than computing it anew.
    pub fn favour_copying(&self, tokens: usize) -> bool {
        let thousands = tokens as f64 / 1000.0;
        let copy = self.copy_base.as_secs_f64() + self.copy_per_thousand.as_secs_f64() * thousands;
        copy < self.compute_per_thousand.as_secs_f64() * thousands
    }
}

impl RolloutRunner {
    /// Moves an attempt off its engine, with its cache where that pays.
    pub(crate) fn move_off(&mut self, context: &mut Context<'_>, id: AttemptId) {
        let attempt = self.attempts.get(&id);
        let is_moving = attempt.is_some_and(|attempt| attempt.next.is_some());
        if !is_moving && self.copy_cache(context, id).is_none() {
            self.move_elsewhere(context, id);
        }
    }

    /// Takes a slot on another engine and has the cache copied there; `None` where that does not
    /// pay or no other engine has a slot.
    fn copy_cache(&mut self, context: &mut Context<'_>, id: AttemptId) -> Option<()> {
        let costs = self.settings.cache_moves;
        let attempt = self.attempts.get(&id)?;
        let sample = self.held.get(attempt.lease)?.clone();
        let tokens = sample.prompt.tokens.len() + attempt.generation.tokens.len();
        if !costs.favour_copying(tokens) || sample.attempts.len() > 1 {
            return None;
        }
        let (server, from) = (attempt.server.clone(), attempt.address);
        let next = self.admit(context, &sample, Some(server), true).ok()?;
        context.out.push(RolloutOutput::CopyCache {
            attempt: id,
            request_id: self.request_id(id),
            from,
            to: next.address,
        });
        self.attempts.get_mut(&id)?.next = Some(next);
        Some(())
    }

    /// The cache was copied, or could not be: then the attempt is resumed without it.
    pub(crate) fn on_cache_copied(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        is_copied: bool,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(next) = attempt.next.take() else {
            return;
        };
        if self.stopping_since.is_some() {
            // What runs is let finish.
            return self.release_slot(context, &next);
        }
        let lease = attempt.lease;
        self.move_elsewhere(context, id);
        // The other engine may have begun to leave meanwhile.
        let view = context.router.server_view(context.now, &next.server);
        if !is_copied || !view.is_some_and(|view| view.open) {
            return self.release_slot(context, &next);
        }
        self.counters.moved_with_cache += 1;
        self.resume_on(context, lease, next);
    }

    fn resume_on(&mut self, context: &mut Context<'_>, lease: LeaseId, next: Admitted) {
        match self.held.get(lease).cloned() {
            Some(sample) if sample.attempts.is_empty() => {
                let partial = sample.partial.clone();
                self.start_on(context, lease, &sample, next, partial);
            }
            _ => self.release_slot(context, &next),
        }
    }

    /// Gives a slot back that was taken for a move.
    pub(crate) fn release_slot(&self, context: &mut Context<'_>, next: &Admitted) {
        let outcome = AttemptOutcome::Cancelled;
        context
            .router
            .on_finished(context.now, next.ticket, outcome);
    }

    pub(crate) fn move_elsewhere(&mut self, context: &mut Context<'_>, id: AttemptId) {
        self.counters.moved += 1;
        self.cancel(context, id, Tokens::Keep);
    }
}
