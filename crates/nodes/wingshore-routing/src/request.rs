//! Types of the router's public interface: requests, results, probes and reports.

use crate::class::Class;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, ServerId, ServiceId, Verdict, WeightVersion};

/// A request to be routed to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Service whose servers may run the request.
    pub service: ServiceId,
    /// Class of the request.
    pub class: Class,
    /// Hash of the prompt's prefix, if a cached prefix would help.
    pub prefix_hash: Option<u64>,
    /// Estimated size of the prompt in tokens, which a cached prefix would save.
    pub tokens_estimate: u32,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Whether the request must run at most once.
    pub no_repeat: bool,
    /// Servers that must not be selected, for instance because an earlier attempt failed there.
    pub excluded: Vec<ServerId>,
    /// Rollouts only: oldest usable weight version; engines below it are not selected.
    pub oldest_useful: Option<WeightVersion>,
}

/// Identifies an admitted attempt until it is passed to [`crate::Router::on_finished`]. Finishing
/// an attempt twice has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// An admitted request: a server was selected and a slot taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Ticket to pass to [`crate::Router::on_finished`], however the attempt ends.
    pub ticket: Ticket,
    /// The selected server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
}

/// Reason why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The configuration does not contain the service.
    UnknownService,
    /// The deadline has already passed.
    DeadlinePassed,
    /// No server of the service is open: all are leaving, unhealthy, ejected or excluded.
    NoServer,
    /// No open engine is known to serve a version that is new enough.
    NoUsableVersion,
    /// All slots that the class may use are taken.
    NoCapacity,
}

impl RefusalCode {
    /// Returns the stable name of the code for error bodies and metrics.
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

/// A request that was not admitted. Nothing was sent, so its verdict is always
/// [`Verdict::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Message for the caller that names the cause and the service.
    pub message: String,
    /// Time after which to retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the verdict of the request, which was not sent to any server.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// Outcome of an admitted attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Success {
        /// Time from sending the request to the end of the answer.
        latency: Duration,
    },
    /// The server reported that it did not run the request (`x-not-run`).
    Refused,
    /// The attempt failed or timed out.
    Failed(Verdict),
    /// The caller gave up, or the attempt was cancelled on its behalf. This outcome does not affect
    /// the state of the server.
    Cancelled,
}

/// Kind of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProbeKind {
    /// `GET /state` of an engine; pass the response to [`crate::Router::on_engine_state`].
    EngineState,
    /// `GET /load`; pass the response to [`crate::Router::on_load`].
    Load,
    /// `GET /cache_events?after=N` of an engine; pass the response to
    /// [`crate::Router::on_cache_events`].
    CacheEvents {
        /// Last sequence number received.
        after: u64,
    },
}

/// A probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Server to probe.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Kind of the probe.
    pub kind: ProbeKind,
}

/// Slots that a class uses beyond its guarantee on one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverGuarantee {
    /// Server with the slots.
    pub server: ServerId,
    /// Number of slots in use beyond the guarantee.
    pub borrowed: u32,
    /// Number of borrowed slots that the other class currently reclaims. Cancelling that many
    /// requests and resuming them elsewhere restores its guarantee at once.
    pub slots_to_reclaim: u32,
}

/// State of one server for status pages and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Whether this node uses and probes the server; little is known of servers outside the subset.
    pub in_subset: bool,
    /// Whether the server may currently get new requests.
    pub open: bool,
    /// Whether any source reports the server as leaving.
    pub leaving: bool,
    /// Whether the server is currently ejected because of failures.
    pub ejected: bool,
    /// Weight version of the server's last report; `None` if unknown or expired.
    pub version: Option<WeightVersion>,
    /// Number of this node's own live requests on the server.
    pub live: u32,
    /// Number of this node's own rollout requests on the server.
    pub rollouts: u32,
    /// Estimated requests of other nodes on the server, based on its last report.
    pub external: u32,
}
