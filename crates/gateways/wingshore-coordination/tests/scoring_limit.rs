//! One limit for the scorings of a service: a step's texts end together at many gateways, and their
//! scorings share few servers with live requests.

mod support;

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use support::{Group, address_of, configuration, engine, scored_job, scoring_route};
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, Effect, Event, GatewayId, InstanceId, ItemAssignment, ItemId,
    ItemOutcome, ItemState, ItemText, JobId, LeaderPolicy, LeaderSettings, Request, RouteTarget,
    RunningItem, RunningScoring, ScoringAssignment, ScoringLoad, ScoringOutcome, ServerName,
    ServerRecord, Service, ServiceName,
};
use wingshore_types::Instant;

const GATEWAYS: u64 = 49;
const ENGINES: u64 = 28;
/// Items of a step: the engines run all of them at once.
const ITEMS: u32 = 112;
const SERVERS: u32 = 3;
const SLOTS: u32 = 6;
const ALL_SLOTS: usize = (SERVERS * SLOTS) as usize;
/// One slot in six is reserved for live requests.
const RESERVE: usize = 3;
/// Time from the acceptance of a job to the due time of its step, as in the test configuration.
const DUE: Duration = Duration::from_millis(7500);
/// Time that a server needs for one scoring, and the resolution of these tests.
const WORK: Duration = Duration::from_millis(50);
/// Interval between reports of gateways.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longer than a new leader waits for reports of gateways.
const TAKEOVER: Duration = Duration::from_secs(1);

fn scores() -> ServiceName {
    ServiceName::from("scores")
}

fn server(number: u32) -> ServerRecord {
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
struct Running {
    gateway: GatewayId,
    assignment: ScoringAssignment,
    ends_at: Instant,
}

/// A group with many gateways, and a service with few servers.
struct World {
    group: Group,
    gateways: Vec<GatewayId>,
    running: BTreeMap<AssignmentId, Running>,
    /// How often the score of each item was requested.
    requests: BTreeMap<ItemId, u32>,
    /// The gateways that ran scorings.
    used: BTreeSet<GatewayId>,
    work: Duration,
    most_running: usize,
}

impl World {
    /// Creates a group whose gateways wait for grants, except the first `early` ones.
    fn new(settings: LeaderSettings, early: u64) -> Self {
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

    fn with_all_waiting() -> Self {
        Self::new(settings(), 0)
    }

    /// Connects the gateways to the present leader; each reports what it runs.
    fn connect_gateways(&mut self, early: u64) {
        for gateway in self.gateways.clone() {
            self.group.connect_gateway(gateway.0);
            if gateway.0 > early {
                self.report_load(gateway, Vec::new());
            }
            let scorings = self.running_at(gateway);
            self.report_running(gateway, Vec::new(), scorings);
        }
    }

    fn running_at(&self, gateway: GatewayId) -> Vec<RunningScoring> {
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

    fn report_running(
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

    fn report_load(&mut self, gateway: GatewayId, loads: Vec<ScoringLoad>) {
        self.group
            .event(Event::ScoringLoadReported { gateway, loads });
    }

    fn report_service(&mut self, gateway: u64, live: u32, in_time: u32, overloaded: u32) {
        let load = ScoringLoad {
            service: scores(),
            live_in_flight: live,
            in_time,
            overloaded,
        };
        self.report_load(GatewayId(gateway), vec![load]);
    }

    /// Submits a job and returns its running items with their gateways.
    fn submit(&mut self, job: &str, items: u32) -> Vec<(GatewayId, ItemAssignment)> {
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

    fn finish(&mut self, items: &[(GatewayId, ItemAssignment)]) {
        for (gateway, assignment) in items {
            self.group
                .end_item(*gateway, assignment, ItemOutcome::Finished(text().into()));
            self.take_grants();
        }
    }

    /// Starts the scorings that were granted, and drops those that were released.
    fn take_grants(&mut self) {
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

    fn start(&mut self, gateway: GatewayId, assignment: ScoringAssignment) {
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
    fn run(&mut self, duration: Duration) {
        let until = self.group.now + duration;
        while self.group.now < until {
            self.group.wait(WORK);
            self.take_grants();
            self.end_scorings();
            let scorings = self.running.keys().copied().collect();
            self.group.event(Event::ScoringsRunning(scorings));
        }
    }

    fn end_scorings(&mut self) {
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
    fn scored(&self, job: &str) -> usize {
        let results = self.group.state.jobs()[&JobId::from(job)].results.iter();
        let scored = results.filter(|result| {
            result.state == ItemState::Succeeded && result.score.as_deref() == Some("stamp")
        });
        scored.count()
    }

    fn most_requests_of_an_item(&self) -> u32 {
        self.requests.values().copied().max().unwrap_or(0)
    }
}

fn settings() -> LeaderSettings {
    LeaderSettings {
        engines_check_fences: true,
        ..LeaderSettings::default()
    }
}

fn text() -> ItemText {
    ItemText {
        text: "one\ntwo".to_owned(),
        events: 2,
        last_event: Some(2),
        versions: vec![1],
    }
}

#[gtest]
fn a_steps_scorings_never_exceed_the_slots_and_end_before_the_step_is_due() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", ITEMS);
    assert_that!(items, len(eq(ITEMS as usize)));
    let due = world.group.now + DUE;
    world.finish(&items);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE));
    world.run(WORK);
    let readings = world
        .group
        .leader
        .scoring_readings(world.group.now, &world.group.state);
    expect_that!(readings.limit, eq((ALL_SLOTS - RESERVE) as u64));
    expect_that!(readings.longest_wait, eq(WORK));
    world.run(Duration::from_secs(1));
    expect_that!(world.most_running, eq(ALL_SLOTS - RESERVE));
    expect_that!(world.scored("j"), eq(ITEMS as usize));
    expect_that!(world.most_requests_of_an_item(), eq(1));
    expect_that!(world.group.now, lt(due));
}

#[gtest]
fn a_steps_scorings_run_through_few_gateways() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", ITEMS);
    world.finish(&items);
    world.run(Duration::from_secs(1));
    expect_that!(world.used.len(), le(4));
}

#[gtest]
fn live_requests_keep_their_slots_and_a_reserve() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", ITEMS);
    let live: usize = 7;
    world.report_service(3, 4, 0, 0);
    world.report_service(9, 3, 0, 0);
    world.finish(&items);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE - live));
}

#[gtest]
fn a_report_of_live_requests_counts_only_while_it_is_current() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", ITEMS);
    world.report_service(3, 9, 0, 0);
    world.group.wait(Duration::from_secs(2));
    world.finish(&items);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE));
}

#[gtest]
fn a_step_that_is_nearly_due_uses_the_reserve_but_not_the_slots_of_live_requests() {
    let mut world = World::with_all_waiting();
    world.work = Duration::from_secs(9);
    let items = world.submit("j", ITEMS);
    for number in 0..ENGINES {
        world.group.wait(Duration::from_millis(250));
        world.group.heartbeat(engine(&format!("e{number}"), 1));
        for server_number in 0..SERVERS {
            world.group.heartbeat(server(server_number));
        }
    }
    world.report_service(3, 4, 0, 20);
    world.finish(&items);
    expect_that!(world.running.len(), eq(ALL_SLOTS - 4));
}

#[gtest]
fn the_limit_follows_servers_that_are_lost() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", ITEMS);
    for name in ["s0", "s1"] {
        let gone = Request::Deregister(ServerName::from(name));
        world.group.wait(TAKEOVER);
        world.group.ask(gone);
    }
    world.finish(&items);
    expect_that!(world.running.len(), eq(SLOTS as usize - 1));
    world.run(Duration::from_secs(2));
    expect_that!(world.scored("j"), eq(ITEMS as usize));
    expect_that!(world.most_requests_of_an_item(), eq(1));
}

#[gtest]
fn slow_servers_lower_the_limit_and_answers_in_time_raise_it_again() {
    let mut world = World::with_all_waiting();
    let first = world.submit("j", ITEMS);
    world.report_service(3, 0, 4, 6);
    world.finish(&first);
    // 0.6 of the 15 slots that are not reserved.
    expect_that!(world.running.len(), eq(9));
    world.run(Duration::from_secs(1));
    expect_that!(world.scored("j"), eq(ITEMS as usize));
    for _ in 0..10 {
        world.report_service(3, 0, 20, 0);
    }
    let second = world.submit("k", ITEMS);
    world.finish(&second);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE));
}

#[gtest]
fn a_new_leader_adopts_the_grants_that_are_out_and_grants_no_text_twice() {
    let mut world = World::with_all_waiting();
    world.work = Duration::from_millis(700);
    let items = world.submit("j", ITEMS);
    world.finish(&items);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE));
    world.group.change_leader("coordinator-b");
    world.connect_gateways(0);
    world.take_grants();
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE));
    world.run(REPORT_INTERVAL);
    expect_that!(world.most_running, eq(ALL_SLOTS - RESERVE));
    world.work = WORK;
    world.run(Duration::from_secs(3));
    expect_that!(world.most_running, eq(ALL_SLOTS - RESERVE));
    expect_that!(world.scored("j"), eq(ITEMS as usize));
    expect_that!(world.most_requests_of_an_item(), eq(1));
}

#[gtest]
fn a_lost_gateway_costs_only_the_scorings_that_it_ran() {
    let mut world = World::with_all_waiting();
    world.work = Duration::from_millis(300);
    let items = world.submit("j", ITEMS);
    world.finish(&items);
    let lost = world.running.values().next().expect("some run").gateway;
    let lost_scorings = world.running_at(lost).len();
    world.running.retain(|_, running| running.gateway != lost);
    let silence = Duration::from_secs(2);
    let gateway = lost;
    world
        .group
        .event(Event::GatewayDisconnected { gateway, silence });
    world.take_grants();
    world.run(Duration::from_secs(4));
    expect_that!(world.most_running, eq(ALL_SLOTS - RESERVE));
    expect_that!(world.scored("j"), eq(ITEMS as usize));
    let repeated = world.requests.values().filter(|count| **count > 1).count();
    expect_that!(repeated, eq(lost_scorings));
    expect_that!(world.most_requests_of_an_item(), eq(2));
}

/// Gateways of an earlier build start the scorings of their own texts at once.
#[gtest]
fn scorings_of_earlier_gateways_count_and_are_not_granted() {
    const EARLIER_GATEWAYS: u64 = 2;
    let mut world = World::new(settings(), EARLIER_GATEWAYS);
    let items = world.submit("j", ITEMS);
    let (earlier, later): (Vec<_>, Vec<_>) = items
        .into_iter()
        .partition(|(gateway, _)| gateway.0 <= EARLIER_GATEWAYS);
    expect_that!(earlier.len(), gt(0));
    world.finish(&earlier);
    expect_that!(world.running.len(), eq(0));
    world.finish(&later);
    expect_that!(world.running.len(), eq(ALL_SLOTS - RESERVE - earlier.len()));
}

/// A gateway without a leader started the scoring after a while; the next leader adopts it.
#[gtest]
fn a_scoring_that_began_without_a_leader_is_adopted_and_not_granted() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", 1);
    let (gateway, item) = items[0].clone();
    world.group.change_leader("coordinator-b");
    world.group.connect_gateway(gateway.0);
    world.report_load(gateway, Vec::new());
    let own = RunningScoring {
        scoring: item.assignment,
        item: item.item.clone(),
        made_by: item.assignment,
    };
    let running = RunningItem {
        assignment: item.assignment,
        item: item.item.clone(),
        instance: item.instance.clone(),
    };
    world.report_running(gateway, vec![running], vec![own]);
    world.finish(&items);
    world.group.wait(TAKEOVER);
    world.take_grants();
    expect_that!(world.running.len(), eq(0));
    world.group.event(Event::ScoringEnded {
        gateway,
        scoring: item.assignment,
        outcome: ScoringOutcome::Scored("stamp".to_owned()),
    });
    expect_that!(world.scored("j"), eq(1));
}

/// A gateway that has not heard of the new leader yet sends it a text before its first report.
#[gtest]
fn a_text_that_arrives_before_the_first_report_of_its_gateway_is_granted() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", 1);
    let (gateway, item) = items[0].clone();
    world.group.change_leader("coordinator-b");
    world.group.connect_gateway(gateway.0);
    world.finish(&items);
    world.report_load(gateway, Vec::new());
    let running = RunningItem {
        assignment: item.assignment,
        item: item.item.clone(),
        instance: item.instance.clone(),
    };
    world.report_running(gateway, vec![running], Vec::new());
    world.run(REPORT_INTERVAL);
    expect_that!(world.scored("j"), eq(1));
    expect_that!(world.most_requests_of_an_item(), eq(1));
}

/// The grant was lost with the link: the gateway's report after its return does not contain it.
#[gtest]
fn a_grant_that_is_lost_with_its_link_is_granted_again() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", 1);
    world.finish(&items);
    let lost = world.running.pop_first().expect("granted").1;
    world.group.connect_gateway(lost.gateway.0);
    world.report_load(lost.gateway, Vec::new());
    world.report_running(lost.gateway, Vec::new(), Vec::new());
    world.run(Duration::from_secs(1));
    expect_that!(world.scored("j"), eq(1));
}

#[gtest]
fn the_step_that_is_due_first_is_scored_first() {
    let mut world = World::with_all_waiting();
    let mut early = world.submit("z-early", 30);
    world.group.wait(TAKEOVER);
    let mut late = world.submit("a-late", 30);
    let all: Vec<_> = late.drain(..).chain(early.drain(..)).collect();
    world.finish(&all);
    world.run(WORK * 2);
    world.run(WORK);
    expect_that!(world.scored("z-early"), gt(world.scored("a-late")));
    world.run(Duration::from_secs(1));
    expect_that!(world.scored("a-late"), eq(30));
}

#[gtest]
fn without_the_shared_limit_all_texts_are_granted_at_once() {
    let policy = LeaderPolicy {
        shared_scoring_limit: false,
        ..LeaderPolicy::default()
    };
    let without = LeaderSettings {
        policy,
        ..settings()
    };
    let mut world = World::new(without, 0);
    let items = world.submit("j", ITEMS);
    world.finish(&items);
    expect_that!(world.running.len(), eq(ITEMS as usize));
}

#[gtest]
fn without_servers_texts_are_granted_one_at_a_time() {
    let mut world = World::with_all_waiting();
    let items = world.submit("j", 10);
    for number in 0..SERVERS {
        world.group.wait(TAKEOVER);
        let name = ServerName::from(format!("s{number}").as_str());
        world.group.ask(Request::Deregister(name));
    }
    world.finish(&items);
    expect_that!(world.running.len(), eq(1));
}
