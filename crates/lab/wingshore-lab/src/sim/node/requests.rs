//! Callers' requests in flight: each is a [`RequestExecution`] whose outputs are carried out here.

use super::completion::Completion;
use super::core::{GroupPurpose, NodeContext, UpstreamPurpose};
use super::forward::Forward;
use super::upstream::News;
use crate::process::{Answer, Call, CallId, CompletionCall, LiveCall};
use crate::sim::client::CallResult;
use crate::wiring::{InboundCall, Timers};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::{
    AttemptEnd, AttemptFailure, ExecutionInput, ExecutionLimits, ExecutionOutput, FailureKind,
    FinalAnswer, RequestError, RequestExecution, RequestSpecification, SendAttempt,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{Instant, Verdict};

/// Longest wait for a claims group.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// A settlement is tried for this long.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A cancel is given up after this time.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of news of an attempt.
pub enum Progress {
    /// The attempt goes on.
    GoesOn,
    Ended(AttemptEnd),
    /// The caller has gone meanwhile; the attempt is to be stopped.
    CallerDisconnected,
}

/// The attempts and the answer of one kind of request.
pub trait Attempts {
    /// The call that makes an attempt, `timeout` before its limit.
    fn call(&mut self, context: &mut NodeContext<'_>, timeout: Duration) -> Call;
    /// Takes news of the attempt under way.
    fn on_news(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        news: News,
    ) -> Progress;
    /// The engine's name of the attempt under way, where it is to be cancelled there.
    fn engine_attempt(&self) -> Option<&str>;
    fn on_caller_gone(&mut self);
    /// The last part of the answer to the caller.
    fn answer(&mut self, answer: FinalAnswer) -> Answer;
}

struct OpenRequest {
    execution: RequestExecution,
    attempts: Box<dyn Attempts>,
    deadline: Instant,
    running: Option<RunningAttempt>,
}

#[derive(Clone, Copy)]
struct RunningAttempt {
    call: CallId,
    address: SocketAddr,
}

/// All requests in flight.
#[derive(Default)]
pub struct Requests {
    open: BTreeMap<InboundCall, OpenRequest>,
    ticks: Timers<InboundCall>,
}

impl Requests {
    /// Whether none is in flight.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// When [`Requests::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        self.ticks.next()
    }

    /// Ticks the requests that wait.
    pub fn on_wake(&mut self, context: &mut NodeContext<'_>) {
        while let Some(caller) = self.ticks.take_due(context.now) {
            self.step(context, caller, ExecutionInput::Tick);
        }
    }

    /// Takes a request to a live service in.
    pub fn on_live(&mut self, context: &mut NodeContext<'_>, caller: InboundCall, call: LiveCall) {
        match Forward::take_in(context, call) {
            Ok((forward, specification)) => {
                self.begin(context, caller, Box::new(forward), specification);
            }
            Err(refusal) => caller.answer(refusal.answer(), context.out),
        }
    }

    /// Takes a completion in.
    pub fn on_completion(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        call: CompletionCall,
    ) {
        match Completion::take_in(context, call) {
            Ok((completion, specification)) => {
                self.begin(context, caller, Box::new(completion), specification);
            }
            Err(refusal) => caller.answer(refusal.answer(), context.out),
        }
    }

    /// The caller has gone. As in the real node this shows when its answer is written.
    pub fn on_hang_up(&mut self, caller: InboundCall) {
        if let Some(request) = self.open.get_mut(&caller) {
            request.attempts.on_caller_gone();
        }
    }

    /// A claims group has answered, or not.
    pub fn on_claim(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        result: CallResult,
    ) {
        let input = match result {
            Ok(GroupReply::Claims(reply)) => ExecutionInput::ClaimAnswered(reply),
            Ok(_) => ExecutionInput::ClaimFailed(Verdict::MayHaveRun),
            Err(verdict) => ExecutionInput::ClaimFailed(verdict),
        };
        self.step(context, caller, input);
    }

    /// There is news of an attempt.
    pub fn on_news(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        attempt: u32,
        news: News,
    ) {
        let Some(request) = self.open.get_mut(&caller) else {
            return;
        };
        let has_timed_out = news == News::TimedOut;
        match request.attempts.on_news(context, caller, news) {
            Progress::GoesOn => {}
            Progress::Ended(end) => {
                if has_timed_out {
                    request.cancel_at_engine(context);
                }
                request.running = None;
                self.step(
                    context,
                    caller,
                    ExecutionInput::AttemptEnded { attempt, end },
                );
            }
            Progress::CallerDisconnected => {
                request.cancel_at_engine(context);
                request.close(context);
                self.step(context, caller, ExecutionInput::CallerDisconnected);
            }
        }
    }

    fn begin(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        attempts: Box<dyn Attempts>,
        specification: RequestSpecification,
    ) {
        context.record_revision();
        let request = OpenRequest {
            deadline: specification.route.deadline,
            execution: RequestExecution::new(
                specification,
                ExecutionLimits::default(),
                context.core.settings.faults.request,
            ),
            attempts,
            running: None,
        };
        self.open.insert(caller, request);
        self.step(context, caller, ExecutionInput::Begin);
    }

    fn step(&mut self, context: &mut NodeContext<'_>, caller: InboundCall, input: ExecutionInput) {
        let Some(mut request) = self.open.remove(&caller) else {
            return;
        };
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = Vec::new();
            let router = &mut context.core.router;
            request
                .execution
                .step(context.now, input, router, &mut outputs);
            for output in outputs {
                if let ExecutionOutput::WaitUntil(at) = output {
                    self.ticks.set(at, caller);
                } else {
                    inputs.extend(request.carry_out(context, caller, output));
                }
            }
        }
        if !request.execution.is_over() {
            self.open.insert(caller, request);
        }
    }
}

impl OpenRequest {
    fn carry_out(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        output: ExecutionOutput,
    ) -> Option<ExecutionInput> {
        match output {
            ExecutionOutput::Claim { group, request } => {
                let timeout = self.deadline.since(context.now).min(CLAIM_TIMEOUT);
                let purpose = GroupPurpose::Claim(caller);
                context.ask(group, GroupRequest::Claims(request), timeout, purpose);
            }
            ExecutionOutput::Send(send) => return self.make(context, caller, &send),
            ExecutionOutput::Settle { group, request } => {
                context.core.open_settlements += 1;
                let body = GroupRequest::Claims(request);
                context.ask(group, body, SETTLE_TIMEOUT, GroupPurpose::Settle);
            }
            ExecutionOutput::Cancel { .. } => self.close(context),
            ExecutionOutput::Answer(answer) => {
                let answer = self.attempts.answer(answer);
                caller.answer(answer, context.out);
            }
            ExecutionOutput::WaitUntil(_) => {}
        }
        None
    }

    /// The lease is looked at once more right before the first byte leaves.
    fn make(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        send: &SendAttempt,
    ) -> Option<ExecutionInput> {
        let number = send.attempt;
        if context.core.holds_configuration(context.now).is_err() {
            let end = AttemptEnd::Failed(AttemptFailure {
                kind: FailureKind::LeaseLost,
                message: "the configuration lease is lost".to_owned(),
                retry_after: None,
            });
            return Some(ExecutionInput::AttemptEnded {
                attempt: number,
                end,
            });
        }
        let timeout = send.deadline.since(context.now);
        let call = self.attempts.call(context, timeout);
        let purpose = UpstreamPurpose::Attempt(caller, number);
        let call = context.call(send.address, call, timeout, purpose);
        self.running = Some(RunningAttempt {
            call,
            address: send.address,
        });
        None
    }

    fn close(&mut self, context: &mut NodeContext<'_>) {
        if let Some(running) = self.running.take() {
            context.close(running.call);
        }
    }

    fn cancel_at_engine(&self, context: &mut NodeContext<'_>) {
        if let (Some(running), Some(name)) = (self.running, self.attempts.engine_attempt()) {
            cancel_at_engine(context, running.address, name.to_owned());
        }
    }
}

/// Tells an engine that nobody wants an attempt any more.
pub fn cancel_at_engine(context: &mut NodeContext<'_>, address: SocketAddr, request_id: String) {
    let (call, purpose) = (Call::Cancel { request_id }, UpstreamPurpose::Cancel);
    context.call(address, call, CANCEL_TIMEOUT, purpose);
}

/// An error as the caller gets it.
pub fn refused(error: &RequestError) -> Answer {
    Answer::Refused {
        verdict: error.verdict,
        code: error.code.as_str().to_owned(),
        retry_after: error.retry_after,
    }
}
