//! The trainer's steps: by the product's ledger, or by the baseline.

use super::ledger::LedgerCaller;
use super::{Event, ROLLOUT_NODE, ToEngine, World};
use crate::bench::baseline::Start;
use crate::bench::engines::{StreamNews, StreamOwner};
use std::time::Duration;
use wingshore_types::platform::{EngineOrder, OrderBody, OrderFence};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, PullRequest};
use wingshore_types::{Epoch, Instant, OrderSequence, Sample, WeightVersion};

/// How long one pull may wait.
const PULL_WAIT_MS: u64 = 30_000;
/// Pause before a refused pull or a failed score is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Publications and the baseline's orders.
#[derive(Debug, Default)]
pub(super) struct Published {
    /// When the newest version was published, until all engines have it.
    since: Option<Instant>,
    orders: u64,
}

impl World {
    /// Submits what is due and wants the step's batch.
    pub(super) fn begin_step(&mut self) {
        self.trainer.begin_to_wait(self.now);
        for prompts in self.trainer.prompts_due() {
            if self.is_baseline() {
                self.baseline.submit(prompts);
            } else {
                let pool = self.scenario.pool.id.clone();
                let request = LedgerRequest::Submit { pool, prompts };
                self.ask_ledger(LedgerCaller::Trainer, request);
            }
        }
        if self.is_baseline() {
            self.pull_from_baseline();
            self.advance_baseline();
        } else {
            self.pull();
        }
    }

    fn pull(&mut self) {
        let pull = PullRequest {
            trainer: self.scenario.pool.trainer.clone(),
            step: self.trainer.step(),
            weight_version: self.trainer.version(),
            count: self.trainer.batch(),
            wait_ms: PULL_WAIT_MS,
        };
        let pool = self.scenario.pool.id.clone();
        self.ask_ledger(
            LedgerCaller::TrainerPull,
            LedgerRequest::Pull { pool, pull },
        );
    }

    pub(super) fn on_pull_answered(&mut self, reply: LedgerReply) {
        match reply {
            LedgerReply::Batch(batch) => {
                let request = LedgerRequest::Acknowledge {
                    pool: self.scenario.pool.id.clone(),
                    trainer: self.scenario.pool.trainer.clone(),
                    step: batch.step,
                };
                self.ask_ledger(LedgerCaller::Trainer, request);
                self.train(&batch.samples);
            }
            _ => self.after(RETRY_PAUSE, Event::PullAgain),
        }
    }

    fn train(&mut self, samples: &[Sample]) {
        let training = self
            .trainer
            .receive(self.now, samples, &mut self.made, &mut self.meter);
        self.after(training, Event::Trained);
    }

    pub(super) fn on_trained(&mut self) {
        if let Some(version) = self.trainer.end_step() {
            self.published.since = Some(self.now);
            if self.is_baseline() {
                (0..self.engines.len()).for_each(|engine| self.order_newest(engine));
            } else {
                self.publish_to_control(version);
            }
        }
        self.begin_step();
    }

    /// All engines that run have the newest version.
    pub(super) fn on_all_swapped(&mut self) {
        if let Some(since) = self.published.since.take() {
            self.meter.swapped(self.now, self.now.since(since));
        }
    }

    /// The baseline orders an engine to take the newest version at once.
    pub(super) fn order_newest(&mut self, engine: usize) {
        let version = self.trainer.version();
        if version == WeightVersion(0) {
            return;
        }
        self.published.orders += 1;
        let order = EngineOrder {
            fence: OrderFence {
                epoch: Epoch(1),
                sequence: OrderSequence(self.published.orders),
            },
            order: OrderBody::LoadWeights {
                version,
                source: String::new(),
            },
        };
        let one_way = self.scenario.one_way;
        self.after(one_way, Event::ToEngine(engine, ToEngine::Order(order)));
        let is_restarted = self.engines[engine]
            .core()
            .is_some_and(|core| core.holds_version(WeightVersion(0)));
        self.baseline
            .set_useful(engine, !is_restarted || version == WeightVersion(1));
    }

    pub(super) fn on_baseline_in_force(&mut self, engine: usize, version: Option<WeightVersion>) {
        self.baseline.set_useful(engine, version.is_some());
        if version.is_none() {
            self.order_newest(engine);
        }
        self.advance_baseline();
    }

    pub(super) fn on_baseline_news(&mut self, number: u64, attempt: u64, news: StreamNews) {
        match news {
            StreamNews::Chunk(tokens, by) => {
                return self.baseline.on_chunk(number, attempt, &tokens, by);
            }
            StreamNews::Finished(..) => {
                if self.baseline.on_finished(number, attempt) {
                    self.score_for_baseline(number);
                }
            }
            StreamNews::Ended(end) => self.baseline.on_ended(number, attempt, end),
        }
        self.advance_baseline();
    }

    fn score_for_baseline(&mut self, number: u64) {
        let (delay, result) = self.score();
        self.after(delay, Event::BaselineScored(number, result.is_ok()));
    }

    pub(super) fn on_baseline_scored(&mut self, number: u64, is_scored: bool) {
        if !is_scored {
            return self.score_for_baseline(number);
        }
        self.baseline.on_score(number, 0.0);
        self.pull_from_baseline();
    }

    /// Starts what fits.
    fn advance_baseline(&mut self) {
        for start in self.baseline.starts() {
            self.start_for_baseline(start);
        }
    }

    /// Hands the step's batch over once it is whole.
    fn pull_from_baseline(&mut self) {
        if !self.trainer.is_waiting() {
            return;
        }
        let batch = u64::from(self.trainer.batch());
        let first = self.trainer.step().0 * batch;
        let numbers = first..first + batch;
        if let Some(samples) = self.baseline.pull(numbers, self.trainer.version()) {
            self.train(&samples);
        }
    }

    fn start_for_baseline(&mut self, start: Start) {
        let owner = StreamOwner::Baseline {
            number: start.number,
            attempt: start.attempt,
        };
        let latency = self.latency(ROLLOUT_NODE, start.engine);
        let message = ToEngine::Submit(owner, Box::new(start.request));
        self.after(latency, Event::ToEngine(start.engine, message));
    }
}
