//! What callers of the router say and hear.

use crate::class::Class;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, ServerId, ServiceId, Verdict, WeightVersion};

/// A request that wants a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// The service whose servers may take it.
    pub service: ServiceId,
    /// Its class.
    pub class: Class,
    /// Hash of the prompt's prefix, when a cached prefix would help.
    pub prefix_hash: Option<u64>,
    /// Rough size of the prompt, in tokens: what a cached prefix would save.
    pub tokens_estimate: u32,
    /// Nobody waits for the answer after this.
    pub deadline: Instant,
    /// Whether it must run at most once.
    pub no_repeat: bool,
    /// Servers that must not be chosen, for instance because they failed it before.
    pub excluded: Vec<ServerId>,
    /// Rollouts only: engines below this weight version are of no use.
    pub oldest_useful: Option<WeightVersion>,
}

/// Names one admitted attempt until [`crate::Router::on_finished`]; finishing twice has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// A server was chosen and a slot taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Must be returned by [`crate::Router::on_finished`] however the attempt ends.
    pub ticket: Ticket,
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The configuration has no such service.
    UnknownService,
    /// The deadline has passed already.
    DeadlinePassed,
    /// No server of the service is open: all are leaving, unhealthy, ejected or excluded.
    NoServer,
    /// No open engine is known to serve a version that is new enough.
    NoUsableVersion,
    /// All slots that the class may use are taken.
    NoCapacity,
}

impl RefusalCode {
    /// Stable text for error bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoServer => "no_server",
            Self::NoUsableVersion => "no_usable_version",
            Self::NoCapacity => "no_capacity",
        }
    }
}

/// The request was not admitted; nothing was sent, so its verdict is always
/// [`Verdict::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// What is wrong, where, and what helps.
    pub message: String,
    /// When asking again makes sense; `None` where it never does.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Nothing was sent.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// How an admitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Success {
        /// From sending to the end of the answer.
        latency: Duration,
    },
    /// The server said itself that it did not run the request (`x-not-run`).
    Refused,
    /// It failed or timed out.
    Failed(Verdict),
    /// The caller gave up, or the attempt was cancelled on its behalf; says nothing of the server.
    Cancelled,
}

/// What to ask a server for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProbeKind {
    /// `GET /state` of an engine, answered by [`crate::Router::on_engine_state`].
    EngineState,
    /// `GET /load`, answered by [`crate::Router::on_load`].
    Load,
    /// `GET /cache_events?after=N` of an engine, answered by
    /// [`crate::Router::on_cache_events`].
    CacheEvents {
        /// The last sequence number seen.
        after: u64,
    },
}

/// One probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What to ask for.
    pub kind: ProbeKind,
}

/// Slots that a class uses beyond its guarantee on one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverGuarantee {
    /// The server.
    pub server: ServerId,
    /// Slots in use beyond the guarantee.
    pub borrowed: u32,
    /// How many of them the other class asks back now; cancelling and resuming that many
    /// requests elsewhere gives it its guarantee at once.
    pub slots_to_reclaim: u32,
}

/// What the router knows of one server, for status pages and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Whether this node uses and probes it; of the others little is known.
    pub in_subset: bool,
    /// Whether new work may go to it now.
    pub open: bool,
    /// Whether anyone says that it is leaving.
    pub leaving: bool,
    /// Whether it is ejected for failures now.
    pub ejected: bool,
    /// The weight version of its own last report.
    pub version: Option<WeightVersion>,
    /// This node's own live requests on it.
    pub live: u32,
    /// This node's own rollout requests on it.
    pub rollouts: u32,
    /// Requests of others on it, as estimated from its last report.
    pub external: u32,
}
