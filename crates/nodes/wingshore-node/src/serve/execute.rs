//! Performs the outputs of a [`RequestExecution`] on the worker's own thread.

use crate::background_calls::BackgroundCall;
use crate::state::NodeState;
use std::collections::VecDeque;
use std::time::Duration;
use wingshore_request::{
    AttemptEnd, AttemptFailure, ExecutionInput, ExecutionLimits, ExecutionOutput, FailureKind,
    Faults, FinalAnswer, RequestExecution, RequestSpecification, SendAttempt,
};
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::ClaimsRequest;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{Instant, Verdict};

use crate::metrics::KindLabel;

/// Timeout of one call to a claims group; an earlier deadline of the request takes precedence.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The attempt ended, with or without an answer.
    Ended(AttemptEnd),
    /// The caller disconnected during the attempt, which was stopped.
    CallerDisconnected,
}

/// Runs the attempts of one request.
pub trait Attempts {
    /// Runs one attempt to its end.
    fn attempt(&mut self, send: &SendAttempt) -> AttemptResult;
}

/// Executes a request. Returns `None` if the caller has disconnected.
pub fn execute(
    node: &NodeState,
    kind: &'static str,
    specification: RequestSpecification,
    attempts: &mut dyn Attempts,
) -> Option<FinalAnswer> {
    let deadline = specification.route.deadline;
    let mut execution =
        RequestExecution::new(specification, ExecutionLimits::default(), Faults::default());
    let mut inputs = VecDeque::from([ExecutionInput::Begin]);
    let mut answer = None;
    while let Some(input) = inputs.pop_front() {
        let mut outputs = Vec::new();
        execution.step(node.clock.now(), input, &mut node.router(), &mut outputs);
        for output in outputs {
            match output {
                ExecutionOutput::Claim { group, request } => {
                    inputs.push_back(claim(node, group, request, deadline));
                }
                ExecutionOutput::Send(send) => inputs.push_back(run_attempt(node, &send, attempts)),
                ExecutionOutput::WaitUntil(instant) => {
                    std::thread::sleep(node.clock.time_left(instant));
                    inputs.push_back(ExecutionInput::Tick);
                }
                ExecutionOutput::Settle { group, request } => {
                    let request = Box::new(request);
                    node.add_background_call(BackgroundCall::Settle { group, request });
                }
                // Attempts run synchronously, so each has ended before a cancel can be requested.
                ExecutionOutput::Cancel { .. } => {}
                ExecutionOutput::Answer(given) => answer = Some(given),
            }
        }
    }
    let retries = u64::from(execution.attempts().saturating_sub(1));
    node.metrics
        .retries
        .get_or_create(&KindLabel { kind })
        .inc_by(retries);
    answer
}

fn claim(
    node: &NodeState,
    group: GroupId,
    request: ClaimsRequest,
    deadline: Instant,
) -> ExecutionInput {
    let timeout = node.clock.time_left(deadline).min(CLAIM_TIMEOUT);
    match node
        .groups
        .call(group, GroupRequest::Claims(request), timeout)
    {
        Ok(GroupReply::Claims(reply)) => ExecutionInput::ClaimAnswered(reply),
        Ok(_) => ExecutionInput::ClaimFailed(Verdict::MayHaveRun),
        Err(error) => ExecutionInput::ClaimFailed(error.verdict()),
    }
}

/// Runs one attempt. Checks the lease again immediately before sending, because the process may
/// have been suspended since the server was chosen.
fn run_attempt(
    node: &NodeState,
    send: &SendAttempt,
    attempts: &mut dyn Attempts,
) -> ExecutionInput {
    let attempt = send.attempt;
    if let Err(refusal) = node.holds_configuration(node.clock.now()) {
        let failure = AttemptFailure {
            kind: FailureKind::LeaseLost,
            message: refusal.message,
            retry_after: refusal.retry_after,
        };
        let end = AttemptEnd::Failed(failure);
        return ExecutionInput::AttemptEnded { attempt, end };
    }
    match attempts.attempt(send) {
        AttemptResult::Ended(end) => ExecutionInput::AttemptEnded { attempt, end },
        AttemptResult::CallerDisconnected => ExecutionInput::CallerDisconnected,
    }
}
