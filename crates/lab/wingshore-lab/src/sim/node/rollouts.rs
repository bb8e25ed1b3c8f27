//! Carries out what the [`RolloutRunner`] of one pool wants done.

use super::core::{GroupPurpose, NodeContext, UpstreamPurpose};
use super::requests::cancel_at_engine;
use super::settings::SimNodeSettings;
use super::upstream::{News, failure_of};
use crate::process::{Answer, Call, CallId};
use crate::sim::client::CallResult;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::FailureKind;
use wingshore_rollout::{
    AttemptId, PoolBinding, RolloutInput, RolloutOutput, RolloutRunner, RolloutSettings,
    ScoreCallId, StreamEnd,
};
use wingshore_types::platform::{EngineCompletionRequest, EngineStreamEvent};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, PoolId, Revision, Verdict};

/// Most rollout streams of a pool.
const MAX_STREAMS: u32 = 16;
/// Most samples of a pool at the scorer.
const MAX_SCORINGS: u32 = 16;
/// Between two ticks of a pool's rollouts.
const TICK: Duration = Duration::from_millis(50);
/// One call to a ledger is given up after this time; the runner sends again what matters.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);

pub struct PoolRollouts {
    index: usize,
    pool: PoolId,
    runner: RolloutRunner,
    ledger: Option<GroupId>,
    known: Option<Revision>,
    streams: BTreeMap<AttemptId, CallId>,
    next_tick: Instant,
    has_stopped: bool,
}

impl PoolRollouts {
    /// The rollouts of the settings' pool number `index`, from `now` on.
    pub fn new(now: Instant, settings: &SimNodeSettings, boot_id: u64, index: usize) -> Self {
        let pool = settings.pools[index].clone();
        let runner_settings = RolloutSettings {
            max_leased_samples: MAX_STREAMS,
            score_concurrency: MAX_SCORINGS,
            second_attempts: settings.over_issue,
            ..RolloutSettings::new(settings.node.clone(), boot_id)
        };
        Self {
            index,
            runner: RolloutRunner::new(runner_settings, pool.clone())
                .with_faults(settings.faults.rollout),
            pool,
            ledger: None,
            known: None,
            streams: BTreeMap::new(),
            next_tick: now,
            has_stopped: false,
        }
    }

    /// Whether a planned stop is over.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped
    }

    /// When [`PoolRollouts::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.has_stopped).then_some(self.next_tick)
    }

    /// Ticks the runner when that is due.
    pub fn on_wake(&mut self, context: &mut NodeContext<'_>) {
        if self.has_stopped || self.next_tick > context.now {
            return;
        }
        self.next_tick = context.now + TICK;
        self.step(context, RolloutInput::Tick);
    }

    /// The ledger has answered, or not.
    pub fn on_ledger(
        &mut self,
        context: &mut NodeContext<'_>,
        call: wingshore_rollout::CallId,
        result: CallResult,
    ) {
        let result = match result {
            Ok(GroupReply::Ledger(reply)) => Ok(reply),
            Ok(_) => Err(Verdict::MayHaveRun),
            Err(verdict) => Err(verdict),
        };
        self.step(context, RolloutInput::Ledger { call, result });
    }

    /// The scorer has answered, or not.
    pub fn on_score(&mut self, context: &mut NodeContext<'_>, call: ScoreCallId, news: &News) {
        let result = match news {
            News::Answer(Answer::Score(reply)) => Ok(reply.score),
            _ => Err(Verdict::MayHaveRun),
        };
        self.step(context, RolloutInput::Scored { call, result });
    }

    /// There is news of a stream.
    pub fn on_stream(&mut self, context: &mut NodeContext<'_>, attempt: AttemptId, news: News) {
        if !self.streams.contains_key(&attempt) {
            return;
        }
        let input = match news {
            News::Answer(Answer::Stream(EngineStreamEvent::Chunk {
                tokens,
                weight_version,
            })) => RolloutInput::Chunk {
                attempt,
                tokens,
                weight_version,
            },
            News::Answer(Answer::Stream(EngineStreamEvent::Finished {
                finish_reason,
                usage,
            })) => {
                self.streams.remove(&attempt);
                RolloutInput::Finished {
                    attempt,
                    finish_reason,
                    usage,
                }
            }
            other => {
                self.streams.remove(&attempt);
                let end = match failure_of(&other).kind {
                    FailureKind::RefusedByServer => StreamEnd::Refused,
                    kind => StreamEnd::Failed(kind.verdict()),
                };
                RolloutInput::StreamEnded { attempt, end }
            }
        };
        self.step(context, input);
    }

    /// Gives the runner `input`, after a new configuration and the word of a planned stop.
    fn step(&mut self, context: &mut NodeContext<'_>, input: RolloutInput) {
        let mut inputs: VecDeque<RolloutInput> = self.news(context).into();
        inputs.push_back(input);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = Vec::new();
            let router = &mut context.core.router;
            self.runner.step(context.now, input, router, &mut outputs);
            for output in outputs {
                inputs.extend(self.carry_out(context, output));
            }
        }
    }

    fn news(&mut self, context: &NodeContext<'_>) -> Vec<RolloutInput> {
        let mut inputs = Vec::new();
        let configuration = context.core.configuration();
        if self.known != Some(configuration.revision) {
            self.known = Some(configuration.revision);
            if let Some(binding) = PoolBinding::find(&configuration, &self.pool) {
                self.ledger = Some(GroupId::Ledger(binding.pool.ledger));
                inputs.push(RolloutInput::Pool(Box::new(binding)));
            }
        }
        if context.core.is_stopping {
            inputs.push(RolloutInput::Stop);
        }
        inputs
    }

    fn carry_out(
        &mut self,
        context: &mut NodeContext<'_>,
        output: RolloutOutput,
    ) -> Option<RolloutInput> {
        match output {
            RolloutOutput::Ledger { call, request } => {
                let group = self.ledger?;
                let purpose = GroupPurpose::Rollout(self.index, call);
                let body = GroupRequest::Ledger(request);
                context.ask(group, body, LEDGER_TIMEOUT, purpose);
            }
            RolloutOutput::StartStream {
                attempt,
                address,
                request,
                ..
            } => return self.start_stream(context, attempt, address, *request),
            RolloutOutput::CancelStream {
                attempt,
                address,
                request_id,
                ..
            } => {
                if let Some(call) = self.streams.remove(&attempt) {
                    context.close(call);
                }
                cancel_at_engine(context, address, request_id);
            }
            RolloutOutput::Score {
                call,
                address,
                request,
                timeout,
            } => {
                let purpose = UpstreamPurpose::Score(self.index, call);
                context.call(address, Call::Score(*request), timeout, purpose);
            }
            // Simulated engines do not exchange cache: attempts are resumed without it.
            RolloutOutput::CopyCache { attempt, .. } => {
                let is_copied = false;
                return Some(RolloutInput::CacheCopied { attempt, is_copied });
            }
            RolloutOutput::Stopped => self.has_stopped = true,
        }
        None
    }

    /// Without a configuration lease nothing new is sent.
    fn start_stream(
        &mut self,
        context: &mut NodeContext<'_>,
        attempt: AttemptId,
        address: SocketAddr,
        request: EngineCompletionRequest,
    ) -> Option<RolloutInput> {
        if context.core.holds_configuration(context.now).is_err() {
            let end = StreamEnd::Refused;
            return Some(RolloutInput::StreamEnded { attempt, end });
        }
        context.record_revision();
        let timeout = Duration::from_millis(request.deadline_ms);
        let purpose = UpstreamPurpose::Stream(self.index, attempt);
        let call = context.call(address, Call::Generate(request), timeout, purpose);
        self.streams.insert(attempt, call);
        None
    }
}
