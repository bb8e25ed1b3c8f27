//! Running attempts on engines, from their first event to their end. The segments of a generation
//! are derived only from the weight versions that the engines report.

use crate::leased::is_older_than;
use crate::messages::{AttemptId, RolloutOutput, StreamEnd};
use crate::reports::ReportKey;
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use std::net::SocketAddr;
use wingshore_routing::{Admitted, AttemptOutcome, Ticket};
use wingshore_types::platform::Usage;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::{Generation, Instant, LeaseId, ServerId, Token, Verdict, WeightVersion};

/// A running attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) lease: LeaseId,
    pub(crate) ticket: Ticket,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    /// Tokens generated so far, including those from which the attempt was resumed.
    pub(crate) generation: Generation,
    /// Number of tokens from which the attempt was resumed.
    pub(crate) resumed_tokens: usize,
    pub(crate) started: Instant,
    pub(crate) last_event: Instant,
    /// Time since which the engine has been observed as leaving.
    pub(crate) leaving_since: Option<Instant>,
    /// Reserved slot on which the attempt is resumed once its KV cache has been copied.
    pub(crate) move_target: Option<Admitted>,
}

/// Whether the tokens of an ended attempt are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenDisposition {
    /// Keeps the tokens; the next attempt may be resumed from them.
    Keep,
    /// Discards the tokens.
    Discard,
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
        let most = self
            .leased
            .get(lease)
            .map(|sample| sample.prompt.max_tokens);
        if length > most.unwrap_or(0) as usize {
            return self.fail(context, id, TokenDisposition::Discard);
        }
        self.cancel_if_too_old(context, id);
    }

    pub(crate) fn on_finished(&mut self, context: &mut Context<'_>, id: AttemptId, usage: Usage) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let is_complete = usage.completion_tokens as usize == attempt.generation.tokens.len();
        if !is_complete || attempt.generation.tokens.is_empty() {
            return self.fail(context, id, TokenDisposition::Discard);
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
        if self.faults.finish_interrupted_streams && !attempt.generation.tokens.is_empty() {
            return self.report_finish(context, attempt);
        }
        self.counters.interrupted += 1;
        self.keep_partial(context.now, attempt, TokenDisposition::Keep);
    }

    /// Cancels an attempt; its sample waits for a new one.
    pub(crate) fn cancel(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        tokens: TokenDisposition,
    ) {
        self.cancel_with(context, id, AttemptOutcome::Cancelled, tokens);
    }

    /// Cancels an attempt and records a failure of its engine.
    pub(crate) fn fail(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        tokens: TokenDisposition,
    ) {
        let outcome = AttemptOutcome::Failed(Verdict::MayHaveRun);
        self.counters.interrupted += 1;
        self.cancel_with(context, id, outcome, tokens);
    }

    /// Cancels all attempts of a sample and removes it; returns its longest partial generation.
    pub(crate) fn remove_sample(
        &mut self,
        context: &mut Context<'_>,
        lease: LeaseId,
    ) -> Option<Generation> {
        let running = self.leased.get(lease)?.attempts.clone();
        for id in running {
            self.cancel(context, id, TokenDisposition::Keep);
        }
        self.leased.remove(lease).map(|sample| sample.partial)
    }

    /// Cancels attempts that have tokens of versions below `oldest` and discards their tokens.
    pub(crate) fn cancel_older_than(&mut self, context: &mut Context<'_>, oldest: WeightVersion) {
        let too_old: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_older_than(&attempt.generation, oldest))
            .map(|(id, _)| *id)
            .collect();
        for id in too_old {
            self.cancel(context, id, TokenDisposition::Discard);
        }
    }

    fn cancel_if_too_old(&mut self, context: &mut Context<'_>, id: AttemptId) {
        let oldest = self.oldest_useful;
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(|attempt| is_older_than(&attempt.generation, oldest)) {
            self.cancel(context, id, TokenDisposition::Discard);
        }
    }

    /// Removes an attempt and releases its slot; `None` as outcome stands for a success.
    fn end_attempt(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        outcome: Option<AttemptOutcome>,
    ) -> Option<Attempt> {
        let mut attempt = self.attempts.remove(&id)?;
        if let Some(next) = attempt.move_target.take() {
            self.release_slot(context, &next);
        }
        let outcome = outcome.unwrap_or(AttemptOutcome::Success {
            latency: context.now.since(attempt.started),
        });
        context
            .router
            .on_finished(context.now, attempt.ticket, outcome);
        self.leased.update(attempt.lease, |sample| {
            sample.attempts.retain(|running| *running != id);
        });
        // A slot was released, so the router may admit a waiting sample.
        self.refused_until = Instant::ZERO;
        Some(attempt)
    }

    fn cancel_with(
        &mut self,
        context: &mut Context<'_>,
        id: AttemptId,
        outcome: AttemptOutcome,
        tokens: TokenDisposition,
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

    /// Stores the tokens of an ended attempt with its sample if they are useful and the longest so
    /// far; otherwise counts the newly generated ones as wasted.
    fn keep_partial(&mut self, now: Instant, attempt: Attempt, tokens: TokenDisposition) {
        let is_useful = tokens == TokenDisposition::Keep
            && !is_older_than(&attempt.generation, self.oldest_useful);
        let new_tokens = attempt.generation.tokens.len() - attempt.resumed_tokens;
        let not_before = now + RETRY_BACKOFF;
        let mut is_kept = false;
        self.leased.update(attempt.lease, |sample| {
            sample.avoided = Some(attempt.server);
            if is_useful && attempt.generation.tokens.len() > sample.partial.tokens.len() {
                sample.partial = attempt.generation;
                is_kept = true;
            }
            if new_tokens == 0 {
                sample.not_before = not_before;
            }
        });
        if !is_kept {
            self.counters.wasted_tokens += new_tokens as u64;
        }
    }

    /// Reports the first complete generation of a sample and cancels its other attempts.
    fn report_finish(&mut self, context: &mut Context<'_>, attempt: Attempt) {
        let Some(sample) = self.leased.get(attempt.lease) else {
            return;
        };
        let number = sample.prompt.number;
        for other in sample.attempts.clone() {
            self.cancel(context, other, TokenDisposition::Discard);
        }
        self.leased.remove(attempt.lease);
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

    /// Returns the request ID of an attempt on its engine.
    pub(crate) fn request_id(&self, attempt: AttemptId) -> String {
        let (node, boot_id) = (&self.settings.node, self.settings.boot_id);
        format!("{node}-{boot_id:016x}-{}-{attempt}", self.pool)
    }
}

/// Implements the injected fault [`crate::Faults::stamp_latest_version`].
fn stamp_all(generation: &mut Generation, version: WeightVersion) {
    let tokens = std::mem::take(&mut generation.tokens);
    generation.segments.clear();
    generation.append(version, &tokens);
}
