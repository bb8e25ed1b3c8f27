//! What all processes need: timers, numbers of calls, answers.

use crate::events::Event;
use crate::process::{Answer, Call, CallId, Message, ProcessOutput};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, Verdict};

/// Bits of a call's number that count within one boot.
const CALL_BITS: u32 = 32;

/// Things to do at certain times, in the order of time and then of being set.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    waiting: BTreeMap<(Instant, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            set: 0,
        }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Instant, what: T) {
        self.set += 1;
        self.waiting.insert((at, self.set), what);
    }

    /// Takes the earliest that is due.
    pub fn take_due(&mut self, now: Instant) -> Option<T> {
        let (at, _) = *self.waiting.first_key_value()?.0;
        if at > now {
            return None;
        }
        self.waiting.pop_first().map(|(_, what)| what)
    }

    /// When the earliest is due.
    pub fn next(&self) -> Option<Instant> {
        self.waiting.first_key_value().map(|((at, _), _)| *at)
    }
}

/// Draws numbers of calls that no earlier boot of the process has used.
#[derive(Clone, Copy, Debug)]
pub struct CallNumbers {
    next: u64,
}

impl CallNumbers {
    /// The numbers of one boot.
    pub fn new(boot_id: u64) -> Self {
        Self {
            next: boot_id << CALL_BITS,
        }
    }

    /// The next number.
    pub fn draw(&mut self) -> CallId {
        self.next = self.next.wrapping_add(1);
        CallId(self.next)
    }
}

/// The start of a process, to be recorded at its first step.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    boot_id: u64,
    at: Option<Instant>,
}

impl Start {
    /// A process that starts at `now`; `boot_id` is drawn at each start.
    pub fn new(now: Instant, boot_id: u64) -> Self {
        let at = Some(now);
        Self { boot_id, at }
    }

    /// Records the start, the first time; says whether it was that.
    pub fn record_once(&mut self, out: &mut Vec<ProcessOutput>) -> bool {
        let is_first = self.at.take().is_some();
        if is_first {
            let boot_id = self.boot_id;
            record(Event::Started { boot_id }, out);
        }
        is_first
    }

    /// When the first step is wanted, until it has come.
    pub fn next_wake(&self) -> Option<Instant> {
        self.at
    }
}

/// A call that another process made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InboundCall {
    /// Who made it.
    pub from: SocketAddr,
    /// Its number there.
    pub id: CallId,
}

impl InboundCall {
    /// Sends a part or the whole of the answer.
    pub fn answer(self, answer: Answer, out: &mut Vec<ProcessOutput>) {
        let message = Message::Answer {
            id: self.id,
            answer,
        };
        out.push(ProcessOutput::Send {
            to: self.from,
            message,
        });
    }
}

/// Makes a call.
pub fn send_call(to: SocketAddr, id: CallId, call: Call, out: &mut Vec<ProcessOutput>) {
    let message = Message::Call { id, call };
    out.push(ProcessOutput::Send { to, message });
}

/// Gives a call up.
pub fn hang_up(to: SocketAddr, id: CallId, out: &mut Vec<ProcessOutput>) {
    let message = Message::HangUp { id };
    out.push(ProcessOutput::Send { to, message });
}

/// Records an event.
pub fn record(event: Event, out: &mut Vec<ProcessOutput>) {
    out.push(ProcessOutput::Record(event));
}

/// Why a call is not taken; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotTaken {
    /// Stable code.
    pub code: &'static str,
    pub retry_after: Option<Duration>,
}

impl NotTaken {
    /// The answer that says so.
    pub fn answer(self) -> Answer {
        not_run(self.code, self.retry_after)
    }
}

/// A back end's own word that it did not run a call.
pub fn not_run(code: &str, retry_after: Option<Duration>) -> Answer {
    Answer::Refused {
        verdict: Verdict::NotRun,
        code: code.to_owned(),
        retry_after,
    }
}

/// An error after which nobody knows whether the call ran.
pub fn failed(code: &str) -> Answer {
    Answer::Refused {
        verdict: Verdict::MayHaveRun,
        code: code.to_owned(),
        retry_after: None,
    }
}
