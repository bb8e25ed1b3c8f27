//! What a process of the lab is, without sockets and clocks, and the messages between processes.
//!
//! The simulator and, for stand-ins, [`crate::stand_ins`]'s runtime carry out what processes put out.

use crate::events::Event;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::api::{
    AcknowledgeBody, BatchBody, PublishBody, PullBody, SubmitReply, SubmitRequest,
};
use wingshore_types::platform::{
    CacheEvents, EngineCompletionRequest, EngineOrder, EngineState, EngineStreamEvent, FencedReply,
    LoadReport, MachineList, MachineState, ScoreReply, ScoreRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{
    GroupId, Instant, PoolId, RequestId, ServerId, ServiceId, Token, Verdict, WeightVersion,
};

/// Names one call (a request with its answer) within its caller's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request to a back end, to the platform or to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// To an engine: generate; answered by stream events.
    Generate(EngineCompletionRequest),
    /// To an engine: drop the attempt.
    Cancel {
        /// The attempt.
        request_id: String,
    },
    /// To an engine: a fenced order.
    Order(EngineOrder),
    /// To an engine: its state.
    State,
    /// To an engine or a live server: its load.
    Load,
    /// To an engine: cache events after a sequence.
    CacheEvents {
        /// The last sequence seen.
        after: u64,
    },
    /// To the machine list.
    Machines,
    /// To the weight store: a version; answered once it is whole.
    FetchWeights {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
    /// To the weight store: the trainer stores a version.
    StoreWeights {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
    /// To a scorer.
    Score(ScoreRequest),
    /// To a live server, or to a node on its way there.
    Live(LiveCall),
    /// To a node: a streamed completion; answered by stream events.
    Complete(CompletionCall),
    /// To a node: submit samples.
    Submit {
        /// The pool.
        pool: PoolId,
        /// The samples.
        body: SubmitRequest,
    },
    /// To a node: pull a step's batch.
    Pull {
        /// The pool.
        pool: PoolId,
        /// The step.
        step: u64,
        /// What is asked for.
        body: PullBody,
    },
    /// To a node: acknowledge a step's batch.
    Acknowledge {
        /// The pool.
        pool: PoolId,
        /// The step.
        step: u64,
        /// By whom.
        body: AcknowledgeBody,
    },
    /// To a node: a new weight version.
    Publish {
        /// The pool.
        pool: PoolId,
        /// The version.
        body: PublishBody,
    },
}

/// A request of a live caller.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveCall {
    /// The caller's own id of the request.
    pub request: String,
    /// The service asked.
    pub service: ServiceId,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it must not be repeated.
    pub no_repeat: bool,
    /// Whether it changes something.
    pub charge: bool,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Path below the service.
    pub path: String,
    /// Stands for the body: a server's answer repeats it.
    pub asked: u64,
}

/// A completion that a live caller asks a node for.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionCall {
    /// The caller's own id of the request.
    pub request: String,
    /// The model asked for.
    pub model: String,
    /// Prompt tokens.
    pub prompt: Vec<Token>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Seed of the generation.
    pub seed: u64,
    /// How long the caller waits.
    pub deadline: Duration,
}

/// A part or the whole of an answer to a [`Call`].
///
/// Parts of one answer arrive in the order in which they were sent, as on one connection; a part
/// that is lost breaks the call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// An event of a stream; the last one is [`EngineStreamEvent::Finished`].
    Stream(EngineStreamEvent),
    /// An order was taken.
    OrderAccepted,
    /// An order was below one already taken.
    OrderFenced(FencedReply),
    /// An engine's state.
    State(EngineState),
    /// A load report.
    Load(LoadReport),
    /// Cache events.
    CacheEvents(CacheEvents),
    /// The machine list.
    Machines(MachineList),
    /// A sample's score.
    Score(ScoreReply),
    /// A live answer.
    Live {
        /// HTTP status.
        status: u16,
        /// The body, as much of it as came.
        body: Vec<u8>,
        /// Whether the body came to its declared end.
        whole: bool,
    },
    /// The samples were taken in.
    Submitted(SubmitReply),
    /// A batch.
    Batch {
        /// The batch.
        body: BatchBody,
        /// Hash of the bytes that it came as.
        body_hash: u64,
    },
    /// Done; nothing to say.
    Done,
    /// Not done.
    Refused {
        /// Whether it may have run.
        verdict: Verdict,
        /// Stable code.
        code: String,
        /// Retry-after.
        retry_after: Option<Duration>,
    },
    /// No connection could be made: nothing of the call was sent. Made by the simulated network,
    /// never by a process.
    Unreachable,
    /// The connection broke after the call was sent and before the answer was whole: the caller's
    /// side of a cut or of a process that died. The call may have arrived. Made by the simulated
    /// network, never by a process.
    Broken,
}

/// What travels between processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Consensus, between members of a group; may be lost.
    Consensus {
        /// The group.
        group: GroupId,
        /// The message.
        message: Vec<u8>,
    },
    /// A request to a group, as in [`wingshore_types::protocol::wire::Frame::Request`].
    GroupRequest {
        /// Comes back with the reply.
        id: RequestId,
        /// The group.
        group: GroupId,
        /// What is asked.
        body: GroupRequest,
    },
    /// The reply to a request to a group.
    GroupReply {
        /// Of the request.
        id: RequestId,
        /// The answer.
        body: GroupReply,
    },
    /// A call.
    Call {
        /// Comes back with each answer.
        id: CallId,
        /// What is asked.
        call: Call,
    },
    /// A part or the whole of its answer.
    Answer {
        /// Of the call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// The caller of a call is gone or does not want it any more. The simulated network sends it
    /// for callers that died.
    HangUp {
        /// The call.
        id: CallId,
    },
}

/// What reaches a process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessInput {
    /// The time that [`Process::next_wake`] named has come.
    Wake,
    /// A message.
    Message {
        /// The sender.
        from: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// A planned stop begins (SIGTERM).
    Stop,
    /// A switch of a stand-in, for scenarios.
    Fault(ProcessFault),
}

/// Failure switches of stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessFault {
    /// A switch of an engine.
    Engine(crate::stand_ins::engine::messages::EngineFault),
    /// The process says that it is leaving, or that it stays after all.
    Leaving(bool),
    /// To the machine list: a machine's state from now on; the list tells it after its lag.
    Machine {
        /// Which machine.
        server: ServerId,
        /// Its state.
        state: MachineState,
    },
    /// An engine's next `count` answers about its state are sent `by` late, as they were read.
    LateStates {
        /// How many.
        count: u32,
        /// How late.
        by: Duration,
    },
    /// A live server's next `count` answers are cut in the middle of their bodies.
    CutAnswers {
        /// How many.
        count: u32,
    },
    /// The next `count` answers are lost after the work was done.
    LoseAnswers {
        /// How many.
        count: u32,
    },
}

/// What a process wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessOutput {
    /// Send a message.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// Record what happened, for the checkers.
    Record(Event),
    /// The planned stop is complete; the process exits.
    Exit,
}

/// A process without disk.
///
/// `now` is the process's own clock, which may drift and stand still. A killed process is dropped
/// and made anew by its maker, with nothing but its settings. A process made at `now` wants its
/// first [`ProcessInput::Wake`] at `now` and records [`Event::Started`] then.
pub trait Process {
    /// Handles one input.
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>);
    /// When it next wants [`ProcessInput::Wake`], by its own clock.
    fn next_wake(&self) -> Option<Instant>;
    /// Why it cannot go on. The simulator lets such a process stand still; a program ends with it.
    fn failure(&self) -> Option<&str> {
        None
    }
}
