//! The runner: its state, and where each input goes.

use crate::faults::Faults;
use crate::held::HeldSamples;
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

/// Time before a request to the ledger or the scorer that failed is sent again, and before a sample
/// whose attempt generated nothing is started again.
pub(crate) const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// What a runner holds and has done. Tests read it; no metric shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Samples that wait for a slot.
    pub waiting: u32,
    /// Attempts that run.
    pub running: u32,
    /// Samples leased and not finished.
    pub held: u32,
    /// Reports the ledger has not answered.
    pub reports: u32,
    /// Samples at the scorer.
    pub scoring: u32,
    /// How many samples the runner would hold.
    pub window: u32,
    /// Attempts started since the boot.
    pub attempts: u64,
    /// Attempts that were resumed from an earlier one's tokens.
    pub resumed: u64,
    /// Attempts that ended without their final event.
    pub cut: u64,
    /// Attempts moved off an engine.
    pub moved: u64,
    /// Of those, the ones whose KV cache was copied.
    pub moved_with_cache: u64,
    /// Second attempts of stragglers.
    pub over_issued: u64,
    /// Generations finished.
    pub finished: u64,
    /// Tokens generated and thrown away.
    pub wasted_tokens: u64,
}

/// What one step works with.
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
    pub(crate) held: HeldSamples,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) window: LeaseWindow,
    pub(crate) reports: Reports,
    pub(crate) polls: Polls,
    pub(crate) scoring: Scoring,
    /// Tokens of versions below this are too old to be handed over.
    pub(crate) oldest_useful: WeightVersion,
    /// No attempt is started before: the router had no slot.
    pub(crate) refused_until: Instant,
    pub(crate) stopping_since: Option<Instant>,
    pub(crate) is_stopped: bool,
    pub(crate) counters: RolloutStatus,
    pub(crate) faults: Faults,
    next_attempt: u64,
    next_call: u64,
}

impl RolloutRunner {
    /// A runner for one pool. It does nothing before it hears of the pool's configuration.
    pub fn new(settings: RolloutSettings, pool: PoolId) -> Self {
        Self {
            window: LeaseWindow::new(settings.window_most),
            settings,
            pool,
            binding: None,
            held: HeldSamples::default(),
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

    /// The same runner with deliberate faults; for tests only.
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Handles one input at `now`, pushing what follows from it.
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
            // By far the most frequent input; what it may set free waits for the next tick.
            return;
        }
        self.start_waiting(&mut context);
        self.poll_ledger(&mut context);
        self.send_reports(&mut context);
        self.finish_stop(&mut context);
    }

    /// What it holds and has done.
    pub fn status(&self) -> RolloutStatus {
        RolloutStatus {
            waiting: self.held.waiting() as u32,
            running: self.attempts.len() as u32,
            held: self.held.len() as u32,
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
        self.give_up_stalled(context);
        self.move_off_leaving(context);
        self.yield_borrowed_slots(context);
        self.over_issue(context);
        self.retry_scoring(context);
        self.end_stop(context);
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

    /// Sends the pool's settings to the ledger.
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
                self.reports.again(key, due);
            }
            Some(_) => {
                self.reports.done(key);
                if matches!(key, ReportKey::Finish(_)) {
                    self.polls.poll_unscored_at_once(context.now);
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

    /// Raises the oldest version that is of use; what is older is dropped and generated anew.
    pub(crate) fn raise_oldest_useful(&mut self, context: &mut Context<'_>, to: WeightVersion) {
        if to <= self.oldest_useful {
            return;
        }
        self.oldest_useful = to;
        for lease in self.held.with_partial_older_than(to) {
            let mut dropped = 0;
            self.held.update(lease, |sample| {
                dropped = sample.partial.tokens.len();
                sample.partial = wingshore_types::Generation::default();
            });
            self.counters.wasted_tokens += dropped as u64;
        }
        self.restart_older_than(context, to);
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
