//! Live requests: the product's router with its retry budget, or round robin with two retries.

use super::{Event, ToEngine, World};
use crate::bench::engines::{StreamNews, StreamOwner};
use crate::bench::live::{LiveCall, engine_request, route_request};
use wingshore_rollout::StreamEnd;
use wingshore_routing::AttemptOutcome;
use wingshore_types::{ServerId, Verdict};

/// Attempts that the baseline makes at one request.
const BASELINE_ATTEMPTS: u32 = 3;

impl World {
    pub(super) fn on_stream_news(&mut self, owner: StreamOwner, news: StreamNews) {
        match owner {
            StreamOwner::Rollout(attempt) => self.on_rollout_news(attempt, news),
            StreamOwner::Baseline { number, attempt } => {
                self.on_baseline_news(number, attempt, news);
            }
            StreamOwner::Live { call, attempt } => self.on_live_news(call, attempt, news),
        }
    }

    /// `live` counts live nodes only.
    pub(super) fn schedule_arrival(&mut self, live: usize) {
        let at = self.arrivals[live].next(self.now, &self.scenario.bench.live);
        self.queue.add(at, Event::LiveArrival(live));
    }

    pub(super) fn on_live_arrival(&mut self, live: usize) {
        self.schedule_arrival(live);
        let first_live_node = 1;
        let number = self.live.arrive(self.now, first_live_node + live);
        self.meter.live_arrived(self.now);
        self.attempt_live(number);
    }

    fn attempt_live(&mut self, number: u64) {
        let Some(mut call) = self.live.calls.remove(&number) else {
            return;
        };
        let Some(engine) = self.choose_for_live(&mut call) else {
            return match call.attempt {
                0 => self.meter.live_refused(call.arrived),
                _ => self.meter.live_failed(call.arrived),
            };
        };
        call.attempt += 1;
        call.started = self.now;
        call.server = Some(self.engines[engine].server.id.clone());
        let bench = &self.scenario.bench.live;
        let request = engine_request(number, &call, &self.scenario.model, bench, self.now);
        let owner = StreamOwner::Live {
            call: number,
            attempt: call.attempt,
        };
        let latency = self.latency(call.node, engine);
        self.live.calls.insert(number, call);
        let message = ToEngine::Submit(owner, Box::new(request));
        self.after(latency, Event::ToEngine(engine, message));
    }

    fn choose_for_live(&mut self, call: &mut LiveCall) -> Option<usize> {
        if self.is_baseline() {
            let node = &mut self.nodes[call.node];
            node.next_engine = (node.next_engine + 1) % self.engines.len();
            return Some(node.next_engine);
        }
        let request = route_request(call, &self.scenario.service, &self.scenario.bench.live);
        let router = &mut self.nodes[call.node].router;
        let admitted = router.admit(self.now, &request).ok()?;
        call.ticket = Some(admitted.ticket);
        self.engine_index.get(&admitted.server).copied()
    }

    fn on_live_news(&mut self, number: u64, attempt: u32, news: StreamNews) {
        let now = self.now;
        let Some(call) = self.live.calls.get_mut(&number) else {
            return;
        };
        if call.attempt != attempt {
            return;
        }
        match news {
            StreamNews::Chunk(..) => {
                call.first.get_or_insert(now);
            }
            StreamNews::Finished(..) => self.answer_live(number),
            StreamNews::Ended(end) => self.on_live_ended(number, end),
        }
    }

    fn answer_live(&mut self, number: u64) {
        let Some(mut call) = self.live.calls.remove(&number) else {
            return;
        };
        let latency = self.now.since(call.started);
        self.finish_ticket(&mut call, AttemptOutcome::Success { latency });
        self.meter.live_answered(self.now, call.arrived, call.first);
    }

    fn on_live_ended(&mut self, number: u64, end: StreamEnd) {
        let Some(mut call) = self.live.calls.remove(&number) else {
            return;
        };
        let (outcome, verdict) = match end {
            StreamEnd::Refused => (AttemptOutcome::Refused, Verdict::NotRun),
            StreamEnd::Failed(verdict) => (AttemptOutcome::Failed(verdict), verdict),
        };
        self.finish_ticket(&mut call, outcome);
        let failed_on: Option<ServerId> = call.server.take();
        call.failed_on.extend(failed_on);
        if !self.may_repeat_live(&call, verdict) {
            return match verdict {
                Verdict::NotRun => self.meter.live_refused(call.arrived),
                _ => self.meter.live_failed(call.arrived),
            };
        }
        call.first = None;
        self.live.calls.insert(number, call);
        self.attempt_live(number);
    }

    fn may_repeat_live(&mut self, call: &LiveCall, verdict: Verdict) -> bool {
        if self.is_baseline() {
            let deadline = call.arrived + self.scenario.bench.live.deadline;
            return call.attempt < BASELINE_ATTEMPTS && self.now < deadline;
        }
        let request = route_request(call, &self.scenario.service, &self.scenario.bench.live);
        let router = &mut self.nodes[call.node].router;
        router.may_retry(self.now, &request, verdict)
    }

    fn finish_ticket(&mut self, call: &mut LiveCall, outcome: AttemptOutcome) {
        if let Some(ticket) = call.ticket.take() {
            let router = &mut self.nodes[call.node].router;
            router.on_finished(self.now, ticket, outcome);
        }
    }
}
