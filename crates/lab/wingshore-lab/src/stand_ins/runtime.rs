//! Runs a stand-in's process in real time.
//!
//! Owns the process behind a lock, the clock, and the calls that wait for its answers. Relies on
//! [`super::client`] for the calls that the process makes, one thread each, and on a thread that
//! calls [`Runtime::run`] to wake it.

use super::client::CallClient;
use super::{RefusedSnafu, StandInError};
use crate::event_log::{EventLog, now_us};
use crate::process::{Answer, Call, CallId, Message, Process, ProcessInput, ProcessOutput};
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::platform::EngineStreamEvent;

/// Longest sleep, so that a stop is seen soon.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// Whom a process answers: it tells its callers apart by the numbers of their calls.
const CALLER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Shows the time of day as it was at the start and the time that has passed since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: std::time::Instant,
    shown_at_start: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            started: std::time::Instant::now(),
            shown_at_start: Instant::ZERO + Duration::from_micros(now_us()),
        }
    }

    /// What it shows: nanoseconds since the Unix epoch.
    pub fn now(&self) -> Instant {
        self.shown_at_start + self.started.elapsed()
    }
}

/// A process in real time.
pub struct Runtime {
    process: Mutex<Box<dyn Process + Send>>,
    changed: Condvar,
    clock: Clock,
    client: CallClient,
    callers: Mutex<BTreeMap<CallId, Sender<Answer>>>,
    calls_received: AtomicU64,
    has_exited: AtomicBool,
    log: EventLog,
}

impl Runtime {
    /// Takes a process that was made at `clock`'s time.
    pub fn new(
        process: impl Process + Send + 'static,
        clock: Clock,
        client: CallClient,
        log: EventLog,
    ) -> Arc<Self> {
        Arc::new(Self {
            process: Mutex::new(Box::new(process)),
            changed: Condvar::new(),
            clock,
            client,
            callers: Mutex::default(),
            calls_received: AtomicU64::new(0),
            has_exited: AtomicBool::new(false),
            log,
        })
    }

    /// Wakes the process whenever it wants, until it exits. Its planned stop begins once `stop` is
    /// set.
    ///
    /// # Errors
    /// When the process cannot go on.
    pub fn run(self: &Arc<Self>, stop: &AtomicBool) -> Result<(), StandInError> {
        let mut is_stopping = false;
        while !self.has_exited.load(Ordering::SeqCst) {
            if !is_stopping && stop.load(Ordering::SeqCst) {
                is_stopping = true;
                self.give(ProcessInput::Stop);
            }
            let process = lock(&self.process);
            if let Some(code) = process.failure() {
                return RefusedSnafu { code }.fail();
            }
            let now = self.clock.now();
            let wake = process.next_wake();
            let sleep = wake.map_or(MAX_SLEEP, |at| at.since(now).min(MAX_SLEEP));
            if sleep.is_zero() {
                drop(process);
                self.give(ProcessInput::Wake);
            } else {
                let _woken = self.changed.wait_timeout(process, sleep);
            }
        }
        Ok(())
    }

    /// Gives the process a call. The receiver gets the answer, or its parts, as they come.
    pub fn receive(self: &Arc<Self>, call: Call) -> (CallId, Receiver<Answer>) {
        let id = CallId(self.calls_received.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = unbounded();
        lock(&self.callers).insert(id, sender);
        self.give_message(CALLER, Message::Call { id, call });
        (id, receiver)
    }

    /// Tells the process that the caller of a call has gone.
    pub fn hang_up(self: &Arc<Self>, id: CallId) {
        lock(&self.callers).remove(&id);
        self.give_message(CALLER, Message::HangUp { id });
    }

    /// Gives the process an input and does what it wants done.
    pub fn give(self: &Arc<Self>, input: ProcessInput) {
        let mut process = lock(&self.process);
        let mut outputs = Vec::new();
        process.step(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
        drop(process);
        self.changed.notify_one();
    }

    fn give_message(self: &Arc<Self>, from: SocketAddr, message: Message) {
        self.give(ProcessInput::Message { from, message });
    }

    /// Runs under the process's lock, so that logs and answers keep the order of the outputs.
    fn carry_out(self: &Arc<Self>, output: ProcessOutput) {
        match output {
            ProcessOutput::Record(event) => self.log.write(event),
            ProcessOutput::Exit => self.has_exited.store(true, Ordering::SeqCst),
            ProcessOutput::Send { to, message } => match message {
                Message::Call { id, call } => {
                    let runtime = Arc::clone(self);
                    thread::spawn(move || runtime.call(to, id, call));
                }
                Message::Answer { id, answer } => self.answer(id, answer),
                // The thread of a call that was given up ends by its own time limit.
                Message::HangUp { .. } => {}
                Message::Consensus { .. }
                | Message::GroupRequest { .. }
                | Message::GroupReply { .. } => {}
            },
        }
    }

    fn call(self: &Arc<Self>, to: SocketAddr, id: CallId, call: Call) {
        self.client.perform(to, call, |answer| {
            self.give_message(to, Message::Answer { id, answer });
        });
    }

    fn answer(&self, id: CallId, answer: Answer) {
        let mut callers = lock(&self.callers);
        let goes_on = matches!(answer, Answer::Stream(EngineStreamEvent::Chunk { .. }));
        if let Some(caller) = callers.get(&id) {
            // A caller that has gone is noticed when its answer is written.
            let _gone = caller.send(answer);
        }
        if !goes_on {
            callers.remove(&id);
        }
    }
}

fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
