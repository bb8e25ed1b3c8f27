//! The ledger group, and the runner of the pool's samples.

use super::{COMMIT_TIME, Event, ROLLOUT_NODE, RUNNER_TICK, ToEngine, World};
use crate::bench::engines::{StreamNews, StreamOwner};
use crate::bench::group::GroupNews;
use crate::bench::random::happens;
use crate::bench::scenario::Scenario;
use std::time::Duration;
use wingshore_ledger::samples::LedgerLeader;
use wingshore_rollout::{
    AttemptId, CallId, OverIssue, RolloutInput, RolloutOutput, RolloutRunner, RolloutSettings,
};
use wingshore_types::Verdict;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};

/// A straggler runs at least this long before it is tried on a second engine, as in a node.
const OVER_ISSUE_AFTER: Duration = Duration::from_secs(2);
/// One in so many streams may be a second attempt, as in a node.
const OVER_ISSUE_SHARE: u32 = 8;
/// Most samples at the scorer at once.
const SCORE_CONCURRENCY: u32 = 64;

/// Who asked the ledger.
#[derive(Clone, Copy, Debug)]
pub(super) enum LedgerCaller {
    Runner(CallId),
    TrainerPull,
    Trainer,
}

/// The runner of the scenario's pool, with as many streams as there are slots.
pub(super) fn runner(scenario: &Scenario) -> RolloutRunner {
    let streams = scenario.service.slots_per_server * scenario.engines.len() as u32;
    let settings = RolloutSettings {
        window_most: streams,
        score_concurrency: SCORE_CONCURRENCY,
        over_issue: Some(OverIssue {
            after: OVER_ISSUE_AFTER,
            most: (streams / OVER_ISSUE_SHARE).max(1),
        }),
        ..RolloutSettings::new(scenario.rollout_node.id.clone(), 1)
    };
    RolloutRunner::new(settings, scenario.pool.id.clone())
}

impl World {
    pub(super) fn begin_ledger(&mut self) {
        let news = self.ledger.begin(self.now);
        self.ledger_news(news);
    }

    pub(super) fn on_runner_tick(&mut self) {
        if !self.is_baseline() {
            self.runner_input(RolloutInput::Tick);
            self.after(RUNNER_TICK, Event::RunnerTick);
        }
    }

    pub(super) fn runner_input(&mut self, input: RolloutInput) {
        let mut out = Vec::new();
        let router = &mut self.nodes[ROLLOUT_NODE].router;
        self.runner.step(self.now, input, router, &mut out);
        for output in out {
            self.runner_output(output);
        }
    }

    fn runner_output(&mut self, output: RolloutOutput) {
        match output {
            RolloutOutput::Ledger { call, request } => {
                self.ask_ledger(LedgerCaller::Runner(call), request);
            }
            RolloutOutput::StartStream {
                attempt,
                server,
                request,
                ..
            } => {
                let message = ToEngine::Submit(StreamOwner::Rollout(attempt), request);
                self.runner_to_engine(&server, message);
            }
            RolloutOutput::CancelStream {
                server, request_id, ..
            } => self.runner_to_engine(&server, ToEngine::Cancel(request_id)),
            RolloutOutput::Score { call, .. } => {
                let (delay, result) = self.score();
                self.after(delay, Event::Runner(RolloutInput::Scored { call, result }));
            }
            // Simulated engines do not exchange cache: attempts are resumed without it.
            RolloutOutput::CopyCache { attempt, .. } => {
                let is_copied = false;
                let answer = RolloutInput::CacheCopied { attempt, is_copied };
                self.after(Duration::ZERO, Event::Runner(answer));
            }
            RolloutOutput::Stopped => {}
        }
    }

    fn runner_to_engine(&mut self, server: &wingshore_types::ServerId, message: ToEngine) {
        if let Some(engine) = self.engine_index.get(server).copied() {
            let latency = self.latency(ROLLOUT_NODE, engine);
            self.after(latency, Event::ToEngine(engine, message));
        }
    }

    pub(super) fn on_rollout_news(&mut self, attempt: AttemptId, news: StreamNews) {
        let input = match news {
            StreamNews::Chunk(tokens, weight_version) => RolloutInput::Chunk {
                attempt,
                tokens,
                weight_version,
            },
            StreamNews::Finished(finish_reason, usage) => RolloutInput::Finished {
                attempt,
                finish_reason,
                usage,
            },
            StreamNews::Ended(end) => RolloutInput::StreamEnded { attempt, end },
        };
        self.runner_input(input);
    }

    /// How long the scorer takes and what it answers.
    pub(super) fn score(&mut self) -> (Duration, Result<f64, Verdict>) {
        let settings = &self.scenario.scorer;
        let delay = match happens(&mut self.scores, settings.slow_permille) {
            true => settings.slow_time,
            false => settings.usual_time,
        };
        let result = match happens(&mut self.scores, settings.failing_permille) {
            true => Err(Verdict::MayHaveRun),
            false => Ok(0.0),
        };
        (delay, result)
    }

    pub(super) fn ask_ledger(&mut self, caller: LedgerCaller, request: LedgerRequest) {
        let tag = self.ledger.next_tag();
        self.ledger_callers.insert(tag, caller);
        let one_way = self.scenario.one_way;
        self.after(one_way, Event::LedgerAsked(tag, request));
    }

    pub(super) fn on_ledger_asked(&mut self, tag: RequestTag, request: LedgerRequest) {
        let news = self.ledger.request(self.now, tag, request);
        self.ledger_news(news);
    }

    pub(super) fn on_ledger_commit(&mut self) {
        let news = self.ledger.commit(self.now);
        self.ledger_news(news);
    }

    pub(super) fn tick_ledger(&mut self) {
        let news = self.ledger.tick(self.now);
        self.ledger_news(news);
    }

    fn ledger_news(&mut self, news: GroupNews<LedgerLeader>) {
        for _ in 0..news.proposals {
            self.after(COMMIT_TIME, Event::LedgerCommit);
        }
        let one_way = self.scenario.one_way;
        for (tag, reply) in news.replies {
            self.after(one_way, Event::LedgerAnswered(tag, reply));
        }
    }

    pub(super) fn on_ledger_answered(&mut self, tag: RequestTag, reply: LedgerReply) {
        match self.ledger_callers.remove(&tag) {
            Some(LedgerCaller::Runner(call)) => {
                let result = Ok(reply);
                self.runner_input(RolloutInput::Ledger { call, result });
            }
            Some(LedgerCaller::TrainerPull) => self.on_pull_answered(reply),
            Some(LedgerCaller::Trainer) | None => {}
        }
    }
}
