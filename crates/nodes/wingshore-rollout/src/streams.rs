//! Attempts on engines, from their first event to their end. Segments come from the engines' stamps
//! alone.

use crate::held::is_older_than;
use crate::messages::{AttemptId, RolloutOutput, StreamEnd};
use crate::reports::ReportKey;
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use std::net::SocketAddr;
use wingshore_routing::{Admitted, AttemptOutcome, Ticket};
use wingshore_types::platform::Usage;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::{Generation, Instant, LeaseId, ServerId, Token, Verdict, WeightVersion};

/// One attempt that runs.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) lease: LeaseId,
    pub(crate) ticket: Ticket,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    /// Tokens so far, those it was resumed from included.
    pub(crate) generation: Generation,
    /// Tokens it was resumed from.
    pub(crate) resumed_tokens: usize,
    pub(crate) started: Instant,
    pub(crate) last_event: Instant,
    /// Since when its engine is seen to be leaving.
    pub(crate) leaving_since: Option<Instant>,
    /// Where it is resumed once its KV cache is there.
    pub(crate) next: Option<Admitted>,
}

/// What becomes of an ended attempt's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tokens {
    /// The next attempt is resumed from them.
    Keep,
    /// They are of no use.
    Drop,
}

impl RolloutRunner {
    pub(crate) fn on_chunk(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        tokens: &[Token],
        version: WeightVersion,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.last_event = context.now;
        attempt.generation.append(version, tokens);
        if self.faults.stamp_latest_version {
            stamp_all(&mut attempt.generation, version);
        }
        let length = attempt.generation.tokens.len();
        let lease = attempt.lease;
        let most = self.held.get(lease).map(|held| held.prompt.max_tokens);
        if length > most.unwrap_or(0) as usize {
            return self.fail(context, id, Tokens::Drop);
        }
        self.restart_if_too_old(context, id);
    }

    pub(crate) fn on_finished(&mut self, context: &mut Context<'_>, id: AttemptId, usage: Usage) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let is_whole = usage.completion_tokens as usize == attempt.generation.tokens.len();
        if !is_whole || attempt.generation.tokens.is_empty() {
            return self.fail(context, id, Tokens::Drop);
        }
        if let Some(attempt) = self.end_attempt(context, id, None) {
            self.report_finish(context, attempt);
        }
    }

    pub(crate) fn on_stream_ended(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        end: StreamEnd,
    ) {
        let outcome = match end {
            StreamEnd::Refused => AttemptOutcome::Refused,
            StreamEnd::Failed(verdict) => AttemptOutcome::Failed(verdict),
        };
        let Some(attempt) = self.end_attempt(context, id, Some(outcome)) else {
            return;
        };
        if self.faults.finish_cut_streams && !attempt.generation.tokens.is_empty() {
            return self.report_finish(context, attempt);
        }
        self.counters.cut += 1;
        self.keep_partial(context.now, attempt, Tokens::Keep);
    }

    /// Cancels an attempt; its sample waits for another one.
    pub(crate) fn cancel(&mut self, context: &mut Context<'_>, id: AttemptId, tokens: Tokens) {
        self.cancel_with(context, id, AttemptOutcome::Cancelled, tokens);
    }

    /// Cancels an attempt whose engine is at fault.
    pub(crate) fn fail(&mut self, context: &mut Context<'_>, id: AttemptId, tokens: Tokens) {
        let outcome = AttemptOutcome::Failed(Verdict::MayHaveRun);
        self.counters.cut += 1;
        self.cancel_with(context, id, outcome, tokens);
    }

    /// Cancels the attempts at a sample and forgets it; returns the longest partial generation.
    pub(crate) fn abandon(
        &mut self,
        context: &mut Context<'_>,
        lease: LeaseId,
    ) -> Option<Generation> {
        let running = self.held.get(lease)?.attempts.clone();
        for id in running {
            self.cancel(context, id, Tokens::Keep);
        }
        self.held.remove(lease).map(|sample| sample.partial)
    }

    /// Starts anew the attempts whose first tokens are too old by now.
    pub(crate) fn restart_older_than(&mut self, context: &mut Context<'_>, oldest: WeightVersion) {
        let too_old: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_older_than(&attempt.generation, oldest))
            .map(|(id, _)| *id)
            .collect();
        for id in too_old {
            self.cancel(context, id, Tokens::Drop);
        }
    }

    fn restart_if_too_old(&mut self, context: &mut Context<'_>, id: AttemptId) {
        let oldest = self.oldest_useful;
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(|attempt| is_older_than(&attempt.generation, oldest)) {
            self.cancel(context, id, Tokens::Drop);
        }
    }

    /// Takes an attempt out and gives its slot back; without an outcome it was a success.
    fn end_attempt(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        outcome: Option<AttemptOutcome>,
    ) -> Option<Attempt> {
        let mut attempt = self.attempts.remove(&id)?;
        if let Some(next) = attempt.next.take() {
            self.release_slot(context, &next);
        }
        let outcome = outcome.unwrap_or(AttemptOutcome::Success {
            latency: context.now.since(attempt.started),
        });
        context
            .router
            .on_finished(context.now, attempt.ticket, outcome);
        self.held.update(attempt.lease, |sample| {
            sample.attempts.retain(|running| *running != id);
        });
        // A slot is free again.
        self.refused_until = Instant::ZERO;
        Some(attempt)
    }

    fn cancel_with(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        outcome: AttemptOutcome,
        tokens: Tokens,
    ) {
        let Some(attempt) = self.end_attempt(context, id, Some(outcome)) else {
            return;
        };
        context.out.push(RolloutOutput::CancelStream {
            attempt: id,
            server: attempt.server.clone(),
            address: attempt.address,
            request_id: self.request_id(id),
        });
        self.keep_partial(context.now, attempt, tokens);
    }

    /// Keeps what an ended attempt generated with its sample, where that is the longest so far.
    fn keep_partial(&mut self, now: Instant, attempt: Attempt, tokens: Tokens) {
        let is_useful =
            tokens == Tokens::Keep && !is_older_than(&attempt.generation, self.oldest_useful);
        let own_tokens = attempt.generation.tokens.len() - attempt.resumed_tokens;
        let not_before = now + RETRY_BACKOFF;
        let mut is_kept = false;
        self.held.update(attempt.lease, |sample| {
            sample.avoided = Some(attempt.server);
            if is_useful && attempt.generation.tokens.len() > sample.partial.tokens.len() {
                sample.partial = attempt.generation;
                is_kept = true;
            }
            if own_tokens == 0 {
                sample.not_before = not_before;
            }
        });
        if !is_kept {
            self.counters.wasted_tokens += own_tokens as u64;
        }
    }

    /// The first whole generation of a sample: reports it and cancels other attempts at it.
    fn report_finish(&mut self, context: &mut Context<'_>, attempt: Attempt) {
        let Some(sample) = self.held.get(attempt.lease) else {
            return;
        };
        let number = sample.prompt.number;
        for other in sample.attempts.clone() {
            self.cancel(context, other, Tokens::Drop);
        }
        self.held.remove(attempt.lease);
        self.counters.finished += 1;
        let request = LedgerRequest::Finish {
            pool: self.pool.clone(),
            sample: number,
            lease: attempt.lease,
            generation: attempt.generation,
        };
        let key = ReportKey::Finish(attempt.lease);
        self.reports.add(context.now, key, request);
    }

    pub(crate) fn request_id(&self, attempt: AttemptId) -> String {
        let (node, boot_id) = (&self.settings.node, self.settings.boot_id);
        format!("{node}-{boot_id:016x}-{}-{attempt}", self.pool)
    }
}

/// The deliberate fault [`crate::Faults::stamp_latest_version`].
fn stamp_all(generation: &mut Generation, version: WeightVersion) {
    let tokens = std::mem::take(&mut generation.tokens);
    generation.segments.clear();
    generation.append(version, &tokens);
}
