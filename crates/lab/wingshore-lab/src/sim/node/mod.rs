//! A simulated node: the state machines of the real one, wired as its threads wire them.
//!
//! * `core`: what the parts share
//! * `settings`: settings
//! * `watch`: the copy of the configuration
//! * `probes`: probes of back ends, the machine list
//! * `upstream`: open calls to back ends
//! * `requests`, `forward`, `completion`: callers' requests
//! * `rollouts`: samples of pools
//! * `trainer_requests`: trainers' requests

mod completion;
mod core;
mod forward;
mod probes;
mod requests;
mod rollouts;
mod settings;
mod trainer_requests;
mod upstream;
mod watch;

pub use settings::{NodeFaults, SimNodeSettings};

use self::core::{GroupPurpose, NodeContext, NodeCore, UpstreamPurpose};
use crate::events::Event;
use crate::process::{Call, Message, Process, ProcessInput, ProcessOutput};
use crate::sim::client::{CallResult, GroupCalls};
use crate::wiring::{InboundCall, not_run, record};
use probes::{Probes, on_probe};
use requests::Requests;
use rollouts::PoolRollouts;
use std::net::SocketAddr;
use std::time::Duration;
use trainer_requests::TrainerRequests;
use upstream::{News, Upstream};
use watch::Watch;
use wingshore_types::Instant;

/// How long a planned stop waits for requests in flight.
const STOP_GRACE: Duration = Duration::from_secs(10);
/// How long nothing may be in flight before a stop believes it.
const STOP_QUIET: Duration = Duration::from_millis(100);
/// Between two checks whether a planned stop is over.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a planned stop waits for settlements beyond its grace.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// The process.
pub struct SimNode {
    core: NodeCore,
    groups: GroupCalls<GroupPurpose>,
    upstream: Upstream,
    parts: Parts,
    started_at: Option<Instant>,
    stop: Option<Stop>,
}

/// The parts that take inputs.
struct Parts {
    watch: Watch,
    probes: Probes,
    requests: Requests,
    rollouts: Vec<PoolRollouts>,
    trainer_requests: TrainerRequests,
}

/// A planned stop under way.
struct Stop {
    began: Instant,
    busy_at: Instant,
    next_check: Instant,
    is_over: bool,
}

impl SimNode {
    /// A node that starts at `now`.
    pub fn new(now: Instant, settings: SimNodeSettings, boot_id: u64) -> Self {
        let rollouts = (0..settings.pools.len())
            .map(|index| PoolRollouts::new(now, &settings, boot_id, index))
            .collect();
        Self {
            groups: GroupCalls::new(settings.replicas.clone(), boot_id),
            upstream: Upstream::new(boot_id),
            core: NodeCore::new(settings, boot_id),
            parts: Parts {
                watch: Watch::new(now),
                probes: Probes::new(now),
                requests: Requests::default(),
                rollouts,
                trainer_requests: TrainerRequests::default(),
            },
            started_at: Some(now),
            stop: None,
        }
    }

    fn finish_stop(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let Some(stop) = self.stop.as_mut().filter(|stop| !stop.is_over) else {
            return;
        };
        stop.next_check = now + STOP_POLL;
        if !(self.parts.requests.is_idle() && self.parts.trainer_requests.is_idle()) {
            stop.busy_at = now;
        }
        let grace = STOP_GRACE;
        let is_quiet = now.since(stop.busy_at) >= STOP_QUIET || now.since(stop.began) >= grace;
        let rollouts_done = self.parts.rollouts.iter().all(PoolRollouts::has_stopped);
        let settled =
            self.core.open_settlements == 0 || now.since(stop.began) >= grace + SETTLE_LIMIT;
        let at_once = self.core.settings.faults.stop_at_once;
        if at_once || (is_quiet && rollouts_done && settled) {
            stop.is_over = true;
            out.push(ProcessOutput::Exit);
        }
    }

    /// When the stop is checked again.
    fn stop_wake(&self) -> Option<Instant> {
        self.stop.as_ref().map(|stop| stop.next_check)
    }

    fn is_over(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.is_over)
    }
}

impl Process for SimNode {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        if self.started_at.take().is_some() {
            let boot_id = self.core.boot_id;
            record(Event::Started { boot_id }, out);
        }
        if input == ProcessInput::Stop && self.stop.is_none() {
            self.core.is_stopping = true;
            self.stop = Some(Stop {
                began: now,
                busy_at: now,
                next_check: now,
                is_over: false,
            });
        }
        let mut context = NodeContext {
            now,
            core: &mut self.core,
            groups: &mut self.groups,
            upstream: &mut self.upstream,
            out,
        };
        self.parts.on_wake(&mut context);
        if let ProcessInput::Message { from, message } = input {
            self.parts.on_message(&mut context, from, message);
        }
        self.parts.take_results(&mut context);
        self.finish_stop(now, out);
    }

    fn next_wake(&self) -> Option<Instant> {
        if self.started_at.is_some() || self.is_over() {
            return self.started_at;
        }
        let rollouts = self.parts.rollouts.iter().map(PoolRollouts::next_wake);
        rollouts
            .chain([
                self.groups.next_wake(),
                self.upstream.next_wake(),
                self.parts.watch.next_wake(),
                self.parts.probes.next_wake(),
                self.parts.requests.next_wake(),
                self.stop_wake(),
            ])
            .flatten()
            .min()
    }
}

impl Parts {
    fn on_wake(&mut self, context: &mut NodeContext<'_>) {
        context.groups.on_wake(context.now, context.out);
        while let Some((purpose, news)) = context.upstream.take_timed_out(context.now, context.out)
        {
            self.on_news(context, purpose, news);
        }
        self.requests.on_wake(context);
        self.watch.on_wake(context);
        self.probes.on_wake(context);
        for rollouts in &mut self.rollouts {
            rollouts.on_wake(context);
        }
    }

    fn on_message(&mut self, context: &mut NodeContext<'_>, from: SocketAddr, message: Message) {
        let groups = &mut context.groups;
        if groups.on_message(context.now, from, &message, context.out) {
            return;
        }
        match message {
            Message::Call { id, call } => {
                self.on_call(context, InboundCall { from, id }, call);
            }
            Message::Answer { id, answer } => {
                if let Some((purpose, news)) = context.upstream.on_answer(id, answer) {
                    self.on_news(context, purpose, news);
                }
            }
            Message::HangUp { id } => self.requests.on_hang_up(InboundCall { from, id }),
            Message::Consensus { .. }
            | Message::GroupRequest { .. }
            | Message::GroupReply { .. } => {}
        }
    }

    fn on_call(&mut self, context: &mut NodeContext<'_>, caller: InboundCall, call: Call) {
        match call {
            Call::Live(call) => self.requests.on_live(context, caller, call),
            Call::Complete(call) => self.requests.on_completion(context, caller, call),
            Call::Submit { .. }
            | Call::Pull { .. }
            | Call::Acknowledge { .. }
            | Call::Publish { .. } => self.trainer_requests.on_call(context, caller, call),
            _ => caller.answer(not_run("not_found", None), context.out),
        }
    }

    fn on_news(&mut self, context: &mut NodeContext<'_>, purpose: UpstreamPurpose, news: News) {
        match purpose {
            UpstreamPurpose::Attempt(caller, attempt) => {
                self.requests.on_news(context, caller, attempt, news);
            }
            UpstreamPurpose::Stream(pool, attempt) => {
                self.rollouts[pool].on_stream(context, attempt, news);
            }
            UpstreamPurpose::Score(pool, call) => {
                self.rollouts[pool].on_score(context, call, &news);
            }
            UpstreamPurpose::Probe(server, kind) => on_probe(context, &server, kind, news),
            UpstreamPurpose::Machines => self.probes.on_machines(context, news),
            UpstreamPurpose::Cancel => {}
        }
    }

    fn take_results(&mut self, context: &mut NodeContext<'_>) {
        loop {
            let results = context.groups.take_results();
            if results.is_empty() {
                return;
            }
            for (purpose, result) in results {
                self.on_result(context, purpose, result);
            }
            // A watch that was answered is followed by the next one at once.
            self.watch.on_wake(context);
        }
    }

    fn on_result(
        &mut self,
        context: &mut NodeContext<'_>,
        purpose: GroupPurpose,
        result: CallResult,
    ) {
        match purpose {
            GroupPurpose::Watch(sent_at) => self.watch.on_result(context, sent_at, result),
            GroupPurpose::Claim(caller) => self.requests.on_claim(context, caller, result),
            GroupPurpose::Settle => {
                let open = &mut context.core.open_settlements;
                *open = open.saturating_sub(1);
            }
            GroupPurpose::Rollout(pool, call) => {
                self.rollouts[pool].on_ledger(context, call, result);
            }
            GroupPurpose::Trainer(caller) => {
                self.trainer_requests.on_result(context, caller, result)
            }
        }
    }
}
