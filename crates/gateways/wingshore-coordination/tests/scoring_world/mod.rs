//! A site whose texts end together: many gateways, and a scoring service with few servers.
#![allow(dead_code, reason = "some helpers serve this module alone")]

use crate::support::{Group, address_of, configuration, engine, scored_job, scoring_route};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, Effect, Event, GatewayId, InstanceId, ItemAssignment, ItemId,
    ItemOutcome, ItemState, ItemText, JobId, LeaderSettings, Request, RouteTarget, RunningItem,
    RunningScoring, ScoringAssignment, ScoringLoad, ScoringOutcome, ServerRecord, Service,
    ServiceName,
};
use wingshore_types::Instant;

/// Gateways of the site.
pub const GATEWAYS: u64 = 49;
/// Engines of the site.
pub const ENGINES: u64 = 28;
/// Items of a step: the engines run all of them at once.
pub const ITEMS: u32 = 112;
/// Servers of the scoring service, and slots of each.
pub const SERVERS: u32 = 3;
pub const SLOTS: u32 = 6;
/// Slots of the scoring service.
pub const ALL_SLOTS: usize = (SERVERS * SLOTS) as usize;
/// One slot in six is reserved for live requests.
pub const RESERVE: usize = 3;
/// Time from the acceptance of a job to the due time of its step, as in the test configuration.
pub const DUE: Duration = Duration::from_millis(7500);
/// Time that a server needs for one scoring, and the resolution of these tests.
pub const WORK: Duration = Duration::from_millis(50);
/// Interval between reports of gateways.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longer than a new leader waits for reports of gateways.
pub const TAKEOVER: Duration = Duration::from_secs(1);

/// Returns the name of the scoring service.
pub fn scores() -> ServiceName {
    ServiceName::from("scores")
}

/// Returns a server of the scoring service.
pub fn server(number: u32) -> ServerRecord {
    let name = format!("s{number}");
    ServerRecord {
        instance: InstanceId::from(name.as_str()),
        service: scores(),
        address: address_of(&name),
        slots: SLOTS,
        models: Vec::new(),
        ..engine(&name, 1)
    }
}

/// A scoring that runs at a server.
#[derive(Clone)]
pub struct Running {
    pub gateway: GatewayId,
    pub assignment: ScoringAssignment,
    pub ends_at: Instant,
}

/// A group with many gateways, and a service with few servers.
pub struct World {
    pub group: Group,
    pub gateways: Vec<GatewayId>,
    pub running: BTreeMap<AssignmentId, Running>,
    /// How often the score of each item was requested.
    pub requests: BTreeMap<ItemId, u32>,
    /// The gateways that ran scorings.
    pub used: BTreeSet<GatewayId>,
    pub work: Duration,
    pub most_running: usize,
}

impl World {
    /// Creates a group whose gateways wait for grants, except the first `early` ones.
    pub fn new(settings: LeaderSettings, early: u64) -> Self {
        let mut group = Group::with_settings(settings);
        let mut next = configuration(2);
        let mut route = scoring_route();
        route.targets = vec![RouteTarget {
            service: scores(),
            weight: 1,
        }];
        next.routes.push(route);
        next.services.push(Service {
            name: scores(),
            engine: None,
            ..next.services[0].clone()
        });
        group.ask(Request::PutConfiguration(Arc::new(next)));
        let mut world = Self {
            group,
            gateways: (1..=GATEWAYS).map(GatewayId).collect(),
            running: BTreeMap::new(),
            requests: BTreeMap::new(),
            used: BTreeSet::new(),
            work: WORK,
            most_running: 0,
        };
        world.connect_gateways(early);
        world.group.wait(TAKEOVER);
        for number in 0..SERVERS {
            world.group.heartbeat(server(number));
        }
        for number in 0..ENGINES {
            world.group.heartbeat(engine(&format!("e{number}"), 1));
        }
        world
    }

    /// Creates a group all of whose gateways wait for grants.
    pub fn with_all_waiting() -> Self {
        Self::new(settings(), 0)
    }

    /// Connects the gateways to the present leader; each reports what it runs.
    pub fn connect_gateways(&mut self, early: u64) {
        for gateway in self.gateways.clone() {
            self.group.connect_gateway(gateway.0);
            if gateway.0 > early {
                self.report_load(gateway, Vec::new());
            }
            let scorings = self.running_at(gateway);
            self.report_running(gateway, Vec::new(), scorings);
        }
    }

    /// Returns the scorings that run at a gateway, as it reports them.
    pub fn running_at(&self, gateway: GatewayId) -> Vec<RunningScoring> {
        let running = self.running.values();
        let running = running.filter(|running| running.gateway == gateway);
        running
            .map(|running| RunningScoring {
                scoring: running.assignment.scoring,
                item: running.assignment.item.clone(),
                made_by: running.assignment.made_by,
            })
            .collect()
    }

    /// Reports what a gateway runs.
    pub fn report_running(
        &mut self,
        gateway: GatewayId,
        items: Vec<RunningItem>,
        scorings: Vec<RunningScoring>,
    ) {
        self.group.event(Event::GatewayRunning {
            gateway,
            items,
            scorings,
        });
    }

    /// Reports the load of scoring services at a gateway.
    pub fn report_load(&mut self, gateway: GatewayId, loads: Vec<ScoringLoad>) {
        self.group
            .event(Event::ScoringLoadReported { gateway, loads });
    }

    /// Reports the load of the scoring service at a gateway: its live requests, and how many answers
    /// were in time and how many showed overload.
    pub fn report_service(&mut self, gateway: u64, live: u32, in_time: u32, overloaded: u32) {
        let load = ScoringLoad {
            service: scores(),
            live_in_flight: live,
            in_time,
            overloaded,
        };
        self.report_load(GatewayId(gateway), vec![load]);
    }

    /// Submits a job and returns its running items with their gateways.
    pub fn submit(&mut self, job: &str, items: u32) -> Vec<(GatewayId, ItemAssignment)> {
        self.group.effects.clear();
        self.group.ask(Request::SubmitJob(scored_job(job, items)));
        self.group.wait(WORK);
        let effects = std::mem::take(&mut self.group.effects);
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::ToGateway(gateway, CoordinatorMessage::Assign(item)) => {
                    Some((gateway, *item))
                }
                _ => None,
            })
            .collect()
    }

    /// Reports these items as finished, and starts the scorings that are granted then.
    pub fn finish(&mut self, items: &[(GatewayId, ItemAssignment)]) {
        for (gateway, assignment) in items {
            self.group
                .end_item(*gateway, assignment, ItemOutcome::Finished(text().into()));
            self.take_grants();
        }
    }

    /// Starts the scorings that were granted, and drops those that were released.
    pub fn take_grants(&mut self) {
        for effect in std::mem::take(&mut self.group.effects) {
            match effect {
                Effect::ToGateway(gateway, CoordinatorMessage::Score(assignment)) => {
                    self.start(gateway, assignment);
                }
                Effect::ToGateway(_, CoordinatorMessage::ReleaseScoring { scoring }) => {
                    self.running.remove(&scoring);
                }
                _ => {}
            }
        }
        self.most_running = self.most_running.max(self.running.len());
    }

    /// Starts a scoring that was granted.
    pub fn start(&mut self, gateway: GatewayId, assignment: ScoringAssignment) {
        *self.requests.entry(assignment.id.clone()).or_default() += 1;
        self.used.insert(gateway);
        let running = Running {
            gateway,
            ends_at: self.group.now + self.work,
            assignment,
        };
        self.running.insert(running.assignment.scoring, running);
    }

    /// Lets `duration` pass: scorings end with a score, and gateways report what they run.
    pub fn run(&mut self, duration: Duration) {
        let until = self.group.now + duration;
        while self.group.now < until {
            self.group.wait(WORK);
            self.take_grants();
            self.end_scorings();
            let scorings = self.running.keys().copied().collect();
            self.group.event(Event::ScoringsRunning(scorings));
        }
    }

    /// Ends the scorings whose work is done, each with a score.
    pub fn end_scorings(&mut self) {
        let now = self.group.now;
        let ended = self.running.values();
        let ended: Vec<Running> = ended
            .filter(|running| now >= running.ends_at)
            .cloned()
            .collect();
        for Running {
            gateway,
            assignment,
            ..
        } in ended
        {
            self.running.remove(&assignment.scoring);
            self.group.event(Event::ScoringEnded {
                gateway,
                scoring: assignment.scoring,
                outcome: ScoringOutcome::Scored("stamp".to_owned()),
            });
            self.take_grants();
        }
    }

    /// Returns the number of results with a score.
    pub fn scored(&self, job: &str) -> usize {
        let results = self.group.state.jobs()[&JobId::from(job)].results.iter();
        let scored = results.filter(|result| {
            result.state == ItemState::Succeeded && result.score.as_deref() == Some("stamp")
        });
        scored.count()
    }

    /// Returns how often the score of one item was requested at the most.
    pub fn most_requests_of_an_item(&self) -> u32 {
        self.requests.values().copied().max().unwrap_or(0)
    }
}

/// Returns the settings of the leaders.
pub fn settings() -> LeaderSettings {
    LeaderSettings {
        engines_check_fences: true,
        ..LeaderSettings::default()
    }
}

/// Returns the text of every item.
pub fn text() -> ItemText {
    ItemText {
        text: "one\ntwo".to_owned(),
        events: 2,
        last_event: Some(2),
        versions: vec![1],
    }
}
