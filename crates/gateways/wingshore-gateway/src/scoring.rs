//! Scorings: asking a scoring service for the scores of whole texts.
//!
//! A scoring begins where its text was made as soon as the text is whole, or by the leader's word
//! where that gateway is gone. It goes the way of a live request, within the routes, attempts and
//! time limits in force.
//!
//! Owns the scorings, those that wait and the limit of each service. The end of a scoring is kept until
//! a leader has made it durable and releases it.

use crate::coordinators::send;
use crate::environment::Environment;
use crate::exchange::{Exchange, ExchangeEnd, NewExchange, Origin, ScoringRequestEnd};
use crate::forward::Exchanges;
use crate::ids::ExchangeId;
use crate::limit::{ConcurrencyLimit, LoadSignal};
use crate::protocol::HeaderNames;
use crate::scoring_policy::{self, ScoringEnd};
use slog::info;
use std::collections::{BTreeMap, HashMap, VecDeque};
use wingshore_coordination::{
    AssignmentId, GatewayMessage, NotScoredReason, RunningScoring, Scorer, ScoringAssignment,
    ScoringOutcome, ServiceName,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::{Headers, RequestHead, WholeAnswer, WholeRequest};
use wingshore_types::Instant;

/// One scoring in hand, or whose end the leader has not made durable.
struct Scoring {
    assignment: ScoringAssignment,
    /// When it came into hand.
    since: Instant,
    /// Its request under way, and to which service.
    exchange: Option<(ExchangeId, ServiceName)>,
    outcome: Option<ScoringOutcome>,
    /// The connection on which the outcome was reported.
    reported_on: Option<ConnectionId>,
}

/// What became of a scoring that was to be started.
pub(crate) enum Started {
    /// It waits for its turn.
    Waits,
    /// It is gone, or its request is on its way.
    Gone,
    /// It has ended: others may have their turn.
    Ended,
    /// Its request is over already.
    RequestOver(ExchangeEnd),
}

/// All scorings of this gateway.
pub(crate) struct Scorings {
    all: BTreeMap<AssignmentId, Scoring>,
    /// Those whose request has not been sent, in their order.
    queue: VecDeque<AssignmentId>,
    limits: HashMap<ServiceName, ConcurrencyLimit>,
    /// Whether the limits of the services are kept.
    is_limited: bool,
}

impl Scorings {
    /// None yet; `is_limited` if they keep within what their servers take.
    pub(crate) fn new(is_limited: bool) -> Self {
        Self {
            all: BTreeMap::new(),
            queue: VecDeque::new(),
            limits: HashMap::new(),
            is_limited,
        }
    }

    /// What is in hand, and what has ended without a leader having made that durable.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningScoring> + '_ {
        self.all.values().map(|scoring| RunningScoring {
            scoring: scoring.assignment.scoring,
            item: scoring.assignment.item.clone(),
            made_by: scoring.assignment.made_by,
        })
    }

    /// Names of those in hand.
    pub(crate) fn in_hand(&self) -> Vec<AssignmentId> {
        let in_hand = self
            .all
            .iter()
            .filter(|(_, scoring)| scoring.outcome.is_none());
        in_hand.map(|(id, _)| *id).collect()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// How many wait for their turn.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// A text is to be scored; says whether that is news.
    pub(crate) fn add(&mut self, now: Instant, assignment: ScoringAssignment) -> bool {
        let id = assignment.scoring;
        if self.all.contains_key(&id) {
            return false;
        }
        let scoring = Scoring {
            assignment,
            since: now,
            exchange: None,
            outcome: None,
            reported_on: None,
        };
        self.all.insert(id, scoring);
        self.queue.push_back(id);
        true
    }

    /// Takes all that wait for their turn.
    pub(crate) fn take_queue(&mut self) -> VecDeque<AssignmentId> {
        std::mem::take(&mut self.queue)
    }

    /// A scoring waits for its turn, behind the others.
    pub(crate) fn requeue(&mut self, id: AssignmentId) {
        self.queue.push_back(id);
    }

    /// Sends the request of a scoring, if the limit of its service allows that.
    pub(crate) fn start(
        &mut self,
        environment: &mut Environment,
        exchanges: &mut Exchanges,
        id: AssignmentId,
    ) -> Started {
        let now = environment.runtime.now;
        let Some(scoring) = self.all.get_mut(&id) else {
            return Started::Gone;
        };
        let scorer = &scoring.assignment.scorer;
        let routes = environment.site.view.routes();
        let route = routes.find(&scorer.host, &scorer.path).cloned();
        let target = route.and_then(|route| Some((exchanges.next_service(&route)?, route)));
        let Some((service, route)) = target else {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::NoRoute);
            self.end(environment, id, outcome);
            return Started::Ended;
        };
        let servers = environment.site.view.servers_of(&service);
        let slots = servers.map(|server| server.slots).sum();
        let limit = self.limits.entry(service.clone()).or_default();
        if self.is_limited && !limit.allows(scoring_policy::max_scorings(slots)) {
            return Started::Waits;
        }
        limit.acquire();
        let names = environment.site.protocol.header_names();
        let deadline = now + route.timeout;
        let new = NewExchange {
            origin: Origin::Scoring(id),
            tenant: scoring.assignment.item.job.tenant().cloned(),
            request: request_of(names, scorer),
            id: scorer.request.as_str().as_bytes().to_vec(),
            route,
            service: service.clone(),
            deadline,
        };
        let exchange = exchanges.next_id();
        scoring.exchange = Some((exchange, service));
        match exchanges.begin(environment, exchange, Exchange::new(now, new)) {
            Some(end) => Started::RequestOver(end),
            None => Started::Gone,
        }
    }

    /// The request of a scoring is over.
    pub(crate) fn on_request_end(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        end: ScoringRequestEnd,
    ) {
        let now = environment.runtime.now;
        let ScoringEnd { outcome, signal } = match &end.answer {
            Some(answer) => {
                let score = score_of(environment, answer);
                scoring_policy::answered(score, end.history, end.is_in_time)
            }
            None => scoring_policy::given_up(end.history),
        };
        self.free_place(now, id, signal);
        self.end(environment, id, outcome);
    }

    /// Reports to the leader the ends that it was not sent.
    pub(crate) fn report_ended(&mut self, environment: &mut Environment, leader: ConnectionId) {
        for (id, scoring) in &mut self.all {
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

    /// A leader has no more use for a scoring.
    pub(crate) fn release(
        &mut self,
        environment: &mut Environment,
        exchanges: &mut Exchanges,
        id: AssignmentId,
    ) {
        let now = environment.runtime.now;
        if let Some(exchange) = self.free_place(now, id, LoadSignal::None) {
            exchanges.cancel(environment, exchange);
        }
        self.all.remove(&id);
        self.queue.retain(|queued| *queued != id);
    }

    /// A planned stop: scorings that have not begun go on elsewhere.
    pub(crate) fn return_queued(&mut self, environment: &mut Environment) {
        for id in self.take_queue() {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::Stopping);
            self.end(environment, id, outcome);
        }
    }

    /// The request of a scoring is over: its service has a free place. Gives the exchange.
    fn free_place(
        &mut self,
        now: Instant,
        id: AssignmentId,
        signal: LoadSignal,
    ) -> Option<ExchangeId> {
        let (exchange, service) = self.all.get_mut(&id)?.exchange.take()?;
        if let Some(limit) = self.limits.get_mut(&service) {
            limit.release(now, signal);
        }
        Some(exchange)
    }

    fn end(&mut self, environment: &mut Environment, id: AssignmentId, outcome: ScoringOutcome) {
        let Some(scoring) = self.all.get_mut(&id) else {
            return;
        };
        log_ended(environment, scoring, &outcome, self.queue.len());
        scoring.outcome = Some(outcome);
        if let Some(leader) = environment.site.coordinators.leader() {
            self.report_ended(environment, leader);
        }
    }
}

/// The request that asks for a score.
fn request_of(names: &HeaderNames, scorer: &Scorer) -> WholeRequest {
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
        body: scorer.body.clone(),
    }
}

/// The score that a success bears.
fn score_of(environment: &Environment, answer: &WholeAnswer) -> Option<String> {
    let name = environment.site.protocol.header_names().signature;
    let score = answer.head.headers.text(name);
    score
        .filter(|_| answer.head.is_success())
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
    let time = now.since(scoring.since);
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
