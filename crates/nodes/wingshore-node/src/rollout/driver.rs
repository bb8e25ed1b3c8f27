//! Drives the [`RolloutRunner`] of each pool on a thread of its own.
//!
//! Owns the runner and the workers that execute its outputs. The runner decides what is leased,
//! generated, scored and retried; this module only decides the share of each pool. The
//! configuration names the pool's ledger, and the router selects engines.

use crate::rollout::streams::{RolloutStream, RunningStreams};
use crate::rollout::workers::Workers;
use crate::state::NodeState;
use crate::upstream::copy_cache;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use slog::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_rollout::{
    AttemptId, CallId, PoolBinding, RolloutInput, RolloutOutput, RolloutRunner, RolloutSettings,
    ScoreCallId, SecondAttemptPolicy, StreamEnd,
};
use wingshore_types::platform::{ScoreReply, ScoreRequest};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, PoolId, Revision, Verdict};

/// Time between two ticks of a runner.
const TICK: Duration = Duration::from_millis(20);
/// Timeout of one call to a ledger; the runner repeats the calls that must succeed.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of threads per pool for calls to ledgers.
const LEDGER_THREADS: usize = 8;
/// Number of threads per pool that request copies of KV caches.
const CACHE_COPY_THREADS: usize = 4;
/// Path on scorers that accepts samples.
const SCORE_PATH: &str = "/score";
/// Minimum running time of a straggler before a second attempt starts on another engine.
const SECOND_ATTEMPT_MIN_RUNNING_TIME: Duration = Duration::from_secs(2);
/// Number of streams for each of which one second attempt may run.
const STREAMS_PER_SECOND_ATTEMPT: u32 = 8;

/// Handle of the thread that runs the rollouts of one pool.
pub struct RolloutDriver {
    thread: JoinHandle<()>,
}

impl RolloutDriver {
    /// Waits for the end of the planned stop, when all samples have finished or were released.
    pub fn join(self) {
        // The panic hook has already reported a panic of the thread.
        let _ = self.thread.join();
    }
}

/// Starts the rollouts of all pools that the settings name.
///
/// # Errors
/// Fails when a thread cannot be started.
pub fn start_rollouts(node: &Arc<NodeState>) -> io::Result<Vec<RolloutDriver>> {
    let pools = &node.settings.rollout.pools;
    pools
        .iter()
        .map(|pool| start_pool(node, pool, pools.len()))
        .collect()
}

fn start_pool(node: &Arc<NodeState>, pool: &PoolId, pools: usize) -> io::Result<RolloutDriver> {
    let settings = runner_settings(node, pools);
    let second_attempts = settings
        .second_attempts
        .map_or(0, |policy| policy.max_samples);
    let streams = (settings.max_leased_samples + second_attempts) as usize;
    let (inputs, received) = unbounded();
    let drive = DriverLoop {
        node: Arc::clone(node),
        pool: pool.clone(),
        ledger: None,
        known_revision: None,
        streams: Arc::new(RunningStreams::default()),
        stream_workers: Workers::start("stream", streams)?,
        ledger_workers: Workers::start("ledger", LEDGER_THREADS)?,
        score_workers: Workers::start("score", settings.score_concurrency as usize)?,
        cache_workers: Workers::start("cache", CACHE_COPY_THREADS)?,
        inputs,
    };
    let runner = RolloutRunner::new(settings, pool.clone());
    let thread = thread::Builder::new()
        .name(format!("rollout-{pool}"))
        .spawn(move || drive.run(runner, &received))?;
    Ok(RolloutDriver { thread })
}

/// Returns the settings of one runner: the node's streams and scorings are divided evenly among
/// its pools.
fn runner_settings(node: &NodeState, pools: usize) -> RolloutSettings {
    let own = &node.settings.rollout;
    let streams = (own.max_streams / pools).max(1) as u32;
    let scorings = (own.max_scorings / pools).max(1) as u32;
    RolloutSettings {
        max_leased_samples: streams,
        score_concurrency: scorings,
        second_attempts: own.over_issue.then(|| SecondAttemptPolicy {
            min_running_time: SECOND_ATTEMPT_MIN_RUNNING_TIME,
            max_samples: (streams / STREAMS_PER_SECOND_ATTEMPT).max(1),
        }),
        stop_limit: node
            .settings
            .stop_grace
            .min(RolloutSettings::new(node.settings.node.clone(), node.boot_id).stop_limit),
        ..RolloutSettings::new(node.settings.node.clone(), node.boot_id)
    }
}

/// State of the thread that drives one runner.
struct DriverLoop {
    node: Arc<NodeState>,
    pool: PoolId,
    /// The pool's ledger, once the configuration has named it.
    ledger: Option<GroupId>,
    /// Revision of the configuration last passed to the runner.
    known_revision: Option<Revision>,
    streams: Arc<RunningStreams>,
    stream_workers: Workers,
    ledger_workers: Workers,
    score_workers: Workers,
    cache_workers: Workers,
    inputs: Sender<RolloutInput>,
}

impl DriverLoop {
    fn run(mut self, mut runner: RolloutRunner, received: &Receiver<RolloutInput>) {
        let mut next_tick = Instant::now() + TICK;
        let mut has_stopped = false;
        let mut finished = 0;
        while !has_stopped {
            let mut inputs = self.pending_inputs();
            let wait = next_tick.saturating_duration_since(Instant::now());
            match received.recv_timeout(wait) {
                Ok(input) => inputs.push(input),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    next_tick = Instant::now() + TICK;
                    inputs.push(RolloutInput::Tick);
                }
            }
            for input in inputs {
                has_stopped |= self.step(&mut runner, input);
            }
            let status = runner.status();
            let metrics = &self.node.metrics;
            metrics
                .rollout_samples_finished
                .inc_by(status.finished.saturating_sub(finished));
            finished = status.finished;
        }
        self.finish();
    }

    /// Returns the inputs for a changed configuration and for a planned stop.
    fn pending_inputs(&mut self) -> Vec<RolloutInput> {
        let mut inputs = Vec::new();
        let configuration = self.node.configuration();
        if self.known_revision != Some(configuration.revision) {
            self.known_revision = Some(configuration.revision);
            if let Some(binding) = PoolBinding::find(&configuration, &self.pool) {
                self.ledger = Some(GroupId::Ledger(binding.pool.ledger));
                inputs.push(RolloutInput::Pool(Box::new(binding)));
            }
        }
        if self.node.stop.is_stopping() {
            inputs.push(RolloutInput::Stop);
        }
        inputs
    }

    /// Passes an input to the runner and executes its outputs. Returns whether the planned stop is
    /// complete.
    fn step(&self, runner: &mut RolloutRunner, input: RolloutInput) -> bool {
        let mut outputs = Vec::new();
        runner.step(
            self.node.clock.now(),
            input,
            &mut self.node.router(),
            &mut outputs,
        );
        let mut has_stopped = false;
        for output in outputs {
            has_stopped |= self.execute_output(output);
        }
        has_stopped
    }

    fn execute_output(&self, output: RolloutOutput) -> bool {
        match output {
            RolloutOutput::Ledger { call, request } => self.ask_ledger(call, request),
            RolloutOutput::StartStream {
                attempt,
                server,
                address,
                request,
            } => self.start_stream(RolloutStream {
                attempt,
                server,
                address,
                request,
            }),
            RolloutOutput::CancelStream {
                attempt,
                address,
                request_id,
                ..
            } => {
                self.streams.interrupt(attempt);
                self.node.cancel_at_engine(address, &request_id);
            }
            RolloutOutput::CopyCache {
                attempt,
                request_id,
                from,
                to,
            } => self.copy_cache(attempt, request_id, from, to),
            RolloutOutput::Score {
                call,
                address,
                request,
                timeout,
            } => self.score(call, address, request, timeout),
            RolloutOutput::Stopped => return true,
        }
        false
    }

    /// Starts a stream; refuses it without a configuration lease, as the engine may be leaving.
    fn start_stream(&self, stream: RolloutStream) {
        if self
            .node
            .holds_configuration(self.node.clock.now())
            .is_err()
        {
            let refused = RolloutInput::StreamEnded {
                attempt: stream.attempt,
                end: StreamEnd::Refused,
            };
            // This thread itself is the receiver.
            let _ = self.inputs.send(refused);
            return;
        }
        self.streams.register(stream.attempt);
        let (node, streams) = (Arc::clone(&self.node), Arc::clone(&self.streams));
        let inputs = self.inputs.clone();
        self.stream_workers
            .add(move || streams.run(&node, &stream, &inputs));
    }

    fn ask_ledger(&self, call: CallId, request: LedgerRequest) {
        let Some(group) = self.ledger else {
            return;
        };
        let (node, inputs) = (Arc::clone(&self.node), self.inputs.clone());
        self.ledger_workers.add(move || {
            let result = call_ledger(&node, group, request);
            // The receiver exists until the runner's calls have ended.
            let _ = inputs.send(RolloutInput::Ledger { call, result });
        });
    }

    fn copy_cache(&self, attempt: AttemptId, request_id: String, from: SocketAddr, to: SocketAddr) {
        let (node, inputs) = (Arc::clone(&self.node), self.inputs.clone());
        self.cache_workers.add(move || {
            let is_copied = copy_cache(&node.upstream, request_id, from, to).is_ok();
            // The receiver exists until the runner's calls have ended.
            let _ = inputs.send(RolloutInput::CacheCopied { attempt, is_copied });
        });
    }

    fn score(
        &self,
        call: ScoreCallId,
        address: SocketAddr,
        request: Box<ScoreRequest>,
        timeout: Duration,
    ) {
        let (node, inputs) = (Arc::clone(&self.node), self.inputs.clone());
        self.score_workers.add(move || {
            let answer: Result<ScoreReply, _> =
                node.upstream
                    .post_json(address, SCORE_PATH, request.as_ref(), timeout);
            if answer.is_ok() {
                node.metrics.rollout_samples_scored.inc();
            }
            let result = answer
                .map(|reply| reply.score)
                .map_err(|_| Verdict::MayHaveRun);
            // The receiver exists until the runner's calls have ended.
            let _ = inputs.send(RolloutInput::Scored { call, result });
        });
    }

    fn finish(self) {
        let logger = self.node.diagnostics.logger();
        info!(logger, "rollouts stopped"; "pool" => self.pool.to_string());
        self.stream_workers.finish();
        self.ledger_workers.finish();
        self.score_workers.finish();
        self.cache_workers.finish();
    }
}

fn call_ledger(
    node: &NodeState,
    group: GroupId,
    request: LedgerRequest,
) -> Result<LedgerReply, Verdict> {
    let request = GroupRequest::Ledger(request);
    match node.groups.call(group, request, LEDGER_TIMEOUT) {
        Ok(GroupReply::Ledger(reply)) => Ok(reply),
        Ok(other) => {
            warn!(node.diagnostics.logger(), "unexpected reply from ledger";
                "group" => group.to_string(), "answer" => format!("{other:?}"));
            Err(Verdict::MayHaveRun)
        }
        Err(error) => Err(error.verdict()),
    }
}
