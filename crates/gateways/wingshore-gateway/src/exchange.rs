//! One request on its way to servers: who it is made for, and what has come of it so far.

use crate::attempt_timeouts;
use crate::attempts::{AttemptHistory, RetryLimits};
use crate::passed_stream::PassedStream;
use crate::protocol::OwnAnswer;
use crate::suspects;
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
    pub(crate) deadline: Instant,
    /// How the attempts so far have ended.
    pub(crate) history: AttemptHistory,
    /// The servers that it was sent to.
    pub(crate) sent_to: Vec<InstanceId>,
    /// The connection of the present attempt.
    pub(crate) upstream: Option<ConnectionId>,
    /// The present attempt is given up at this time.
    pub(crate) attempt_deadline: Instant,
    /// Whether so many servers have ended under it that no other one is to run it.
    pub(crate) is_rejected: bool,
    /// What has been passed on of a stream; set once its head has been.
    pub(crate) stream: Option<PassedStream>,
}

/// A request that is to be sent to the servers of a service.
pub(crate) struct NewExchange {
    pub(crate) origin: Origin,
    pub(crate) tenant: Option<TenantName>,
    pub(crate) request: WholeRequest,
    /// Identity of the request.
    pub(crate) id: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// By then it is answered.
    pub(crate) deadline: Instant,
}

impl Exchange {
    /// A request that no server has got yet.
    pub(crate) fn new(now: Instant, new: NewExchange) -> Self {
        Self {
            origin: new.origin,
            tenant: new.tenant,
            counted_in: None,
            request: new.request,
            id: new.id,
            route: new.route,
            service: new.service,
            begun: now,
            deadline: new.deadline,
            history: AttemptHistory::default(),
            sent_to: Vec::new(),
            upstream: None,
            attempt_deadline: new.deadline,
            is_rejected: false,
            stream: None,
        }
    }

    /// What its route allows.
    pub(crate) fn limits(&self) -> RetryLimits {
        RetryLimits::of(&self.route)
    }

    /// It is answered by `end`, and sooner where its own time ends sooner.
    pub(crate) fn end_by(&mut self, end: Instant) {
        self.deadline = self.deadline.min(end);
        self.attempt_deadline = self.attempt_deadline.min(end);
    }

    /// Until when a server that has the request now may take before another one is asked.
    pub(crate) fn answer_deadline(&self, now: Instant) -> Instant {
        let (attempts, target) = (self.history.attempts, self.route.target_latency);
        attempt_timeouts::answer_deadline(now, self.deadline, self.limits(), attempts, target)
    }

    /// When the present attempt is over. A stream that has begun is not cut before the whole request
    /// is.
    pub(crate) fn current_deadline(&self) -> Instant {
        match &self.stream {
            Some(_) => self.deadline,
            None => self.attempt_deadline,
        }
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
    /// One without an answer.
    pub(crate) fn new(verdict: Verdict, ejects_server: bool, reason: &'static str) -> Self {
        Self {
            verdict,
            ejects_server,
            reason,
            answer: None,
        }
    }
}

/// The end of an exchange, for whoever waits for it.
pub(crate) enum ExchangeEnd {
    /// A client gets a server's answer.
    ServerAnswer {
        /// The client's connection.
        client: ConnectionId,
        /// The answer.
        answer: WholeAnswer,
    },
    /// A client gets an answer of the gateway's own.
    OwnAnswer {
        /// The client's connection.
        client: ConnectionId,
        /// The answer.
        answer: OwnAnswer,
    },
    /// A client has got a whole stream.
    StreamEnded(ConnectionId),
    /// A client's stream cannot be resumed: the answer must not look complete.
    StreamBroken(ConnectionId),
    /// A client does not read its stream.
    ClientDoesNotRead(ConnectionId),
    /// A scoring's request is over.
    Scoring {
        /// The scoring.
        scoring: AssignmentId,
        /// What came of its request.
        end: ScoringRequestEnd,
    },
}

/// What came of the request of a scoring.
pub(crate) struct ScoringRequestEnd {
    /// How its attempts ended that brought no usable answer.
    pub(crate) history: AttemptHistory,
    /// Whether it took no longer than its route's target latency.
    pub(crate) is_in_time: bool,
    /// The usable answer.
    pub(crate) answer: Option<WholeAnswer>,
}
