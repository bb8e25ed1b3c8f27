//! Migration of attempts together with their KV cache.
//!
//! Question: is the KV cache of an attempt copied when the attempt moves to another engine?
//!
//! Inputs: the number of tokens of prompt and generation, the estimated costs of copying and
//! recomputing the cache.
//!
//! Rule: the cache is copied if copying is estimated to be cheaper than recomputing, another engine
//! has a slot and the sample has no second attempt. The slot on the other engine is reserved first.
//! The old attempt continues while its cache is copied, so that the copy adds no delay; then it is
//! cancelled and resumed on the new engine from all tokens received. The copied cache covers only
//! the tokens that existed at the time of the copy.
//!
//! Why: copying shortens the interruption of a long generation. With the default
//! [`CacheMoveCosts`], copying is cheaper above 800 tokens.
//!
//! Missing input: if an engine cannot export or import the cache, the attempt resumes without it.

use crate::messages::{AttemptId, RolloutOutput};
use crate::runner::{Context, RolloutRunner};
use crate::streams::TokenDisposition;
use std::time::Duration;
use wingshore_routing::{Admitted, AttemptOutcome};
use wingshore_types::LeaseId;

/// Estimated costs of copying and of recomputing a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheMoveCosts {
    /// Time to compute the cache of 1000 tokens.
    pub compute_per_thousand: Duration,
    /// Fixed time to export and import a cache, independent of its size.
    pub copy_base: Duration,
    /// Additional time to copy the cache of 1000 tokens.
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
    /// Returns whether copying the cache of `tokens` tokens is cheaper than recomputing it.
    pub fn is_copying_cheaper(&self, tokens: usize) -> bool {
        let thousands = tokens as f64 / 1000.0;
        let copy = self.copy_base.as_secs_f64() + self.copy_per_thousand.as_secs_f64() * thousands;
        copy < self.compute_per_thousand.as_secs_f64() * thousands
    }
}

impl RolloutRunner {
    /// Moves an attempt to another engine, with its KV cache if copying it is cheaper.
    pub(crate) fn move_attempt(&mut self, context: &mut Context<'_>, id: AttemptId) {
        let attempt = self.attempts.get(&id);
        let is_moving = attempt.is_some_and(|attempt| attempt.move_target.is_some());
        if !is_moving && self.copy_cache(context, id).is_none() {
            self.move_without_cache(context, id);
        }
    }

    /// Reserves a slot on another engine and starts copying the cache there. Returns `None` if
    /// copying is not cheaper, the sample has a second attempt, or no other engine has a slot.
    fn copy_cache(&mut self, context: &mut Context<'_>, id: AttemptId) -> Option<()> {
        let costs = self.settings.cache_moves;
        let attempt = self.attempts.get(&id)?;
        let sample = self.leased.get(attempt.lease)?.clone();
        let tokens = sample.prompt.tokens.len() + attempt.generation.tokens.len();
        if !costs.is_copying_cheaper(tokens) || sample.attempts.len() > 1 {
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
        self.attempts.get_mut(&id)?.move_target = Some(next);
        Some(())
    }

    /// Handles the end of a cache copy; if it failed, the attempt is resumed without the cache.
    pub(crate) fn on_cache_copied(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        is_copied: bool,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(next) = attempt.move_target.take() else {
            return;
        };
        if self.stopping_since.is_some() {
            // During a planned stop, running attempts may finish on their engine.
            return self.release_slot(context, &next);
        }
        let lease = attempt.lease;
        self.move_without_cache(context, id);
        // The other engine may have started leaving during the copy.
        let view = context.router.server_view(context.now, &next.server);
        if !is_copied || !view.is_some_and(|view| view.open) {
            return self.release_slot(context, &next);
        }
        self.counters.moved_with_cache += 1;
        self.resume_on(context, lease, next);
    }

    fn resume_on(&mut self, context: &mut Context<'_>, lease: LeaseId, next: Admitted) {
        match self.leased.get(lease).cloned() {
            Some(sample) if sample.attempts.is_empty() => {
                let partial = sample.partial.clone();
                self.start_on(context, lease, &sample, next, partial);
            }
            _ => self.release_slot(context, &next),
        }
    }

    /// Releases a slot that was reserved for a move.
    pub(crate) fn release_slot(&self, context: &mut Context<'_>, next: &Admitted) {
        let outcome = AttemptOutcome::Cancelled;
        context
            .router
            .on_finished(context.now, next.ticket, outcome);
    }

    /// Cancels an attempt so that its sample is resumed on another engine.
    pub(crate) fn move_without_cache(&mut self, context: &mut Context<'_>, id: AttemptId) {
        self.counters.moved += 1;
        self.cancel(context, id, TokenDisposition::Keep);
    }
}
