//! Grants of scorings: which waiting texts are scored now, and through which gateways.

use super::decision_log::Decision;
use super::decisions::gateway_choice::{ScoringPlaces, gateway_for_scoring};
use super::decisions::scoring_limit::{ScoringOrder, is_urgent};
use super::interface::ScoringReadings;
use super::machine::CoordinationLeader;
use super::tables::scorings::{OpenScoring, Scorings, WaitingText};
use super::turn::Turn;
use crate::ids::{AssignmentId, GatewayId, ItemKey, JobId, ServiceName};
use crate::messages::{CoordinatorMessage, ScoringLoad};
use crate::scoring::{ScoringAssignment, ScoringDecision};
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Time between two summaries of a service in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// A waiting text that may be scored now.
struct Candidate<'a> {
    item: &'a ItemKey,
    text: &'a WaitingText,
    due: Option<Instant>,
}

/// A scoring that is granted.
struct Grant {
    item: ItemKey,
    made_by: AssignmentId,
    service: Option<ServiceName>,
    gateway: GatewayId,
    wait: Duration,
}

/// The servers of one service.
#[derive(Default)]
struct ServiceServers {
    slots: u32,
    slots_by_zone: BTreeMap<String, u32>,
}

/// The load while grants are chosen, including the grants chosen so far.
struct GrantRound<'a> {
    state: &'a CoordinationState,
    servers: BTreeMap<ServiceName, ServiceServers>,
    under_way: BTreeMap<ServiceName, u32>,
    assigned: BTreeMap<GatewayId, usize>,
}

impl<'a> GrantRound<'a> {
    fn new(scorings: &Scorings, state: &'a CoordinationState) -> Self {
        let mut round = Self {
            state,
            servers: BTreeMap::new(),
            under_way: BTreeMap::new(),
            assigned: BTreeMap::new(),
        };
        for running in scorings.under_way.values() {
            round.count(running.service.as_ref(), running.gateway);
        }
        round
    }

    fn count(&mut self, service: Option<&ServiceName>, gateway: GatewayId) {
        *self.assigned.entry(gateway).or_default() += 1;
        if let Some(service) = service {
            *self.under_way.entry(service.clone()).or_default() += 1;
        }
    }

    fn servers(&mut self, service: &ServiceName) -> &ServiceServers {
        let state = self.state;
        self.servers
            .entry(service.clone())
            .or_insert_with(|| servers_of(service, state))
    }

    fn under_way(&self, service: &ServiceName) -> u32 {
        self.under_way.get(service).copied().unwrap_or(0)
    }
}

impl CoordinationLeader {
    /// Records a gateway's report of the load of scoring services. A gateway that sends such reports
    /// waits for grants before it starts scorings.
    pub(crate) fn on_scoring_load(
        &mut self,
        gateway: GatewayId,
        loads: Vec<ScoringLoad>,
        turn: &Turn<'_>,
    ) {
        if self.gateways.record_waiting_for_grants(gateway) {
            // Texts that arrived before this report were taken for started; the report of running
            // scorings that follows brings back those that are.
            self.requeue_scorings_of_gateway(turn.now, gateway);
        }
        for load in loads {
            let slots = servers_of(&load.service, turn.state).slots;
            self.scoring_services.record(turn.now, gateway, load, slots);
        }
    }

    /// Grants waiting scorings that are due, within the limits of their services.
    pub(crate) fn place_scorings(&mut self, turn: &mut Turn<'_>) {
        if self.scorings.waiting.is_empty() || turn.now < self.placing_starts_at {
            return;
        }
        for grant in self.choose_grants(turn) {
            if let Some(service) = &grant.service {
                self.scoring_services.count_grant(service, grant.wait);
            }
            self.assign_scoring(grant, turn);
        }
    }

    fn choose_grants(&self, turn: &Turn<'_>) -> Vec<Grant> {
        let mut round = GrantRound::new(&self.scorings, turn.state);
        let mut grants = Vec::new();
        for candidate in self.candidates(turn) {
            let service = self.scoring_service(candidate.item, turn.state);
            if !self.has_room(&mut round, turn.now, service.as_ref(), candidate.due) {
                continue;
            }
            let Some(gateway) = self.choose_scoring_gateway(&mut round, service.as_ref()) else {
                break;
            };
            round.count(service.as_ref(), gateway);
            grants.push(Grant {
                item: candidate.item.clone(),
                made_by: candidate.text.made_by,
                service,
                gateway,
                wait: turn.now.since(candidate.text.not_before),
            });
        }
        grants
    }

    /// Returns the waiting texts that may be scored now, in the order in which they are scored.
    fn candidates(&self, turn: &Turn<'_>) -> Vec<Candidate<'_>> {
        let mut last_job: Option<(&JobId, Option<Instant>)> = None;
        let mut candidates = Vec::new();
        for (item, text) in &self.scorings.waiting {
            if turn.now < text.not_before {
                continue;
            }
            let due = match last_job {
                Some((job, due)) if *job == item.job => due,
                _ => self.step_due(item, turn.state),
            };
            last_job = Some((&item.job, due));
            candidates.push(Candidate { item, text, due });
        }
        candidates
            .sort_by_key(|candidate| ScoringOrder::new(candidate.due, candidate.text.not_before));
        candidates
    }

    /// Returns when the step of an item is due; `None` if its route has no due time.
    fn step_due(&self, item: &ItemKey, state: &CoordinationState) -> Option<Instant> {
        let submission = state.jobs().get(&item.job)?.open_contents()?;
        let path = &submission.items.get(item.index as usize)?.path;
        let due = self.routes.find(&submission.host, path)?.due?;
        Some(self.job_clock.known_since(&item.job)? + due)
    }

    /// Returns the service that scores an item: of a split route, the one with the highest weight.
    pub(crate) fn scoring_service(
        &self,
        item: &ItemKey,
        state: &CoordinationState,
    ) -> Option<ServiceName> {
        let scorer = Self::scorer_of(item, state)?;
        let route = self.routes.find(&scorer.host, &scorer.path)?;
        let target = route.targets.iter().max_by_key(|target| target.weight)?;
        Some(target.service.clone())
    }

    fn has_room(
        &self,
        round: &mut GrantRound<'_>,
        now: Instant,
        service: Option<&ServiceName>,
        due: Option<Instant>,
    ) -> bool {
        let Some(service) = service.filter(|_| self.settings.policy.shared_scoring_limit) else {
            return true;
        };
        let slots = round.servers(service).slots;
        let allowed = self
            .scoring_services
            .allowed(now, service, slots, is_urgent(now, due));
        round.under_way(service) < allowed
    }

    fn choose_scoring_gateway(
        &self,
        round: &mut GrantRound<'_>,
        service: Option<&ServiceName>,
    ) -> Option<GatewayId> {
        if let Some(service) = service {
            round.servers(service);
        }
        let known = service.and_then(|service| round.servers.get(service));
        let no_servers = BTreeMap::new();
        let places = ScoringPlaces {
            assigned: &round.assigned,
            slots_by_zone: known.map_or(&no_servers, |known| &known.slots_by_zone),
        };
        gateway_for_scoring(&self.gateways, places)
    }

    fn assign_scoring(&mut self, grant: Grant, turn: &mut Turn<'_>) {
        let Grant {
            item,
            made_by,
            service,
            gateway,
            ..
        } = grant;
        let job = turn.state.jobs().get(&item.job);
        let contents = job.and_then(|job| job.item_contents(item.index));
        let Some((contents, scorer)) =
            contents.and_then(|contents| Some((contents, contents.scorer.clone()?)))
        else {
            self.scorings.waiting.remove(&item);
            return;
        };
        let scoring = self.items.next_assignment();
        let decision = ScoringDecision::Assigned {
            scoring,
            item: item.clone(),
            id: contents.id.clone(),
            request: scorer.request.clone(),
            gateway,
        };
        turn.log(Decision::Scoring(decision));
        let message = CoordinatorMessage::Score(ScoringAssignment {
            scoring,
            item: item.clone(),
            id: contents.id.clone(),
            made_by,
            scorer: *scorer,
        });
        turn.send(gateway, message);
        let running = OpenScoring {
            item,
            made_by,
            service,
            gateway,
            last_reported_at: turn.now,
        };
        self.scorings.start(scoring, running);
    }

    /// Returns the state of the scorings for metrics.
    pub fn scoring_readings(&self, now: Instant, state: &CoordinationState) -> ScoringReadings {
        let limits = self.scoring_services.names().map(|service| {
            let slots = servers_of(service, state).slots;
            u64::from(self.scoring_services.allowed(now, service, slots, false))
        });
        let waits = self.scorings.waiting.values();
        let waits = waits.map(|text| now.since(text.not_before));
        ScoringReadings {
            limit: limits.sum(),
            longest_wait: waits.max().unwrap_or_default(),
        }
    }

    /// Logs the limit of each service with grants since the last summary.
    pub(crate) fn summarize_scorings(&mut self, turn: &mut Turn<'_>) {
        if turn.now < self.next_scoring_summary {
            return;
        }
        self.next_scoring_summary = turn.now + SUMMARY_INTERVAL;
        for (service, counts) in self.scoring_services.take_counts() {
            let slots = servers_of(&service, turn.state).slots;
            let limit = self
                .scoring_services
                .allowed(turn.now, &service, slots, false);
            let waiting = self.scorings.waiting.keys();
            let is_of_service =
                |item: &&ItemKey| self.scoring_service(item, turn.state).as_ref() == Some(&service);
            let waiting = waiting.filter(is_of_service).count();
            turn.log(Decision::Scoring(ScoringDecision::Summary {
                service,
                limit,
                waiting,
                granted: counts.granted,
                refused: counts.refused,
                longest_wait: counts.longest_wait,
            }));
        }
    }
}

/// Returns the slots of a service's servers that are not draining.
fn servers_of(service: &ServiceName, state: &CoordinationState) -> ServiceServers {
    let mut servers = ServiceServers::default();
    let records = state.servers().values();
    for record in records.filter(|record| record.service == *service && !record.draining) {
        servers.slots += record.slots;
        *servers
            .slots_by_zone
            .entry(record.zone.clone())
            .or_default() += record.slots;
    }
    servers
}
