//! What reaches engines and what leaves them.

use super::{Event, ROLLOUT_NODE, ToEngine, World};
use crate::bench::engines::{Engine, EngineAction, StreamNews, StreamOwner};
use crate::bench::random::{exponential, happens};
use crate::bench::store::Fetch;
use crate::stand_ins::engine::fence::OrderAnswer as EngineAnswer;
use crate::stand_ins::engine::{EngineFault, EngineInput};
use std::time::Duration;
use wingshore_control::{ControlEvent, OrderAnswer};
use wingshore_types::platform::EngineOrder;
use wingshore_types::{Instant, Verdict, WeightVersion};

impl World {
    pub(super) fn engine_input(&mut self, engine: usize, input: EngineInput) {
        let actions = self.engines[engine].step(self.now, input, &mut self.made);
        self.carry_out(engine, actions);
    }

    pub(super) fn on_engine_message(&mut self, engine: usize, message: ToEngine) {
        match message {
            ToEngine::Submit(owner, request) => {
                let actions =
                    self.engines[engine].submit(self.now, owner, *request, &mut self.made);
                self.carry_out(engine, actions);
            }
            ToEngine::Cancel(request_id) => {
                let actions = self.engines[engine].cancel(self.now, request_id, &mut self.made);
                self.carry_out(engine, actions);
            }
            ToEngine::Order(order) => self.on_order(engine, order),
            ToEngine::ReadState(asked_at) => self.on_state_asked(engine, asked_at),
        }
    }

    fn on_order(&mut self, engine: usize, order: EngineOrder) {
        if self.engines[engine].core().is_none() {
            let answer = OrderAnswer::Failed(Verdict::NotRun);
            return self.answer_order(engine, &order, answer);
        }
        let permille = self.scenario.bench.engines.swap_failure_permille;
        if happens(&mut self.swap_failures[engine], permille) {
            self.engine_input(engine, EngineInput::Fault(EngineFault::FailNextSwap));
        }
        self.engine_input(engine, EngineInput::Order(order));
    }

    fn on_state_asked(&mut self, engine: usize, asked_at: Instant) {
        let host = &mut self.engines[engine];
        let state = host.core().map(|core| core.state()).ok_or(Verdict::NotRun);
        let news = ControlEvent::StateRead {
            server: host.server.id.clone(),
            asked_at,
            state,
        };
        let one_way = self.scenario.one_way;
        self.after(one_way, Event::ControlNews(news));
    }

    fn carry_out(&mut self, engine: usize, actions: Vec<EngineAction>) {
        for action in actions {
            match action {
                EngineAction::Stream(owner, news) => self.send_stream_news(engine, owner, news),
                EngineAction::Fetch { boot, version } => {
                    let fetch = Fetch {
                        engine,
                        boot,
                        version,
                    };
                    let done = self.store.add(self.now, fetch);
                    self.end_fetches(done);
                }
                EngineAction::Answered(order, answer) => {
                    let answer = match answer {
                        EngineAnswer::Accepted => OrderAnswer::Accepted,
                        EngineAnswer::Fenced(reply) => OrderAnswer::Fenced(reply),
                    };
                    self.answer_order(engine, &order, answer);
                }
                EngineAction::InForce(version) => self.on_in_force(engine, version),
            }
        }
        self.schedule_wake(engine);
    }

    fn answer_order(&mut self, engine: usize, order: &EngineOrder, answer: OrderAnswer) {
        if self.is_baseline() {
            return;
        }
        let news = ControlEvent::OrderAnswered {
            server: self.engines[engine].server.id.clone(),
            fence: order.fence,
            answer,
        };
        let one_way = self.scenario.one_way;
        self.after(one_way, Event::ControlNews(news));
    }

    fn send_stream_news(&mut self, engine: usize, owner: StreamOwner, news: StreamNews) {
        let node = match owner {
            StreamOwner::Rollout(_) | StreamOwner::Baseline { .. } => {
                if let StreamNews::Chunk(tokens, _) = &news {
                    self.meter.rollout_tokens(self.now, tokens.len());
                }
                ROLLOUT_NODE
            }
            StreamOwner::Live { call, .. } => match self.live.calls.get(&call) {
                Some(call) => call.node,
                None => return,
            },
        };
        let latency = self.latency(node, engine);
        self.after(latency, Event::StreamNews(owner, news));
    }

    fn schedule_wake(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        let Some(at) = host.next_wake() else {
            return;
        };
        if host.wake.is_some_and(|wake| wake == at) {
            return;
        }
        host.wake = Some(at);
        self.queue.add(at.max(self.now), Event::EngineWake(engine));
    }

    pub(super) fn on_store_due(&mut self) {
        let done = self.store.advance(self.now);
        self.end_fetches(done);
    }

    fn end_fetches(&mut self, done: Vec<Fetch>) {
        if let Some(at) = self.store.next_end() {
            self.queue.add(at, Event::StoreDue);
        }
        for fetch in done {
            if self.engines[fetch.engine].boot == fetch.boot {
                let input = EngineInput::WeightsFetched {
                    version: fetch.version,
                    succeeded: true,
                };
                self.engine_input(fetch.engine, input);
            }
        }
    }

    fn on_in_force(&mut self, engine: usize, version: Option<WeightVersion>) {
        if self.is_baseline() {
            self.on_baseline_in_force(engine, version);
        }
        let newest = self.trainer.version();
        let has_newest =
            |engine: &mut Engine| engine.core().is_none_or(|core| core.holds_version(newest));
        if version == Some(newest) && self.engines.iter_mut().all(has_newest) {
            self.on_all_swapped();
        }
    }

    pub(super) fn schedule_crash(&mut self, engine: usize) {
        let mean = self.scenario.bench.engines.mean_time_between_crashes;
        let delay = exponential(&mut self.crashes[engine], mean);
        self.after(delay, Event::Crash(engine));
    }

    pub(super) fn crash(&mut self, engine: usize) {
        let actions = self.engines[engine].crash();
        self.carry_out(engine, actions);
        let down = self.scenario.bench.engines.down_time;
        self.after(down.max(Duration::from_millis(1)), Event::Restart(engine));
    }

    pub(super) fn restart(&mut self, engine: usize) {
        self.engines[engine].start(self.now);
        self.schedule_crash(engine);
        if self.is_baseline() {
            self.order_newest(engine);
        }
    }
}
