//! One request on its way to servers: who it is made for, and what has come of it so far.

use crate::attempt_timeouts;
use crate::attempts::{AttemptHistory, RetryLimits};
use crate::ids::ExchangeId;
use crate::streams::PassedStream;
use crate::suspects;
use std::collections::HashMap;
use std::sync::Arc;
use wingshore_coordination::{
    AssignmentId, InstanceId, Route, ServiceName, TenantName, UsageWindow,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::{WholeAnswer, WholeRequest};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// Who a request is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The client of a connection.
    Client(ConnectionId),
    /// A scoring.
    Scoring(AssignmentId),
}

/// A request on its way.
pub(crate) struct Exchange {
    pub(crate) origin: Origin,
    /// The tenant that it is run for.
    pub(crate) tenant: Option<TenantName>,
    /// The window of usage that the present attempt is counted in.
    pub(crate) counted_in: Option<UsageWindow>,
    pub(crate) request: WholeRequest,
    /// Identity of the request.
    pub(crate) id: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) begun: Instant,
    /// By then it is answered, whatever has come.
    pub(crate) until: Instant,
    /// How the attempts so far have ended.
    pub(crate) history: AttemptHistory,
    /// The servers that it was sent to.
    pub(crate) tried: Vec<InstanceId>,
    pub(crate) upstream: Option<ConnectionId>,
    /// The present attempt is given up at this time.
    pub(crate) attempt_until: Instant,
    /// Whether so many servers have ended under it that no other one is to run it.
    pub(crate) is_rejected: bool,
    /// What has been passed on of a stream; set once its head has been.
    pub(crate) stream: Option<PassedStream>,
}

impl Exchange {
    /// What its route allows.
    pub(crate) fn limits(&self) -> RetryLimits {
        RetryLimits::of(&self.route)
    }

    /// Until when a server that has the request now may take before another one is asked.
    pub(crate) fn answer_deadline(&self, now: Instant) -> Instant {
        let (attempts, target) = (self.history.attempts, self.route.target_latency);
        attempt_timeouts::answer_deadline(now, self.until, self.limits(), attempts, target)
    }

    /// Whether the present server has made events of a stream for so long that the request is not
    /// what ends the server.
    pub(crate) fn has_streamed_long(&self, now: Instant) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| suspects::is_cleared(now, stream.since))
    }

    /// Its identity as text.
    pub(crate) fn id_text(&self) -> String {
        String::from_utf8_lossy(&self.id).into_owned()
    }

    /// The connection of the client that it is made for.
    pub(crate) fn client(&self) -> Option<ConnectionId> {
        match self.origin {
            Origin::Client(client) => Some(client),
            Origin::Scoring(_) => None,
        }
    }
}

/// What became of an attempt that brought no usable answer.
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    /// Whether the server is ejected: it gets nothing for a while.
    pub(crate) ejects_server: bool,
    /// In words, for logs and metrics.
    pub(crate) reason: &'static str,
    /// The server's own answer, where there is one.
    pub(crate) answer: Option<WholeAnswer>,
}

impl Failure {
    pub(crate) fn new(verdict: Verdict, ejects_server: bool, reason: &'static str) -> Self {
        Self {
            verdict,
            ejects_server,
            reason,
            answer: None,
        }
    }
}

/// All requests on their way.
#[derive(Default)]
pub(crate) struct Exchanges {
    all: HashMap<ExchangeId, Exchange>,
    next: u64,
}

impl Exchanges {
    /// A name for a new exchange.
    pub(crate) fn next_id(&mut self) -> ExchangeId {
        self.next += 1;
        ExchangeId(self.next)
    }

    /// Puts an exchange back, or in for the first time.
    pub(crate) fn put(&mut self, id: ExchangeId, exchange: Exchange) {
        self.all.insert(id, exchange);
    }

    /// Takes an exchange out.
    pub(crate) fn take(&mut self, id: ExchangeId) -> Option<Exchange> {
        self.all.remove(&id)
    }

    /// An exchange.
    pub(crate) fn get(&self, id: ExchangeId) -> Option<&Exchange> {
        self.all.get(&id)
    }

    /// An exchange.
    pub(crate) fn get_mut(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.all.get_mut(&id)
    }
}
