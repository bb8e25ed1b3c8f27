//! One limit for the scorings of a service: a step's texts end together at many gateways, and their
//! scorings share few servers with live requests.

mod scoring_world;
mod support;

use googletest::prelude::*;
use scoring_world::{
    ALL_SLOTS, DUE, ENGINES, ITEMS, REPORT_INTERVAL, RESERVE, SERVERS, SLOTS, TAKEOVER, WORK,
    World, server, settings,
};
use std::time::Duration;
use support::engine;
use wingshore_coordination::{
    Event, LeaderPolicy, LeaderSettings, Request, RunningItem, RunningScoring, ScoringOutcome,
    ServerName,
};

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
