//! Rollout streams: each runs on a worker thread and can be interrupted by another thread.

use crate::lock::lock;
use crate::state::NodeState;
use crate::upstream::{EngineAttempt, EngineEnd, InterruptibleClient};
use crossbeam_channel::Sender;
use slog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Mutex;
use std::time::Duration;
use wingshore_request::FailureKind;
use wingshore_rollout::{AttemptId, RolloutInput, StreamEnd};
use wingshore_types::ServerId;
use wingshore_types::platform::EngineCompletionRequest;

/// Streams that run or wait for a worker, each with the client that can interrupt it.
#[derive(Debug, Default)]
pub struct RunningStreams {
    clients: Mutex<BTreeMap<AttemptId, InterruptibleClient>>,
}

/// Parameters of one stream.
#[derive(Debug)]
pub struct RolloutStream {
    /// Identity of the attempt at the runner.
    pub attempt: AttemptId,
    /// Identity of the engine.
    pub server: ServerId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The completion request.
    pub request: Box<EngineCompletionRequest>,
}

impl RunningStreams {
    /// Registers a stream before it is queued for a worker.
    pub fn register(&self, attempt: AttemptId) {
        lock(&self.clients).insert(attempt, InterruptibleClient::default());
    }

    /// Interrupts a stream; the runner gets no further inputs from it.
    pub fn interrupt(&self, attempt: AttemptId) {
        let client = lock(&self.clients).remove(&attempt);
        if let Some(client) = client {
            client.interrupt();
        }
    }

    /// Runs a registered stream to its end and passes its chunks and its outcome to the runner.
    pub fn run(&self, node: &NodeState, stream: &RolloutStream, runner: &Sender<RolloutInput>) {
        let Some(client) = lock(&self.clients).get(&stream.attempt).cloned() else {
            return;
        };
        node.metrics.rollout_streams.inc();
        node.metrics.rollout_streams_started.inc();
        let end = self.generate(node, stream, &client, runner);
        node.metrics.rollout_streams.dec();
        let was_wanted = lock(&self.clients).remove(&stream.attempt).is_some();
        if was_wanted && let Some(input) = self.final_input(node, stream, end) {
            // The receiver exists until all streams have ended.
            let _ = runner.send(input);
        }
    }

    fn generate(
        &self,
        node: &NodeState,
        stream: &RolloutStream,
        client: &InterruptibleClient,
        runner: &Sender<RolloutInput>,
    ) -> EngineEnd {
        let attempt = EngineAttempt {
            server: &stream.server,
            address: stream.address,
            request: &stream.request,
            timeout: Duration::from_millis(stream.request.deadline_ms),
        };
        attempt.run(client, &mut |weight_version, tokens| {
            node.metrics.rollout_tokens.inc_by(tokens.len() as u64);
            let chunk = RolloutInput::Chunk {
                attempt: stream.attempt,
                tokens: tokens.to_vec(),
                weight_version,
            };
            if self.is_wanted(stream.attempt) && runner.send(chunk).is_ok() {
                ControlFlow::Continue(())
            } else {
                ControlFlow::Break(())
            }
        })
    }

    fn is_wanted(&self, attempt: AttemptId) -> bool {
        lock(&self.clients).contains_key(&attempt)
    }

    fn final_input(
        &self,
        node: &NodeState,
        stream: &RolloutStream,
        end: EngineEnd,
    ) -> Option<RolloutInput> {
        let attempt = stream.attempt;
        let failure = match end {
            EngineEnd::Finished { reason, usage } => {
                return Some(RolloutInput::Finished {
                    attempt,
                    finish_reason: reason,
                    usage,
                });
            }
            EngineEnd::Stopped => return None,
            EngineEnd::Failed(failure) => failure,
            EngineEnd::Rejected(answer) => wingshore_request::AttemptFailure {
                kind: FailureKind::BadAnswer,
                message: format!(
                    "engine `{}` rejected the request: {}",
                    stream.server, answer.status
                ),
                retry_after: None,
            },
        };
        node.metrics.rollout_streams_failed.inc();
        debug!(node.diagnostics.logger(), "rollout stream failed";
            "server" => stream.server.to_string(), "failure" => failure.message);
        let end = match failure.kind {
            FailureKind::RefusedByServer => StreamEnd::Refused,
            kind => StreamEnd::Failed(kind.verdict()),
        };
        Some(RolloutInput::StreamEnded { attempt, end })
    }
}
