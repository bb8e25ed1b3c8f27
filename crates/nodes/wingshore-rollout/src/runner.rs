//! State of the runner and dispatch of its inputs.

use crate::faults::Faults;
use crate::leased::LeasedSamples;
use crate::messages::{AttemptId, CallId, PoolBinding, RolloutInput, RolloutOutput};
use crate::polls::Polls;
use crate::reports::{ReportKey, Reports};
use crate::scoring::Scoring;
use crate::settings::RolloutSettings;
use crate::streams::Attempt;
use crate::window::LeaseWindow;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_routing::Router;
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply, LedgerRequest};
use wingshore_types::{Instant, PoolId, WeightVersion};

/// Backoff before a failed request to the ledger or the scorer is retried, and before a sample
/// whose attempt generated no token is started again.
pub(crate) const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Current counts and totals of a runner. Tests read it; of its fields, only `finished` is exported
/// as a metric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Samples waiting for a slot.
    pub waiting: u32,
    /// Running attempts.
    pub running: u32,
    /// Leased samples that are not finished.
    pub leased: u32,
    /// Reports that the ledger has not finally answered.
    pub reports: u32,
    /// Samples that are being scored or wait for a retry.
    pub scoring: u32,
    /// Number of samples that the runner may lease at once.
    pub window: u32,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts resumed from the tokens of an earlier attempt.
    pub resumed: u64,
    /// Attempts that ended without their final event.
    pub interrupted: u64,
    /// Attempts moved to another engine.
    pub moved: u64,
    /// Attempts moved together with their KV cache; included in `moved`.
    pub moved_with_cache: u64,
    /// Second attempts started for stragglers.
    pub second_attempts: u64,
    /// Finished samples.
    pub finished: u64,
    /// Tokens that were generated and discarded.
    pub wasted_tokens: u64,
}

/// Environment of one step: its time, the router and the outputs.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) router: &'a mut Router,
    pub(crate) out: &'a mut Vec<RolloutOutput>,
}

/// Runs the leased samples of one pool.
#[derive(Debug)]
pub struct RolloutRunner {
    pub(crate) settings: RolloutSettings,
    pub(crate) pool: PoolId,
    pub(crate) binding: Option<PoolBinding>,
    pub(crate) leased: LeasedSamples,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) window: LeaseWindow,
    pub(crate) reports: Reports,
    pub(crate) polls: Polls,
    pub(crate) scoring: Scoring,
    /// Oldest weight version whose tokens are still useful; older tokens are discarded.
    pub(crate) oldest_useful: WeightVersion,
    /// Backoff after a refusal by the router: no attempt starts earlier.
    pub(crate) refused_until: Instant,
    pub(crate) stopping_since: Option<Instant>,
    pub(crate) is_stopped: bool,
    pub(crate) counters: RolloutStatus,
    pub(crate) faults: Faults,
    next_attempt: u64,
    next_call: u64,
}

impl RolloutRunner {
    /// Creates a runner for one pool. It is idle until it receives the pool's configuration.
    pub fn new(settings: RolloutSettings, pool: PoolId) -> Self {
        Self {
            window: LeaseWindow::new(settings.max_leased_samples),
            settings,
            pool,
            binding: None,
            leased: LeasedSamples::default(),
            attempts: BTreeMap::new(),
            reports: Reports::default(),
            polls: Polls::default(),
            scoring: Scoring::default(),
            oldest_useful: WeightVersion::default(),
            refused_until: Instant::ZERO,
            stopping_since: None,
            is_stopped: false,
            counters: RolloutStatus::default(),
            faults: Faults::default(),
            next_attempt: 0,
            next_call: 0,
        }
    }

    /// Enables injected faults; for tests only.
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Handles one input at `now` and appends the resulting outputs to `out`.
    pub fn step(
        &mut self,
        now: Instant,
        input: RolloutInput,
        router: &mut Router,
        out: &mut Vec<RolloutOutput>,
    ) {
        let mut context = Context { now, router, out };
        let is_chunk = matches!(input, RolloutInput::Chunk { .. });
        self.handle(&mut context, input);
        if is_chunk {
            // Chunks are by far the most frequent input; slots they free are used at the next tick.
            return;
        }
        self.start_waiting(&mut context);
        self.poll_ledger(&mut context);
        self.send_reports(&mut context);
        self.complete_stop(&mut context);
    }

    /// Returns the current counts and totals.
    pub fn status(&self) -> RolloutStatus {
        RolloutStatus {
            waiting: self.leased.waiting() as u32,
            running: self.attempts.len() as u32,
            leased: self.leased.len() as u32,
            reports: self.reports.len() as u32,
            scoring: self.scoring.len() as u32,
            window: self.window.size(),
            ..self.counters
        }
    }

    fn handle(&mut self, context: &mut Context<'_>, input: RolloutInput) {
        match input {
            RolloutInput::Pool(binding) => self.on_binding(context, *binding),
            RolloutInput::Chunk {
                attempt,
                tokens,
                weight_version,
            } => self.on_chunk(context, attempt, &tokens, weight_version),
            RolloutInput::Finished { attempt, usage, .. } => {
                self.on_finished(context, attempt, usage);
            }
            RolloutInput::StreamEnded { attempt, end } => {
                self.on_stream_ended(context, attempt, end);
            }
            RolloutInput::Ledger { call, result } => self.on_ledger(context, call, result.ok()),
            RolloutInput::Scored { call, result } => self.on_scored(context, call, result.ok()),
            RolloutInput::CacheCopied { attempt, is_copied } => {
                self.on_cache_copied(context, attempt, is_copied);
            }
            RolloutInput::Tick => self.on_tick(context),
            RolloutInput::Stop => self.on_stop(context),
        }
    }

    fn on_tick(&mut self, context: &mut Context<'_>) {
        self.fail_stalled(context);
        self.move_from_leaving_engines(context);
        self.release_borrowed_slots(context);
        self.start_second_attempts(context);
        self.retry_scoring(context);
        self.enforce_stop_limit(context);
    }

    fn on_binding(&mut self, context: &mut Context<'_>, binding: PoolBinding) {
        let known = self.binding.as_ref().map(|known| known.revision);
        if known.is_some_and(|known| known >= binding.revision) {
            return;
        }
        // The trainer has published the target version, so its next pull is at least as new.
        let bound = binding.pool.staleness_bound;
        let target = binding.pool.target_version;
        self.binding = Some(binding);
        self.configure(context.now);
        self.raise_oldest_useful(context, WeightVersion(target.0.saturating_sub(bound)));
    }

    /// Adds a report of the pool's settings to the ledger.
    pub(crate) fn configure(&mut self, now: Instant) {
        let Some(binding) = &self.binding else {
            return;
        };
        let request = LedgerRequest::Configure {
            pool: self.pool.clone(),
            revision: binding.revision,
            staleness_bound: binding.pool.staleness_bound,
            max_open_samples: binding.pool.max_open_samples,
            sample_lease_ms: binding.pool.sample_lease_ms,
            idle_weight: binding.pool.idle_weight,
            trainer: binding.pool.trainer.clone(),
        };
        self.reports.add(now, ReportKey::Configure, request);
    }

    fn on_ledger(&mut self, context: &mut Context<'_>, call: CallId, reply: Option<LedgerReply>) {
        let is_unknown_pool = matches!(
            reply,
            Some(LedgerReply::Refused(LedgerRefusal::UnknownPool))
        );
        if is_unknown_pool && !self.reports.contains(ReportKey::Configure) {
            self.configure(context.now);
        }
        match self.reports.take_call(call) {
            Some(key) => self.on_report_answered(context, key, reply),
            None => self.on_poll_answered(context, call, reply),
        }
    }

    fn on_report_answered(
        &mut self,
        context: &mut Context<'_>,
        key: ReportKey,
        reply: Option<LedgerReply>,
    ) {
        match reply {
            None
            | Some(LedgerReply::Refused(LedgerRefusal::Full { .. } | LedgerRefusal::UnknownPool)) =>
            {
                let due = context.now + RETRY_BACKOFF;
                self.reports.reschedule(key, due);
            }
            Some(_) => {
                self.reports.remove(key);
                if matches!(key, ReportKey::Finish(_)) {
                    self.polls.make_unscored_due(context.now);
                }
            }
        }
    }

    pub(crate) fn send_reports(&mut self, context: &mut Context<'_>) {
        for key in self.reports.due(context.now) {
            let call = self.next_call();
            if let Some(request) = self.reports.send(key, call) {
                context.out.push(RolloutOutput::Ledger { call, request });
            }
        }
    }

    /// Raises the oldest useful weight version. Older generations are discarded and restarted.
    pub(crate) fn raise_oldest_useful(&mut self, context: &mut Context<'_>, to: WeightVersion) {
        if to <= self.oldest_useful {
            return;
        }
        self.oldest_useful = to;
        for lease in self.leased.with_partial_older_than(to) {
            let mut dropped = 0;
            self.leased.update(lease, |sample| {
                dropped = sample.partial.tokens.len();
                sample.partial = wingshore_types::Generation::default();
            });
            self.counters.wasted_tokens += dropped as u64;
        }
        self.cancel_older_than(context, to);
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        AttemptId(self.next_attempt)
    }

    pub(crate) fn next_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }
}
