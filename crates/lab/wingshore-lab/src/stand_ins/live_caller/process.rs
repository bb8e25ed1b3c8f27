//! Live callers as a process: charges, look-ups and streamed completions at a seeded rate, each on
//! its way to a final answer; keyed charges are sent again until they have one.

use super::plan::{CallPlan, PlannedCall};
use super::result::{CallResult, verdict_of};
use super::settings::LiveCallerSettings;
use crate::events::{CallKind, Event, ReceivedCompletion};
use crate::hashing::hash_bytes;
use crate::process::{
    Answer, Call, CallId, CompletionCall, LiveCall, Message, Process, ProcessInput, ProcessOutput,
};
use crate::wiring::{CallNumbers, Timers, hang_up, record, send_call};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::EngineStreamEvent;
use wingshore_types::{Generation, Instant, ServiceId, Verdict};

/// How much longer than the stated deadline a caller waits.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
/// How often a keyed charge without a final answer is sent again.
const RESENDS: u32 = 3;
/// Backoff before that.
const RESEND_BACKOFF: Duration = Duration::from_millis(200);
/// Status that stands for an error answer of the node.
const ERROR_STATUS: u16 = 503;

/// One planned call on its way to a final answer.
#[derive(Clone, Debug)]
struct Work {
    call: PlannedCall,
    name: String,
    key: Option<String>,
    resends: u32,
    /// What the latency counts from.
    since: Instant,
}

/// A call that was sent.
struct UnderWay {
    work: Work,
    request: String,
    sent_at: Instant,
    generation: Generation,
    first_token: Option<Duration>,
}

enum Later {
    /// The next planned call is due.
    Arrival,
    /// A keyed charge is sent again.
    Resend(Box<Work>),
    /// No answer has come in time.
    GiveUp(CallId),
}

pub struct LiveCallerProcess {
    settings: LiveCallerSettings,
    boot_id: u64,
    started_at: Option<Instant>,
    began: Instant,
    numbers: CallNumbers,
    plan: CallPlan,
    next: Option<PlannedCall>,
    waiting: VecDeque<Work>,
    under_way: BTreeMap<CallId, UnderWay>,
    resending: usize,
    timers: Timers<Later>,
    is_stopping: bool,
}

impl LiveCallerProcess {
    /// Callers that start at `now`.
    pub fn new(now: Instant, settings: LiveCallerSettings, boot_id: u64) -> Self {
        Self {
            plan: CallPlan::new(settings.load.clone()),
            settings,
            boot_id,
            started_at: Some(now),
            began: now,
            numbers: CallNumbers::new(boot_id),
            next: None,
            waiting: VecDeque::new(),
            under_way: BTreeMap::new(),
            resending: 0,
            timers: Timers::default(),
            is_stopping: false,
        }
    }

    fn start(&mut self, out: &mut Vec<ProcessOutput>) {
        let boot_id = self.boot_id;
        record(Event::Started { boot_id }, out);
        self.plan_next();
    }

    fn plan_next(&mut self) {
        self.next = self.plan.next();
        if let Some(next) = &self.next {
            self.timers.set(self.began + next.due, Later::Arrival);
        }
    }

    fn on_arrival(&mut self) {
        if self.is_stopping {
            return;
        }
        if let Some(call) = self.next.take() {
            self.take_in(call);
        }
        self.plan_next();
    }

    fn take_in(&mut self, call: PlannedCall) {
        if call.kind == CallKind::Completion && self.settings.model.is_none() {
            return;
        }
        let name = format!(
            "{}-{:08x}-{}",
            self.settings.name, self.boot_id as u32, call.number
        );
        let work = Work {
            key: call.keyed.then(|| format!("key-{name}")),
            since: self.began + call.due,
            name,
            resends: 0,
            call,
        };
        self.waiting.push_back(work);
    }

    fn send_waiting(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        while self.under_way.len() < self.settings.load.most_under_way {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            self.send(now, work, out);
        }
    }

    fn send(&mut self, now: Instant, work: Work, out: &mut Vec<ProcessOutput>) {
        let request = match work.resends {
            0 => work.name.clone(),
            resends => format!("{}.{resends}", work.name),
        };
        let call = self.call_of(&work, &request);
        let id = self.numbers.draw();
        send_call(self.settings.node, id, call, out);
        let limit = now + self.settings.load.deadline + ANSWER_MARGIN;
        self.timers.set(limit, Later::GiveUp(id));
        let under_way = UnderWay {
            work,
            request,
            sent_at: now,
            generation: Generation::default(),
            first_token: None,
        };
        self.under_way.insert(id, under_way);
    }

    fn call_of(&self, work: &Work, request: &str) -> Call {
        let (load, request) = (&self.settings.load, request.to_owned());
        if work.call.kind == CallKind::Completion {
            return Call::Complete(CompletionCall {
                request,
                model: self.settings.model.clone().unwrap_or_default(),
                prompt: work.call.prompt.clone(),
                max_tokens: load.max_tokens,
                seed: work.call.seed,
                deadline: load.deadline,
            });
        }
        let is_charge = work.call.kind == CallKind::Charge;
        Call::Live(LiveCall {
            asked: hash_bytes(request.as_bytes()),
            request,
            service: ServiceId::new(&self.settings.service),
            key: work.key.clone(),
            no_repeat: is_charge,
            charge: is_charge,
            deadline: load.deadline,
            path: if is_charge { "/charge" } else { "/lookup" }.to_owned(),
        })
    }

    fn on_answer(
        &mut self,
        now: Instant,
        id: CallId,
        answer: Answer,
        out: &mut Vec<ProcessOutput>,
    ) {
        let Some(mut under_way) = self.under_way.remove(&id) else {
            return;
        };
        if let Answer::Stream(EngineStreamEvent::Chunk {
            tokens,
            weight_version,
        }) = &answer
        {
            under_way.generation.append(*weight_version, tokens);
            let sent_at = under_way.sent_at;
            under_way.first_token.get_or_insert(now.since(sent_at));
            self.under_way.insert(id, under_way);
            return;
        }
        let result = self.result_of(&under_way, &answer);
        self.end(now, under_way, result, out);
    }

    fn result_of(&self, under_way: &UnderWay, answer: &Answer) -> CallResult {
        let nothing = |verdict| CallResult {
            verdict: Some(verdict),
            first_token: under_way.first_token,
            ..CallResult::default()
        };
        match answer {
            Answer::Live { status, body, .. } => CallResult {
                status: *status,
                verdict: verdict_of(body),
                answer_hash: hash_bytes(body),
                whole: true,
                ..CallResult::default()
            },
            Answer::Stream(_) => self.completed(under_way),
            Answer::Refused { verdict, code, .. } => CallResult {
                status: ERROR_STATUS,
                answer_hash: hash_bytes(code.as_bytes()),
                whole: true,
                ..nothing(*verdict)
            },
            Answer::Unreachable => nothing(Verdict::NotRun),
            _ => nothing(Verdict::MayHaveRun),
        }
    }

    fn completed(&self, under_way: &UnderWay) -> CallResult {
        let generation = &under_way.generation;
        let completion = ReceivedCompletion {
            prompt_hash: hash_tokens(&under_way.work.call.prompt),
            seed: under_way.work.call.seed,
            max_tokens: self.settings.load.max_tokens,
            token_count: generation.tokens.len() as u32,
            tokens_hash: hash_tokens(&generation.tokens),
            segments: generation.segments.clone(),
        };
        CallResult {
            status: 200,
            verdict: None,
            answer_hash: completion.tokens_hash,
            whole: true,
            first_token: under_way.first_token,
            completion: Some(completion),
        }
    }

    fn end(
        &mut self,
        now: Instant,
        under_way: UnderWay,
        result: CallResult,
        out: &mut Vec<ProcessOutput>,
    ) {
        let UnderWay { work, request, .. } = under_way;
        if let Some(completion) = result.completion.clone() {
            let request = request.clone();
            record(
                Event::Completed {
                    request,
                    completion,
                },
                out,
            );
        }
        let answered = Event::Answered {
            request,
            key: work.key.clone(),
            kind: work.call.kind,
            no_repeat: work.call.kind == CallKind::Charge,
            status: result.status,
            verdict: result.verdict,
            answer_hash: result.answer_hash,
            whole: result.whole,
            latency_us: now.since(work.since).as_micros() as u64,
            first_token_us: result.first_token.map(|time| time.as_micros() as u64),
        };
        record(answered, out);
        self.resend(now, work, &result);
    }

    /// A keyed charge without a final answer, or one whose answer is taken as lost, goes again.
    fn resend(&mut self, now: Instant, mut work: Work, result: &CallResult) {
        let taken_as_lost = work.call.resent && work.resends == 0;
        if work.key.is_none() || work.resends >= RESENDS || (result.is_final() && !taken_as_lost) {
            return;
        }
        work.resends += 1;
        work.since = now + RESEND_BACKOFF;
        self.resending += 1;
        self.timers
            .set(now + RESEND_BACKOFF, Later::Resend(Box::new(work)));
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        while let Some(later) = self.timers.take_due(now) {
            match later {
                Later::Arrival => self.on_arrival(),
                Later::Resend(work) => {
                    self.resending -= 1;
                    self.waiting.push_front(*work);
                }
                Later::GiveUp(id) => {
                    if self.under_way.contains_key(&id) {
                        hang_up(self.settings.node, id, out);
                        self.on_answer(now, id, Answer::Broken, out);
                    }
                }
            }
        }
    }

    fn is_done(&self) -> bool {
        self.is_stopping
            && self.waiting.is_empty()
            && self.under_way.is_empty()
            && self.resending == 0
    }
}

impl Process for LiveCallerProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        if self.started_at.take().is_some() {
            self.start(out);
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
        self.send_waiting(now, out);
        if self.is_done() {
            out.push(ProcessOutput::Exit);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.started_at.or(self.timers.next())
    }
}
