//! A request that is being forwarded to servers: its originator, its deadlines and its attempts.

use crate::answer_matching::MatchedAnswer;
use crate::attempt_timeouts;
use crate::attempts::{AttemptHistory, RetryLimits};
use crate::passed_stream::PassedStream;
use crate::protocol::OwnAnswer;
use crate::running_attempt::RunningAttempt;
use crate::suspects;
use crate::trials::TrialState;
use std::sync::Arc;
use wingshore_coordination::{
    AssignmentId, InstanceId, Route, ServiceName, TenantName, UsageWindow,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::WholeRequest;
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// The originator of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The client of a connection.
    Client(ConnectionId),
    /// A scoring assignment.
    Scoring(AssignmentId),
    /// Nobody waits for the answer any more; the request runs on trial.
    Nobody,
}

/// A request that is being forwarded, and the state of its attempts.
pub(crate) struct Exchange {
    pub(crate) origin: Origin,
    /// The tenant on whose behalf the request runs.
    pub(crate) tenant: Option<TenantName>,
    /// The usage window in which the request is counted, until an attempt may have run there.
    pub(crate) usage_window: Option<UsageWindow>,
    pub(crate) request: WholeRequest,
    /// The request ID.
    pub(crate) id: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) started_at: Instant,
    /// When the request must be answered, across all attempts.
    pub(crate) deadline: Instant,
    /// Outcomes of the attempts so far.
    pub(crate) history: AttemptHistory,
    /// Servers that the request was sent to.
    pub(crate) sent_to: Vec<InstanceId>,
    /// The attempts that are running: at most two.
    pub(crate) running: Vec<RunningAttempt>,
    /// When a second attempt is due besides the running one.
    pub(crate) second_due_at: Option<Instant>,
    /// Whether a second attempt was started.
    pub(crate) had_second: bool,
    /// The trial that the request needs while it is suspected of crashing servers.
    pub(crate) trial: TrialState,
    /// Whether the request is rejected because too many servers crashed while running it.
    pub(crate) is_rejected: bool,
    /// The part of a stream already forwarded to the client; set once its head has been forwarded.
    pub(crate) stream: Option<PassedStream>,
}

/// The parameters of an [`Exchange`] that is about to start.
pub(crate) struct NewExchange {
    pub(crate) origin: Origin,
    pub(crate) tenant: Option<TenantName>,
    pub(crate) request: WholeRequest,
    /// The request ID.
    pub(crate) id: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// When the request must be answered.
    pub(crate) deadline: Instant,
}

impl Exchange {
    /// Creates an exchange that has not been sent to any server.
    pub(crate) fn new(now: Instant, new: NewExchange) -> Self {
        Self {
            origin: new.origin,
            tenant: new.tenant,
            usage_window: None,
            request: new.request,
            id: new.id,
            route: new.route,
            service: new.service,
            started_at: now,
            deadline: new.deadline,
            history: AttemptHistory::default(),
            sent_to: Vec::new(),
            running: Vec::new(),
            second_due_at: None,
            had_second: false,
            trial: TrialState::None,
            is_rejected: false,
            stream: None,
        }
    }

    /// Returns the retry limits of the route.
    pub(crate) fn limits(&self) -> RetryLimits {
        RetryLimits::of(&self.route)
    }

    /// Shortens the deadline to `end` if it is later than that.
    pub(crate) fn shorten_deadline(&mut self, end: Instant) {
        self.deadline = self.deadline.min(end);
    }

    /// Whether the request runs on trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        matches!(self.trial, TrialState::Running(_))
    }

    /// Whether the leader was asked with this identifier for a trial of the request.
    pub(crate) fn asked_with(&self, question: u64) -> bool {
        self.trial == TrialState::Asked(question)
    }

    /// Whether the request waits for the leader's answer about a trial.
    pub(crate) fn waits_for_trial(&self) -> bool {
        matches!(self.trial, TrialState::Asked(_))
    }

    /// Returns when an attempt is abandoned so that another server can get the request. A stream
    /// that has started keeps going until the deadline of the whole request.
    fn attempt_deadline(&self, attempt: &RunningAttempt) -> Instant {
        if self.stream.is_some() {
            return self.deadline;
        }
        if self.is_on_trial() && attempt.connected_at.is_some() {
            return self.deadline;
        }
        let Some(connected_at) = attempt.connected_at else {
            return attempt_timeouts::connect_deadline(attempt.started_at, self.deadline);
        };
        attempt.kept_until.unwrap_or_else(|| {
            attempt_timeouts::answer_deadline(
                connected_at,
                self.deadline,
                self.limits(),
                self.other_attempts(),
                self.route.target_latency,
            )
        })
    }

    /// Keeps a late attempt running for a while longer.
    pub(crate) fn keep(&mut self, now: Instant, connection: ConnectionId) {
        let (deadline, target_latency) = (self.deadline, self.route.target_latency);
        if let Some(attempt) = self.attempt_mut(connection) {
            let kept_until = attempt_timeouts::kept_until(now, deadline, target_latency);
            attempt.kept_until = Some(kept_until);
        }
    }

    /// Returns the number of attempts that may have run or are running, besides one that is
    /// running.
    fn other_attempts(&self) -> u32 {
        let others = self.running.len().saturating_sub(1);
        self.history.attempts + u32::try_from(others).unwrap_or(u32::MAX)
    }

    /// Returns the connection of an attempt whose deadline has passed.
    pub(crate) fn late_attempt(&self, now: Instant) -> Option<ConnectionId> {
        let late = |attempt: &&RunningAttempt| now >= self.attempt_deadline(attempt);
        self.running
            .iter()
            .find(late)
            .map(|attempt| attempt.connection)
    }

    /// Whether a second attempt is due.
    pub(crate) fn is_second_due(&self, now: Instant) -> bool {
        self.second_due_at.is_some_and(|due_at| now >= due_at)
    }

    /// Returns when the exchange must be looked at next: a second attempt is due, or an attempt is
    /// abandoned.
    pub(crate) fn next_timer(&self) -> Instant {
        let deadlines = self.running.iter();
        let deadlines = deadlines.map(|attempt| self.attempt_deadline(attempt));
        deadlines
            .chain(self.second_due_at)
            .fold(self.deadline, Instant::min)
    }

    /// Returns the running attempt on a connection.
    pub(crate) fn attempt_mut(&mut self, connection: ConnectionId) -> Option<&mut RunningAttempt> {
        let mut running = self.running.iter_mut();
        running.find(|attempt| attempt.connection == connection)
    }

    /// Removes the attempt on a connection from those that are running, and returns it.
    pub(crate) fn take_attempt(&mut self, connection: ConnectionId) -> Option<RunningAttempt> {
        let mut running = self.running.iter();
        let position = running.position(|attempt| attempt.connection == connection)?;
        Some(self.running.remove(position))
    }

    /// Whether the current server has streamed events for so long that the request is not suspected
    /// of crashing it.
    pub(crate) fn has_streamed_long(&self, now: Instant) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| suspects::is_cleared(now, stream.source_started_at))
    }

    /// Returns the request ID as text.
    pub(crate) fn id_text(&self) -> String {
        String::from_utf8_lossy(&self.id).into_owned()
    }

    /// Returns the client's connection; `None` for a scoring.
    pub(crate) fn client(&self) -> Option<ConnectionId> {
        match self.origin {
            Origin::Client(client) => Some(client),
            Origin::Scoring(_) | Origin::Nobody => None,
        }
    }
}

/// An attempt that yielded no usable answer.
pub(crate) struct AttemptFailure {
    pub(crate) verdict: Verdict,
    /// Whether the server is ejected from load balancing for a while.
    pub(crate) ejects_server: bool,
    /// The reason, as shown in logs and metrics.
    pub(crate) reason: &'static str,
    /// The server's own error answer, if there is one.
    pub(crate) answer: Option<MatchedAnswer>,
}

impl AttemptFailure {
    /// Creates a failure without an answer of the server.
    pub(crate) fn new(verdict: Verdict, ejects_server: bool, reason: &'static str) -> Self {
        Self {
            verdict,
            ejects_server,
            reason,
            answer: None,
        }
    }
}

/// The result of an exchange, for its originator.
pub(crate) enum ExchangeEnd {
    /// The client gets a server's answer.
    ServerAnswer {
        /// The client's connection.
        client: ConnectionId,
        /// The answer.
        answer: MatchedAnswer,
    },
    /// The client gets an answer generated by the gateway.
    OwnAnswer {
        /// The client's connection.
        client: ConnectionId,
        /// The answer.
        answer: OwnAnswer,
    },
    /// The client has received the complete stream.
    StreamEnded(ConnectionId),
    /// The stream cannot be resumed: the client must not take the answer for complete.
    StreamBroken(ConnectionId),
    /// The client does not read its stream fast enough.
    ClientDoesNotRead(ConnectionId),
    /// Nobody waits for the result.
    NobodyWaits,
    /// The request of a scoring has ended.
    Scoring {
        /// The assignment of the scoring.
        scoring: AssignmentId,
        /// The result of its request.
        end: ScoringRequestEnd,
    },
}

/// The result of a scoring's request.
pub(crate) struct ScoringRequestEnd {
    /// Outcomes of the attempts that yielded no usable answer.
    pub(crate) history: AttemptHistory,
    /// Whether the request took no longer than the target latency of its route.
    pub(crate) is_in_time: bool,
    /// The usable answer, if there is one.
    pub(crate) answer: Option<MatchedAnswer>,
}
