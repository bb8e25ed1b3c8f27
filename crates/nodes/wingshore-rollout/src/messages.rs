//! What the runner hears and what it wants done.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::configuration::{Configuration, Pool, ServiceKind};
use wingshore_types::platform::{EngineCompletionRequest, FinishReason, ScoreRequest, Usage};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::{PoolId, Revision, ServerId, Token, Verdict, WeightVersion};

/// One attempt at one sample on one engine, unique within a boot of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One request to the ledger, unique within a boot of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One request to the scorer, unique within a boot of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScoreCallId(pub u64);

/// What the runner needs to know of its pool, from one revision of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolBinding {
    /// The configuration's revision.
    pub revision: Revision,
    /// The pool.
    pub pool: Pool,
    /// The base model that the pool's service serves.
    pub model: String,
}

impl PoolBinding {
    /// The binding of the pool `id`; `None` while it or its engines are not configured.
    pub fn find(configuration: &Configuration, id: &PoolId) -> Option<Self> {
        let pool = configuration.pools.get(id)?;
        let service = configuration.services.get(&pool.service)?;
        let ServiceKind::Engines { model } = &service.kind else {
            return None;
        };
        Some(Self {
            revision: configuration.revision,
            pool: pool.clone(),
            model: model.clone(),
        })
    }
}

/// How a stream ended without its final event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The engine said itself that it did not start.
    Refused,
    /// It failed before or after the first event.
    Failed(Verdict),
}

/// What the runner hears.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutInput {
    /// The pool's configuration, at the start and at each change.
    Pool(Box<PoolBinding>),
    /// Tokens of an attempt, all made by one version.
    Chunk {
        /// Which attempt.
        attempt: AttemptId,
        /// The tokens.
        tokens: Vec<Token>,
        /// The version the engine stamped them with.
        weight_version: WeightVersion,
    },
    /// The final event of an attempt.
    Finished {
        /// Which attempt.
        attempt: AttemptId,
        /// Why the generation ended.
        finish_reason: FinishReason,
        /// The engine's token counts.
        usage: Usage,
    },
    /// An attempt ended without its final event. Expected for each started stream that neither
    /// finished nor was cancelled.
    StreamEnded {
        /// Which attempt.
        attempt: AttemptId,
        /// How.
        end: StreamEnd,
    },
    /// The answer to [`RolloutOutput::Ledger`], or the verdict when none came.
    Ledger {
        /// Which request.
        call: CallId,
        /// The answer.
        result: Result<LedgerReply, Verdict>,
    },
    /// The end of [`RolloutOutput::CopyCache`].
    CacheCopied {
        /// Which attempt.
        attempt: AttemptId,
        /// Whether the other engine has the cache.
        is_copied: bool,
    },
    /// The answer to [`RolloutOutput::Score`], or the verdict when none came.
    Scored {
        /// Which request.
        call: ScoreCallId,
        /// The score.
        result: Result<f64, Verdict>,
    },
    /// Time has passed; wanted every 20 ms or so.
    Tick,
    /// Planned stop: lease nothing more, let what runs finish for a while, give the rest back.
    Stop,
}

/// What the runner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutOutput {
    /// Send a request to the pool's ledger group.
    Ledger {
        /// Comes back with the answer.
        call: CallId,
        /// The request. Sending it twice is safe.
        request: LedgerRequest,
    },
    /// Open a stream to an engine (`POST /v1/completions`).
    StartStream {
        /// Comes back with each event.
        attempt: AttemptId,
        /// The engine.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
        /// The request.
        request: Box<EngineCompletionRequest>,
    },
    /// Close a stream and tell the engine (`POST /v1/cancel`). No event of it is wanted any more.
    CancelStream {
        /// Which attempt.
        attempt: AttemptId,
        /// The engine.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
        /// The engine's name for the attempt.
        request_id: String,
    },
    /// Copy the KV cache of an attempt that runs (`POST /kv/export` on its engine, then `POST
    /// /kv/import` on the other). Answered by [`RolloutInput::CacheCopied`].
    CopyCache {
        /// Which attempt; it goes on meanwhile.
        attempt: AttemptId,
        /// Its engine's name for it.
        request_id: String,
        /// Its engine.
        from: SocketAddr,
        /// The engine that it will be resumed on.
        to: SocketAddr,
    },
    /// Ask the pool's scorer (`POST /score`).
    Score {
        /// Comes back with the answer.
        call: ScoreCallId,
        /// The scorer.
        address: SocketAddr,
        /// The request.
        request: Box<ScoreRequest>,
        /// Give up after this time.
        timeout: Duration,
    },
    /// The planned stop is over: nothing runs and nothing waits to be reported.
    Stopped,
}
