//! A live server as a process: runs charges and look-ups, records each execution, and refuses by its
//! own word when it is full or leaving.

use crate::events::Event;
use crate::hashing::hash_bytes;
use crate::process::{
    Answer, Call, LiveCall, Message, Process, ProcessFault, ProcessInput, ProcessOutput,
};
use crate::stand_ins::live_server::LiveServerSettings;
use crate::stand_ins::live_server::core::LiveServerCore;
use crate::wiring::{InboundCall, Start, Timers, not_run, record};
use std::time::Duration;
use wingshore_types::Instant;

/// Retry-after of a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Status of an answer.
const OK: u16 = 200;

/// The process.
pub struct LiveServerProcess {
    core: LiveServerCore,
    start: Start,
    running: Timers<(InboundCall, LiveCall)>,
    answers_to_lose: u32,
    answers_to_cut: u32,
}

impl LiveServerProcess {
    /// A live server that starts at `now`.
    pub fn new(now: Instant, name: &str, settings: LiveServerSettings, boot_id: u64) -> Self {
        Self {
            core: LiveServerCore::new(name, settings, boot_id),
            start: Start::new(now, boot_id),
            running: Timers::default(),
            answers_to_lose: 0,
            answers_to_cut: 0,
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
            Call::Load => {
                let since_start = Duration::from_nanos(now.0);
                let report = self.core.load_report(since_start);
                caller.answer(Answer::Load(report), out);
            }
            Call::Live(call) => match self.core.admit() {
                Ok(()) => {
                    let time = self.core.service_time();
                    self.running.set(now + time, (caller, call));
                }
                Err(code) => {
                    let request = call.request;
                    record(Event::RefusedNotRun { request }, out);
                    caller.answer(not_run(code, Some(RETRY_AFTER)), out);
                }
            },
            _ => caller.answer(not_run("no_such_path", None), out),
        }
    }

    fn end(&mut self, caller: InboundCall, call: LiveCall, out: &mut Vec<ProcessOutput>) {
        let mut body = self.core.answer(&call.request, &call.path, call.asked);
        self.core.release();
        let executed = Event::Executed {
            request: call.request,
            key: call.key,
            charge: call.charge,
            status: OK,
            answer_hash: hash_bytes(&body),
        };
        record(executed, out);
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return;
        }
        let whole = self.answers_to_cut == 0;
        if !whole {
            self.answers_to_cut -= 1;
            body.truncate(body.len() / 2);
        }
        let answer = Answer::Live {
            status: OK,
            body,
            whole,
        };
        caller.answer(answer, out);
    }

    fn on_fault(&mut self, fault: &ProcessFault, out: &mut Vec<ProcessOutput>) {
        match fault {
            ProcessFault::Leaving(leaving) => {
                self.core.set_leaving(*leaving);
                let server = self.core.name().to_owned();
                let event = if *leaving {
                    Event::Leaving { server }
                } else {
                    Event::Staying { server }
                };
                record(event, out);
            }
            ProcessFault::LoseAnswers { count } => self.answers_to_lose = *count,
            ProcessFault::CutAnswers { count } => self.answers_to_cut = *count,
            _ => {}
        }
    }
}

impl Process for LiveServerProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.start.record_once(out);
        while let Some((caller, call)) = self.running.take_due(now) {
            self.end(caller, call, out);
        }
        match input {
            ProcessInput::Message {
                from,
                message: Message::Call { id, call },
            } => self.on_call(now, InboundCall { from, id }, call, out),
            ProcessInput::Fault(fault) => self.on_fault(&fault, out),
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Message { .. } | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.start.next_wake().or(self.running.next())
    }
}
