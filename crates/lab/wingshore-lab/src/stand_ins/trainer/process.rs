//! A trainer as a process: submits prompts ahead, pulls steps, trains for a while, publishes versions
//! and acknowledges. It checks nothing itself; it records what it received.
//!
//! Owns the call under way; what it has noted is on its [`TrainerDisk`] and outlives it.

use super::progress::Progress;
use super::prompts::{delivered, numbers_of, prompt_of};
use super::settings::TrainerSettings;
use crate::events::Event;
use crate::process::{Answer, Call, CallId, Message, Process, ProcessInput, ProcessOutput};
use crate::wiring::{CallNumbers, Start, Timers, hang_up, record, send_call};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingshore_types::api::{
    AcknowledgeBody, BatchBody, PublishBody, PullBody, SubmitReply, SubmitRequest,
};
use wingshore_types::{Instant, PoolId, SampleNumber, StepId, TrainerId, WeightVersion};

/// Backoff before a call is sent again.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// How much longer than the pull itself a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Codes after which asking again cannot help.
const FINAL_CODES: [&str; 5] = [
    "wrong_step",
    "wrong_trainer",
    "invalid_request",
    "conflict",
    "refused",
];

/// Where a trainer keeps what it has noted; handed to it at each start.
#[derive(Clone, Default)]
pub struct TrainerDisk(Arc<Mutex<Progress>>);

impl TrainerDisk {
    /// A disk with what was noted before.
    pub fn new(progress: Progress) -> Self {
        Self(Arc::new(Mutex::new(progress)))
    }

    /// What is noted.
    pub fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Submit(StepId),
    Pull {
        began: Instant,
    },
    Train {
        began: Instant,
    },
    Store(WeightVersion),
    Publish(WeightVersion),
    Acknowledge,
    /// Refused for good, or all done after the word to stop.
    Over,
}

/// Something to do later.
#[derive(Clone, Copy, Debug)]
enum Later {
    /// Send the current call.
    Send,
    /// Give this call up and send it again.
    GiveUp(CallId),
    /// The step is trained.
    Trained,
}

pub struct TrainerProcess {
    settings: TrainerSettings,
    disk: TrainerDisk,
    start: Start,
    numbers: CallNumbers,
    activity: Activity,
    submitted_through: StepId,
    waiting: Option<CallId>,
    timers: Timers<Later>,
    is_stopping: bool,
    /// The code by which the node refused a call for good.
    refused: Option<String>,
}

impl TrainerProcess {
    /// A trainer that starts at `now` with what it noted before.
    pub fn new(now: Instant, settings: TrainerSettings, disk: TrainerDisk, boot_id: u64) -> Self {
        let next_step = disk.progress().next_step;
        Self {
            settings,
            disk,
            start: Start::new(now, boot_id),
            numbers: CallNumbers::new(boot_id),
            activity: Activity::Submit(next_step),
            submitted_through: next_step,
            waiting: None,
            timers: Timers::default(),
            is_stopping: false,
            refused: None,
        }
    }

    fn step_number(&self) -> StepId {
        self.disk.progress().next_step
    }

    fn submitted_ever(&self) -> StepId {
        let batch = self.settings.training.batch;
        self.disk.progress().submitted_through(batch)
    }

    fn note(&self, event: Event, out: &mut Vec<ProcessOutput>) {
        self.disk.progress().follow(&event);
        record(event, out);
    }

    /// Goes on to the next step: submits ahead, or pulls.
    fn next_step(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let step = self.step_number();
        let wanted = step.0 + self.settings.training.steps_ahead;
        self.activity = if !self.is_stopping && self.submitted_through.0 <= wanted {
            Activity::Submit(self.submitted_through)
        } else if self.is_stopping && step >= self.submitted_ever() {
            out.push(ProcessOutput::Exit);
            Activity::Over
        } else if self.disk.progress().trained == Some(step) {
            // It may have been acknowledged already, with the answer lost.
            return self.publish(now, out);
        } else {
            Activity::Pull { began: now }
        };
        self.send(now, out);
    }

    fn send(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let Some((to, call)) = self.current_call() else {
            return;
        };
        let id = self.numbers.draw();
        send_call(to, id, call, out);
        self.waiting = Some(id);
        let limit = CALL_TIMEOUT + self.settings.training.pull_wait;
        self.timers.set(now + limit, Later::GiveUp(id));
    }

    fn current_call(&self) -> Option<(SocketAddr, Call)> {
        let settings = &self.settings;
        let pool = PoolId::new(&settings.pool);
        let trainer = TrainerId::new(&settings.name);
        let step = self.step_number().0;
        let call = match self.activity {
            Activity::Submit(step) => {
                let numbers = numbers_of(&settings.training, step).map(SampleNumber);
                let prompts = numbers.map(|number| prompt_of(&settings.training, number));
                let prompts = prompts.collect();
                let body = SubmitRequest { prompts };
                Call::Submit { pool, body }
            }
            Activity::Pull { .. } => {
                let body = PullBody {
                    trainer,
                    weight_version: self.disk.progress().version,
                    count: settings.training.batch,
                    wait_ms: settings.training.pull_wait.as_millis() as u64,
                };
                Call::Pull { pool, step, body }
            }
            Activity::Store(version) => {
                let model = settings.model.clone();
                let call = Call::StoreWeights { model, version };
                return Some((settings.weight_store, call));
            }
            Activity::Publish(version) => {
                let body = PublishBody { version };
                Call::Publish { pool, body }
            }
            Activity::Acknowledge => {
                let body = AcknowledgeBody { trainer };
                Call::Acknowledge { pool, step, body }
            }
            Activity::Train { .. } | Activity::Over => return None,
        };
        Some((settings.node, call))
    }

    fn on_answer(
        &mut self,
        now: Instant,
        id: CallId,
        answer: Answer,
        out: &mut Vec<ProcessOutput>,
    ) {
        if self.waiting != Some(id) {
            return;
        }
        self.waiting = None;
        match (self.activity, answer) {
            (Activity::Submit(step), Answer::Submitted(reply)) => {
                self.on_submitted(step, reply, out);
                self.next_step(now, out);
            }
            (Activity::Pull { began }, Answer::Batch { body, body_hash }) => {
                self.on_batch(now, began, &body, body_hash, out);
            }
            (Activity::Store(version), Answer::Done) => {
                self.activity = Activity::Publish(version);
                self.send(now, out);
            }
            (Activity::Publish(version), Answer::Done) => {
                self.note(Event::Published { version }, out);
                self.activity = Activity::Acknowledge;
                self.send(now, out);
            }
            (Activity::Acknowledge, Answer::Done) => {
                let step = self.step_number();
                self.note(Event::Acknowledged { step }, out);
                self.next_step(now, out);
            }
            (_, Answer::Refused { code, .. }) if FINAL_CODES.contains(&code.as_str()) => {
                self.activity = Activity::Over;
                self.refused = Some(code);
            }
            _ => self.timers.set(now + RETRY_BACKOFF, Later::Send),
        }
    }

    fn on_submitted(&mut self, step: StepId, reply: SubmitReply, out: &mut Vec<ProcessOutput>) {
        self.submitted_through = StepId(step.0 + 1);
        let numbers = numbers_of(&self.settings.training, step);
        let event = Event::Submitted {
            samples: numbers.map(SampleNumber).collect(),
            added: reply.added,
            known: reply.known,
        };
        self.note(event, out);
    }

    fn on_batch(
        &mut self,
        now: Instant,
        began: Instant,
        batch: &BatchBody,
        body_hash: u64,
        out: &mut Vec<ProcessOutput>,
    ) {
        let step = self.step_number();
        let (trainer_version, repeated) = {
            let progress = self.disk.progress();
            (progress.version, progress.open_batches.contains_key(&step))
        };
        let event = Event::BatchDelivered {
            pool: self.settings.pool.clone(),
            step,
            trainer_version,
            staleness_bound: self.settings.staleness_bound,
            asked: self.settings.training.batch,
            body_hash,
            repeated,
            waited_us: now.since(began).as_micros() as u64,
            samples: batch
                .samples
                .iter()
                .map(|sample| delivered(&self.settings.training, sample))
                .collect(),
        };
        self.note(event, out);
        self.activity = Activity::Train { began: now };
        let step_time = self.settings.training.step_time;
        self.timers.set(now + step_time, Later::Trained);
    }

    /// Publishes the version that this step completes, unless that was done before a restart.
    fn publish(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let steps = self.settings.training.steps_per_version.max(1);
        let version = WeightVersion((self.step_number().0 + 1) / steps);
        self.activity = if version > self.disk.progress().version {
            Activity::Store(version)
        } else {
            Activity::Acknowledge
        };
        self.send(now, out);
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        while let Some(later) = self.timers.take_due(now) {
            match later {
                Later::Send => self.send(now, out),
                Later::GiveUp(id) if self.waiting == Some(id) => {
                    self.waiting = None;
                    let to = self.current_call().map(|(to, _)| to);
                    hang_up(to.unwrap_or(self.settings.node), id, out);
                    self.timers.set(now + RETRY_BACKOFF, Later::Send);
                }
                Later::GiveUp(_) => {}
                Later::Trained => {
                    if let Activity::Train { began } = self.activity {
                        let step = self.step_number();
                        let busy_us = now.since(began).as_micros() as u64;
                        self.note(Event::Trained { step, busy_us }, out);
                        self.publish(now, out);
                    }
                }
            }
        }
    }
}

impl Process for TrainerProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        if self.start.record_once(out) {
            self.send(now, out);
        }
        self.run_timers(now, out);
        match input {
            ProcessInput::Message {
                message: Message::Answer { id, answer },
                ..
            } => self.on_answer(now, id, answer, out),
            ProcessInput::Stop => self.is_stopping = true,
            ProcessInput::Message { .. } | ProcessInput::Fault(_) | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.start.next_wake().or(self.timers.next())
    }

    fn failure(&self) -> Option<&str> {
        self.refused.as_deref()
    }
}
