//! A model engine as a process: [`EngineCore`] behind calls.
//!
//! Owns the core, the streams that are open and the switches of scenarios; `fetches` gets the weights
//! that the core is ordered to take.

use super::fence::OrderAnswer;
use super::fetches::{Fetched, Fetches};
use super::{EngineCore, EngineFault, EngineInput, EngineOutput, EngineSettings};
use crate::events::Event;
use crate::process::{Answer, Call, Message, Process, ProcessFault, ProcessInput, ProcessOutput};
use crate::wiring::{InboundCall, Start, Timers, failed, not_run, record};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{EngineCompletionRequest, EngineOrder, EngineState};

/// Retry-after of a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The process.
pub struct EngineProcess {
    core: EngineCore,
    start: Start,
    streams: BTreeMap<String, InboundCall>,
    fetches: Fetches,
    /// States that were read earlier and are sent late.
    late_answers: Timers<(InboundCall, Box<EngineState>)>,
    frozen_until: Option<Instant>,
    held: VecDeque<ProcessInput>,
    late_states: (u32, Duration),
    answers_to_lose: u32,
}

impl EngineProcess {
    /// An engine that starts at `now`.
    pub fn new(now: Instant, settings: EngineSettings, boot_id: u64) -> Self {
        Self {
            fetches: Fetches::new(&settings.model, boot_id),
            core: EngineCore::new(now, settings, boot_id),
            start: Start::new(now, boot_id),
            streams: BTreeMap::new(),
            late_answers: Timers::default(),
            frozen_until: None,
            held: VecDeque::new(),
            late_states: (0, Duration::ZERO),
            answers_to_lose: 0,
        }
    }

    fn is_frozen(&self, now: Instant) -> bool {
        self.frozen_until.is_some_and(|until| now < until)
    }

    fn handle(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        match input {
            ProcessInput::Wake => self.drive(now, EngineInput::Tick, out),
            ProcessInput::Message { from, message } => self.on_message(now, from, message, out),
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Fault(fault) => self.on_fault(now, fault, out),
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<ProcessOutput>,
    ) {
        match message {
            Message::Call { id, call } => self.on_call(now, InboundCall { from, id }, call, out),
            Message::Answer { id, answer } => {
                let ended = self.fetches.on_answer(now, id, &answer);
                self.end_fetch(now, ended, out);
            }
            Message::HangUp { id } => self.on_hang_up(now, InboundCall { from, id }, out),
            Message::Consensus { .. }
            | Message::GroupRequest { .. }
            | Message::GroupReply { .. } => {}
        }
    }

    fn on_call(
        &mut self,
        now: Instant,
        caller: InboundCall,
        call: Call,
        out: &mut Vec<ProcessOutput>,
    ) {
        match call {
            Call::Generate(request) => self.generate(now, caller, request, out),
            Call::Cancel { request_id } => {
                self.drive(now, EngineInput::Cancel { request_id }, out);
                self.answer(caller, Answer::Done, out);
            }
            Call::Order(order) => self.order(now, caller, order, out),
            Call::State => self.state(now, caller, out),
            Call::Load => {
                let load = self.core.load(now);
                self.answer(caller, Answer::Load(load), out);
            }
            Call::CacheEvents { after } => {
                let events = self.core.cache_events(now, after);
                self.answer(caller, Answer::CacheEvents(events), out);
            }
            Call::FetchWeights { version, .. } => {
                let answer = if self.core.holds_version(version) {
                    Answer::Done
                } else {
                    not_run("version_not_held", None)
                };
                self.answer(caller, answer, out);
            }
            _ => caller.answer(not_run("no_such_path", None), out),
        }
    }

    fn generate(
        &mut self,
        now: Instant,
        caller: InboundCall,
        request: EngineCompletionRequest,
        out: &mut Vec<ProcessOutput>,
    ) {
        let started = Event::AttemptStarted {
            request: request.request_id.clone(),
            prompt_hash: hash_tokens(&request.prompt),
            seed: request.seed,
            resumed_tokens: request.resume.len() as u32,
        };
        self.streams.insert(request.request_id.clone(), caller);
        let mut outputs = Vec::new();
        self.core
            .step(now, EngineInput::Submit(request), &mut outputs);
        let mut started = Some(started);
        for output in outputs {
            if let EngineOutput::Started { .. } = output {
                out.extend(started.take().map(ProcessOutput::Record));
            }
            self.carry_out(now, output, out);
        }
    }

    fn order(
        &mut self,
        now: Instant,
        caller: InboundCall,
        order: EngineOrder,
        out: &mut Vec<ProcessOutput>,
    ) {
        let fence = order.fence;
        let mut outputs = Vec::new();
        self.core.step(now, EngineInput::Order(order), &mut outputs);
        for output in outputs {
            if let EngineOutput::OrderAnswered { order, judgement } = &output
                && order.fence == fence
            {
                let answer = match judgement.answer {
                    OrderAnswer::Accepted => Answer::OrderAccepted,
                    OrderAnswer::Fenced(reply) => Answer::OrderFenced(reply),
                };
                self.answer(caller, answer, out);
            }
            self.carry_out(now, output, out);
        }
    }

    fn state(&mut self, now: Instant, caller: InboundCall, out: &mut Vec<ProcessOutput>) {
        let state = self.core.state();
        let (late, by) = self.late_states;
        if late > 0 {
            self.late_states.0 -= 1;
            self.late_answers.set(now + by, (caller, Box::new(state)));
        } else {
            self.answer(caller, Answer::State(state), out);
        }
    }

    /// Answers, unless a switch says that this answer is lost.
    fn answer(&mut self, caller: InboundCall, answer: Answer, out: &mut Vec<ProcessOutput>) {
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
        } else {
            caller.answer(answer, out);
        }
    }

    fn on_hang_up(&mut self, now: Instant, caller: InboundCall, out: &mut Vec<ProcessOutput>) {
        let attempt = self.streams.iter().find(|(_, from)| **from == caller);
        if let Some(request_id) = attempt.map(|(request_id, _)| request_id.clone()) {
            self.drive(now, EngineInput::Cancel { request_id }, out);
        }
    }

    fn on_fault(&mut self, now: Instant, fault: ProcessFault, out: &mut Vec<ProcessOutput>) {
        match fault {
            ProcessFault::Engine(fault) => {
                if let EngineFault::Freeze(duration) = fault {
                    self.frozen_until = Some(now + duration);
                }
                let name = fault.as_str().to_owned();
                record(Event::FaultInjected { fault: name }, out);
                self.drive(now, EngineInput::Fault(fault), out);
            }
            ProcessFault::LateStates { count, by } => self.late_states = (count, by),
            ProcessFault::LoseAnswers { count } => self.answers_to_lose = count,
            ProcessFault::Leaving(_)
            | ProcessFault::Machine { .. }
            | ProcessFault::CutAnswers { .. } => {}
        }
    }

    fn drive(&mut self, now: Instant, input: EngineInput, out: &mut Vec<ProcessOutput>) {
        let mut outputs = Vec::new();
        self.core.step(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(now, output, out);
        }
    }

    /// Passes one output of the core on.
    fn carry_out(&mut self, now: Instant, output: EngineOutput, out: &mut Vec<ProcessOutput>) {
        match output {
            EngineOutput::Started { .. } => {}
            EngineOutput::RefusedNotRun { request_id, reason } => {
                if let Some(caller) = self.streams.remove(&request_id) {
                    caller.answer(not_run(reason, Some(RETRY_AFTER)), out);
                }
                let request = request_id;
                record(Event::RefusedNotRun { request }, out);
            }
            EngineOutput::Event { request_id, event } => {
                if let Some(caller) = self.streams.get(&request_id) {
                    caller.answer(Answer::Stream(event), out);
                }
            }
            EngineOutput::Finished { sequence } => {
                self.streams.remove(&sequence.request_id);
                let event = Event::AttemptFinished {
                    prompt_hash: sequence.prompt_hash,
                    seed: sequence.seed,
                    tokens_hash: hash_tokens(&sequence.tokens),
                    token_count: sequence.tokens.len() as u32,
                    request: sequence.request_id,
                };
                record(event, out);
            }
            EngineOutput::Dropped { request_id, reason } => {
                if let Some(caller) = self.streams.remove(&request_id) {
                    caller.answer(failed(reason.as_str()), out);
                }
                let (request, reason) = (request_id, reason.as_str().to_owned());
                record(Event::AttemptDropped { request, reason }, out);
            }
            EngineOutput::OrderAnswered { order, judgement } => record(
                Event::OrderAnswered {
                    epoch: order.fence.epoch.0,
                    sequence: order.fence.sequence.0,
                    accepted: judgement.answer == OrderAnswer::Accepted,
                    repeated: judgement.repeated,
                },
                out,
            ),
            EngineOutput::VersionInForce(version) => record(Event::VersionInForce { version }, out),
            EngineOutput::FetchWeights { version, source } => {
                let ended = self.fetches.begin(now, version, &source, out);
                self.end_fetch(now, ended, out);
            }
        }
    }

    fn end_fetch(&mut self, now: Instant, ended: Option<Fetched>, out: &mut Vec<ProcessOutput>) {
        if let Some(Fetched { version, succeeded }) = ended {
            let fetched = EngineInput::WeightsFetched { version, succeeded };
            self.drive(now, fetched, out);
        }
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        for ended in self.fetches.on_wake(now, out) {
            self.end_fetch(now, Some(ended), out);
        }
        while let Some((caller, state)) = self.late_answers.take_due(now) {
            caller.answer(Answer::State(*state), out);
        }
    }
}

impl Process for EngineProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.start.record_once(out);
        if self.is_frozen(now) && !matches!(input, ProcessInput::Fault(_)) {
            if input != ProcessInput::Wake {
                self.held.push_back(input);
            }
            return;
        }
        self.frozen_until = self.frozen_until.filter(|until| now < *until);
        self.run_timers(now, out);
        while let Some(held) = self.held.pop_front() {
            self.handle(now, held, out);
        }
        self.handle(now, input, out);
    }

    fn next_wake(&self) -> Option<Instant> {
        let first = self.start.next_wake().or(self.frozen_until);
        if first.is_some() {
            return first;
        }
        [
            self.core.next_wake(),
            self.fetches.next_wake(),
            self.late_answers.next(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
