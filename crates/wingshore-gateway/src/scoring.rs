//! Scorings: asking a scoring service for the scores of whole texts.
//!
//! A scoring begins where its text was made as soon as the text is whole, or by the leader's word
//! where that gateway is gone. It goes the way of a live request, within the routes, attempts and
//! time limits in force. Its end is kept until a leader has made it durable.

use crate::coordinators::send;
use crate::exchange::{Exchange, Origin};
use crate::ids::ExchangeId;
use crate::limit::{ConcurrencyLimit, Sign};
use crate::process::Gateway;
use slog::info;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use wingshore_coordination::{
    AssignmentId, GatewayMessage, NotScoredReason, Route, RunningScoring, ScoringAssignment,
    ScoringOutcome, ServiceName,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::{Headers, RequestHead, WholeAnswer, WholeRequest};
use wingshore_types::Instant;

/// Part of a service's slots that this gateway's scorings take at the most: others need some too.
const SLOTS_PART: usize = 2;

/// One scoring in hand, or whose end was not told.
struct ScoringRun {
    assignment: ScoringAssignment,
    /// When it came into hand.
    since: Instant,
    /// Its request under way, and to which service.
    exchange: Option<(ExchangeId, ServiceName)>,
    /// What came of it, until a leader has made it durable.
    outcome: Option<ScoringOutcome>,
    /// The connection on which that was told.
    told: Option<ConnectionId>,
}

/// All scorings of this gateway.
#[derive(Default)]
pub(crate) struct Scorings {
    runs: BTreeMap<AssignmentId, ScoringRun>,
    /// Those whose request has not been sent, in their order.
    queue: VecDeque<AssignmentId>,
    limits: HashMap<ServiceName, ConcurrencyLimit>,
}

impl Scorings {
    /// What is in hand, and what has ended without a leader being told.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningScoring> + '_ {
        self.runs.values().map(|run| RunningScoring {
            scoring: run.assignment.scoring,
            item: run.assignment.item.clone(),
            made_by: run.assignment.made_by,
        })
    }

    /// Names of those in hand.
    pub(crate) fn in_hand(&self) -> Vec<AssignmentId> {
        let in_hand = self.runs.iter().filter(|(_, run)| run.outcome.is_none());
        in_hand.map(|(id, _)| *id).collect()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.runs.len()
    }

    /// How many wait for their turn.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The request of a scoring is over.
    fn exchange_over(&mut self, now: Instant, id: AssignmentId, sign: Sign) {
        let run = self.runs.get_mut(&id);
        let Some((_, service)) = run.and_then(|run| run.exchange.take()) else {
            return;
        };
        if let Some(limit) = self.limits.get_mut(&service) {
            limit.ended(now, sign);
        }
    }
}

impl Gateway {
    /// A text is to be scored.
    pub(crate) fn begin_scoring(&mut self, now: Instant, assignment: ScoringAssignment) {
        let id = assignment.scoring;
        if self.scorings.runs.contains_key(&id) {
            return;
        }
        let run = ScoringRun {
            assignment,
            since: now,
            exchange: None,
            outcome: None,
            told: None,
        };
        self.scorings.runs.insert(id, run);
        self.scorings.queue.push_back(id);
        self.start_scorings(now);
    }

    /// Sends the requests of those that wait, as far as the limits of their services allow.
    ///
    /// Without a leader nothing is begun: it could not say that a job has ended meanwhile.
    pub(crate) fn start_scorings(&mut self, now: Instant) {
        if self.environment.site.coordinators.leader().is_none() {
            return;
        }
        for id in std::mem::take(&mut self.scorings.queue) {
            if !self.start_scoring(now, id) {
                self.scorings.queue.push_back(id);
            }
        }
    }

    /// Sends the request of a scoring; says whether it need not wait any more.
    fn start_scoring(&mut self, now: Instant, id: AssignmentId) -> bool {
        let Some(run) = self.scorings.runs.get(&id) else {
            return true;
        };
        let scorer = &run.assignment.scorer;
        let route = self
            .environment
            .site
            .view
            .routes()
            .find(&scorer.host, &scorer.path)
            .cloned();
        let target = route.and_then(|route| Some((self.next_target(&route)?, route)));
        let Some((service, route)) = target else {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::NoRoute);
            self.end_scoring(now, id, outcome);
            return true;
        };
        let slots = self
            .environment
            .site
            .view
            .servers_of(&service)
            .map(|server| server.slots);
        let most = slots.sum::<u32>() as usize / SLOTS_PART;
        let limit = self.scorings.limits.entry(service.clone()).or_default();
        if self.settings.policy.scoring_limit && !limit.allows(most) {
            return false;
        }
        limit.begun();
        self.send_scoring(now, id, service, route);
        true
    }

    fn send_scoring(
        &mut self,
        now: Instant,
        id: AssignmentId,
        service: ServiceName,
        route: Arc<Route>,
    ) {
        let names = self.environment.site.protocol.header_names();
        let Some(run) = self.scorings.runs.get(&id) else {
            return;
        };
        let scorer = &run.assignment.scorer;
        let lines = [
            ("Host", scorer.host.as_str()),
            (names.request_id, scorer.request.as_str()),
        ];
        let request = WholeRequest {
            head: RequestHead {
                method: "POST".to_owned(),
                target: scorer.path.clone(),
                is_http11: true,
                headers: Headers::from_lines(lines),
            },
            body: scorer.body.clone(),
        };
        let origin = Origin::Scoring(id);
        let timeout = route.timeout;
        let tenant = run.assignment.item.job.tenant().cloned();
        let mut exchange = self.new_exchange(now, origin, request, route, service.clone());
        exchange.tenant = tenant;
        let name = self.exchanges.next_id();
        if let Some(run) = self.scorings.runs.get_mut(&id) {
            run.exchange = Some((name, service));
        }
        self.begin_exchange(now, name, exchange, timeout);
    }

    /// A server has answered a scoring's request, and not with a failure.
    pub(crate) fn scoring_answered(
        &mut self,
        now: Instant,
        id: AssignmentId,
        exchange: &Exchange,
        answer: &WholeAnswer,
    ) {
        let is_in_time = now.since(exchange.begun) <= exchange.route.target_latency;
        let sign = if is_in_time && exchange.history.refusals == 0 {
            Sign::InTime
        } else {
            Sign::Overload
        };
        self.scorings.exchange_over(now, id, sign);
        let signature = self.environment.site.protocol.header_names().signature;
        let score = answer.head.headers.text(signature).map(str::to_owned);
        let outcome = match score {
            Some(score) if answer.head.is_success() => ScoringOutcome::Scored(score),
            _ => ScoringOutcome::NotScored(NotScoredReason::NoAnswer),
        };
        self.end_scoring(now, id, outcome);
    }

    /// No server has answered a scoring's request, or all failed.
    pub(crate) fn scoring_given_up(&mut self, now: Instant, id: AssignmentId, exchange: &Exchange) {
        let outcome = match exchange.history.server_failures {
            0 if exchange.history.may_have_run => {
                ScoringOutcome::NotScored(NotScoredReason::NoAnswer)
            }
            0 => ScoringOutcome::NotScored(NotScoredReason::Refused),
            failures => ScoringOutcome::Failed(failures),
        };
        let sign = match outcome {
            ScoringOutcome::Failed(_) => Sign::None,
            _ => Sign::Overload,
        };
        self.scorings.exchange_over(now, id, sign);
        self.end_scoring(now, id, outcome);
    }

    fn end_scoring(&mut self, now: Instant, id: AssignmentId, outcome: ScoringOutcome) {
        let Some(run) = self.scorings.runs.get_mut(&id) else {
            return;
        };
        let time = now.since(run.since);
        self.environment
            .runtime
            .metrics
            .scoring_ended(outcome.name(), time);
        let scored = matches!(outcome, ScoringOutcome::Scored(_));
        let assignment = &run.assignment;
        if !scored
            || self
                .environment
                .runtime
                .samples(now, assignment.id.as_str())
        {
            info!(self.environment.runtime.logger, "scoring ended"; "item" => %assignment.id,
                "job" => %assignment.item.job, "request" => %assignment.scorer.request,
                "outcome" => outcome.name(), "epoch" => id.epoch.0, "scoring" => id.number,
                "after_ms" => time.as_millis() as u64, "queued" => self.scorings.queue.len(),
                "configuration" => self.environment.site.view.version());
        }
        run.outcome = Some(outcome);
        if let Some(leader) = self.environment.site.coordinators.leader() {
            self.tell_ended_scorings(leader);
        }
        self.start_scorings(now);
    }

    /// Tells the leader the ends that it was not told.
    pub(crate) fn tell_ended_scorings(&mut self, leader: ConnectionId) {
        let mut messages = Vec::new();
        for (id, run) in &mut self.scorings.runs {
            let Some(outcome) = run.outcome.as_ref().filter(|_| run.told != Some(leader)) else {
                continue;
            };
            messages.push(GatewayMessage::ScoringEnded {
                scoring: *id,
                outcome: outcome.clone(),
            });
            run.told = Some(leader);
        }
        for message in messages {
            send(&mut self.environment.runtime, leader, message);
        }
    }

    /// A leader has no more use for a scoring.
    pub(crate) fn release_scoring(&mut self, now: Instant, id: AssignmentId) {
        let exchange = self.scorings.runs.get(&id).and_then(|run| {
            let (exchange, _) = run.exchange.as_ref()?;
            Some(*exchange)
        });
        self.scorings.exchange_over(now, id, Sign::None);
        if let Some(exchange) = exchange {
            self.drop_exchange(exchange);
        }
        self.scorings.runs.remove(&id);
        self.scorings.queue.retain(|queued| *queued != id);
        self.start_scorings(now);
    }

    /// A planned stop: scorings that have not begun go on elsewhere.
    pub(crate) fn hand_scorings_back(&mut self, now: Instant) {
        for id in std::mem::take(&mut self.scorings.queue) {
            let outcome = ScoringOutcome::NotScored(NotScoredReason::Stopping);
            self.end_scoring(now, id, outcome);
        }
    }
}
