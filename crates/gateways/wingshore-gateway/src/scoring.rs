//! Scorings: requests to a scoring service for the scores of complete texts.
//!
//! A scoring begins on a gateway to which the leader grants it. Under a leader that does not grant
//! scorings, it begins on the gateway that generated the text, as soon as the text is complete, or
//! on another gateway that the leader assigns if that gateway is gone. It is sent like a live request,
//! within the routes, attempts and time limits in force.
//!
//! Owns the scorings, their queue and the limit of each service. The outcome of a scoring is kept
//! until a leader has made it durable and releases the scoring.

use crate::answer_matching::MatchedAnswer;
use crate::coordinators::send;
use crate::environment::Environment;
use crate::exchange::{Exchange, ExchangeEnd, NewExchange, Origin, ScoringRequestEnd};
use crate::forward::Exchanges;
use crate::ids::ExchangeId;
use crate::limit::{ConcurrencyLimit, LoadSignal};
use crate::protocol::HeaderNames;
use crate::scoring_load::ScoringLoads;
use crate::scoring_policy::{self, ScoringEnd};
use slog::info;
use std::collections::{BTreeMap, HashMap, VecDeque};
use wingshore_coordination::{
    AssignmentId, GatewayMessage, NotScoredReason, RunningScoring, Scorer, ScoringAssignment,
    ScoringOutcome, ServiceName,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::{Headers, MessageBody, RequestHead, WholeRequest};
use wingshore_types::Instant;

/// A scoring that is unfinished, or whose outcome the leader has not made durable.
struct Scoring {
    assignment: ScoringAssignment,
    /// Whether the leader has granted it within the limit that all gateways share.
    is_granted: bool,
    /// When the scoring was added.
    added_at: Instant,
    /// The running request and its service.
    exchange: Option<(ExchangeId, ServiceName)>,
    outcome: Option<ScoringOutcome>,
    /// The connection on which the outcome was reported.
    reported_on: Option<ConnectionId>,
}

/// Result of an attempt to start a scoring.
pub(crate) enum StartOutcome {
    /// The limit of its service is reached: the scoring must be queued again.
    LimitReached,
    /// The scoring no longer exists, or its request was sent.
    NothingToDo,
    /// The scoring has ended: other scorings may be started.
    Ended,
    /// The request of the scoring has ended already.
    RequestEnded(ExchangeEnd),
}

/// All scorings of this gateway.
pub(crate) struct Scorings {
    by_id: BTreeMap<AssignmentId, Scoring>,
    /// Scorings whose request was not sent yet, in order.
    queue: VecDeque<AssignmentId>,
    limits: HashMap<ServiceName, ConcurrencyLimit>,
    /// Whether the limits of the services are enforced.
    is_limited: bool,
    loads: ScoringLoads,
}

impl Scorings {
    /// Starts without scorings; `is_limited` if the limits of the services are enforced.
    pub(crate) fn new(is_limited: bool) -> Self {
        Self {
            by_id: BTreeMap::new(),
            queue: VecDeque::new(),
            limits: HashMap::new(),
            is_limited,
            loads: ScoringLoads::default(),
        }
    }

    /// Returns the observations at scoring services, for reports to the leader.
    pub(crate) fn loads(&mut self) -> &mut ScoringLoads {
        &mut self.loads
    }

    /// Returns the unfinished scorings, and those whose outcome no leader has made durable.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningScoring> + '_ {
        self.by_id.values().map(|scoring| RunningScoring {
            scoring: scoring.assignment.scoring,
            item: scoring.assignment.item.clone(),
            made_by: scoring.assignment.made_by,
        })
    }

    /// Returns the identifiers of the unfinished scorings.
    pub(crate) fn unfinished(&self) -> Vec<AssignmentId> {
        let unfinished = self
            .by_id
            .iter()
            .filter(|(_, scoring)| scoring.outcome.is_none());
        unfinished.map(|(id, _)| *id).collect()
    }

    /// Returns the number of scorings.
    pub(crate) fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of queued scorings.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queues the scoring of a text; returns false if it exists already. A scoring that the leader
    /// has granted is not subject to the limit of this gateway.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        assignment: ScoringAssignment,
        is_granted: bool,
    ) -> bool {
        let id = assignment.scoring;
        if self.by_id.contains_key(&id) {
            return false;
        }
        let scoring = Scoring {
            assignment,
            is_granted,
            added_at: now,
            exchange: None,
            outcome: None,
            reported_on: None,
        };
        self.by_id.insert(id, scoring);
        self.queue.push_back(id);
        true
    }

    /// Takes all queued scorings.
    pub(crate) fn take_queue(&mut self) -> VecDeque<AssignmentId> {
        std::mem::take(&mut self.queue)
    }

    /// Puts a scoring at the end of the queue.
    pub(crate) fn requeue(&mut self, id: AssignmentId) {
        self.queue.push_back(id);
    }

    /// Sends the request of a scoring if the limit of its service allows it.
    pub(crate) fn start(
        &mut self,
        environment: &mut Environment,
        exchanges: &mut Exchanges,
        id: AssignmentId,
    ) -> StartOutcome {
        let now = environment.runtime.now;
        let Some(scoring) = self.by_id.get_mut(&id) else {
            return StartOutcome::NothingToDo;
        };
        let scorer = &scoring.assignment.scorer;
        let routes = environment.site.view.routes();
        let route = routes.find(&scorer.host, &scorer.path).cloned();
        let target = route.and_then(|route| Some((exchanges.next_service(&route)?, route)));
        let Some((service, route)) = target else {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::NoRoute);
            self.end(environment, id, outcome);
            return StartOutcome::Ended;
        };
        let servers = environment.site.view.servers_of(&service);
        let slots = servers.map(|server| server.slots).sum();
        let limit = self.limits.entry(service.clone()).or_default();
        let is_limited = self.is_limited && !scoring.is_granted;
        if is_limited && !limit.allows(scoring_policy::max_scorings(slots)) {
            return StartOutcome::LimitReached;
        }
        limit.acquire();
        let names = environment.site.protocol.header_names();
        let deadline = now + route.timeout;
        let new = NewExchange {
            origin: Origin::Scoring(id),
            tenant: scoring.assignment.item.job.tenant().cloned(),
            request: score_request(names, scorer),
            id: scorer.request.as_str().as_bytes().to_vec(),
            route,
            service: service.clone(),
            deadline,
        };
        let exchange = exchanges.next_id();
        scoring.exchange = Some((exchange, service));
        match exchanges.begin(environment, exchange, Exchange::new(now, new)) {
            Some(end) => StartOutcome::RequestEnded(end),
            None => StartOutcome::NothingToDo,
        }
    }

    /// Handles the end of a scoring's request.
    pub(crate) fn on_request_end(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        end: ScoringRequestEnd,
    ) {
        let now = environment.runtime.now;
        let ScoringEnd { outcome, signal } = match &end.answer {
            Some(answer) => {
                let score = read_score(environment, answer);
                scoring_policy::end_with_answer(score, end.history, end.is_in_time)
            }
            None => scoring_policy::end_without_answer(end.history),
        };
        self.release_slot(now, id, signal);
        self.end(environment, id, outcome);
    }

    /// Reports the outcomes that were not sent to this leader yet.
    pub(crate) fn report_ended(&mut self, environment: &mut Environment, leader: ConnectionId) {
        for (id, scoring) in &mut self.by_id {
            let outcome = scoring.outcome.as_ref();
            let Some(outcome) = outcome.filter(|_| scoring.reported_on != Some(leader)) else {
                continue;
            };
            let message = GatewayMessage::ScoringEnded {
                scoring: *id,
                outcome: outcome.clone(),
            };
            send(&mut environment.runtime, leader, message);
            scoring.reported_on = Some(leader);
        }
    }

    /// Drops a scoring that the leader no longer needs.
    pub(crate) fn release(
        &mut self,
        environment: &mut Environment,
        exchanges: &mut Exchanges,
        id: AssignmentId,
    ) {
        let now = environment.runtime.now;
        if let Some(exchange) = self.release_slot(now, id, LoadSignal::None) {
            exchanges.originator_left(environment, exchange);
        }
        self.by_id.remove(&id);
        self.queue.retain(|queued| *queued != id);
    }

    /// Ends the queued scorings for a planned stop: they are run elsewhere.
    pub(crate) fn end_queued(&mut self, environment: &mut Environment) {
        for id in self.take_queue() {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::Stopping);
            self.end(environment, id, outcome);
        }
    }

    /// Releases the slot that a scoring's request used in the limit of its service. Returns the
    /// exchange.
    fn release_slot(
        &mut self,
        now: Instant,
        id: AssignmentId,
        signal: LoadSignal,
    ) -> Option<ExchangeId> {
        let (exchange, service) = self.by_id.get_mut(&id)?.exchange.take()?;
        self.loads.record(&service, signal);
        if let Some(limit) = self.limits.get_mut(&service) {
            limit.release(now, signal);
        }
        Some(exchange)
    }

    fn end(&mut self, environment: &mut Environment, id: AssignmentId, outcome: ScoringOutcome) {
        let Some(scoring) = self.by_id.get_mut(&id) else {
            return;
        };
        log_ended(environment, scoring, &outcome, self.queue.len());
        scoring.outcome = Some(outcome);
        if let Some(leader) = environment.site.coordinators.leader() {
            self.report_ended(environment, leader);
        }
    }
}

/// Builds the request for a score.
fn score_request(names: &HeaderNames, scorer: &Scorer) -> WholeRequest {
    let lines = [
        ("Host", scorer.host.as_str()),
        (names.request_id, scorer.request.as_str()),
    ];
    WholeRequest {
        head: RequestHead {
            method: "POST".to_owned(),
            target: scorer.path.clone(),
            is_http11: true,
            headers: Headers::from_lines(lines),
        },
        body: MessageBody::from(scorer.body.clone()),
    }
}

/// Returns the score that a successful answer carries.
fn read_score(environment: &Environment, answer: &MatchedAnswer) -> Option<String> {
    let name = environment.site.protocol.header_names().signature;
    let score = answer.head().headers.text(name);
    score
        .filter(|_| answer.head().is_success())
        .map(str::to_owned)
}

fn log_ended(
    environment: &mut Environment,
    scoring: &Scoring,
    outcome: &ScoringOutcome,
    queued: usize,
) {
    let now = environment.runtime.now;
    let assignment = &scoring.assignment;
    let id = assignment.scoring;
    let time = now.since(scoring.added_at);
    let runtime = &mut environment.runtime;
    runtime.metrics.scoring_ended(outcome.name(), time);
    let is_scored = matches!(outcome, ScoringOutcome::Scored(_));
    if !is_scored || runtime.samples(assignment.id.as_str()) {
        info!(runtime.logger, "scoring ended"; "item" => %assignment.id,
            "job" => %assignment.item.job, "request" => %assignment.scorer.request,
            "outcome" => outcome.name(), "epoch" => id.epoch.0, "scoring" => id.number,
            "after_ms" => time.as_millis() as u64, "queued" => queued,
            "configuration" => environment.site.view.version());
    }
}
