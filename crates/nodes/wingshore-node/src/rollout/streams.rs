//! Rollout streams: each runs on a worker and can be ended from outside.

use crate::state::{NodeState, lock};
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

/// Streams that run or wait for a worker, with the means to end each.
#[derive(Debug, Default)]
pub struct RunningStreams {
    clients: Mutex<BTreeMap<AttemptId, InterruptibleClient>>,
}

/// One stream to be run.
#[derive(Debug)]
pub struct RolloutStream {
    /// Names it towards the runner.
    pub attempt: AttemptId,
    /// The engine.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What to generate.
    pub request: Box<EngineCompletionRequest>,
}

impl RunningStreams {
    /// Notes a stream that is about to wait for a worker.
    pub fn note(&self, attempt: AttemptId) {
        lock(&self.clients).insert(attempt, InterruptibleClient::default());
    }

    /// Ends a stream; no more of it reaches the runner.
    pub fn interrupt(&self, attempt: AttemptId) {
        let client = lock(&self.clients).remove(&attempt);
        if let Some(client) = client {
            client.interrupt();
        }
    }

    /// Runs a noted stream to its end, telling the runner what comes.
    pub fn run(&self, node: &NodeState, stream: &RolloutStream, runner: &Sender<RolloutInput>) {
        let Some(client) = lock(&self.clients).get(&stream.attempt).cloned() else {
            return;
        };
        node.metrics.rollout_streams.inc();
        node.metrics.rollout_streams_started.inc();
        let end = self.generate(node, stream, &client, runner);
        node.metrics.rollout_streams.dec();
        let was_wanted = lock(&self.clients).remove(&stream.attempt).is_some();
        if was_wanted && let Some(input) = self.last_input(node, stream, end) {
            // The runner listens until all streams have ended.
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

    fn last_input(
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
                message: format!("engine `{}` rejects: {}", stream.server, answer.status),
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
