//! Fences of orders, and the version that the leader assumes of an engine.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::Group;
use support::engine::{Fleet, SimEngine};
use support::site::{POOL, Site, engine_name};
use wingshore_control::{ControlEffect, ControlEvent, Faults, LeaderSettings, OrderAnswer};
use wingshore_types::ids::{Epoch, OrderSequence, ServerId};
use wingshore_types::platform::{EngineOrder, EngineState, FencedReply, OrderFence};
use wingshore_types::{Instant, Verdict, WeightVersion};

fn one_engine() -> Site {
    Site {
        engines: 1,
        ..Site::default()
    }
}

fn engine_id() -> ServerId {
    engine_name(0).as_str().into()
}

fn fence(epoch: u64, sequence: u64) -> OrderFence {
    OrderFence {
        epoch: Epoch(epoch),
        sequence: OrderSequence(sequence),
    }
}

/// Returns a state as an engine may report it.
fn report(version: Option<u64>, last_order: Option<OrderFence>) -> EngineState {
    EngineState {
        last_order,
        ..SimEngine::new(version).state
    }
}

fn read(group: &mut Group, polled_at: Instant, state: EngineState) {
    group.event(ControlEvent::StateRead {
        server: engine_id(),
        polled_at,
        state: Ok(state),
    });
}

/// Returns the orders among the effects so far.
fn orders(group: &mut Group) -> Vec<EngineOrder> {
    let effects = std::mem::take(&mut group.effects);
    let order = |effect| match effect {
        ControlEffect::SendOrder { order, .. } => Some(order),
        _ => None,
    };
    effects.into_iter().filter_map(order).collect()
}

/// Returns a group that has just ordered its only engine to load version 2, and the order's fence.
fn group_with_order() -> (Group, OrderFence) {
    let mut group = Group::new(&one_engine());
    group.tick();
    let now = group.now;
    read(&mut group, now, report(Some(1), None));
    group.publish(POOL, 2);
    group.tick();
    let sent = orders(&mut group);
    assert_eq!(sent.len(), 1);
    (group, sent[0].fence)
}

fn version(group: &mut Group) -> Option<u64> {
    group.status().engines[0].version.map(|version| version.0)
}

#[gtest]
fn an_engine_is_not_ordered_before_it_has_reported() {
    let mut group = Group::new(&one_engine());
    group.publish(POOL, 2);
    group.advance_time(5_000);
    expect_that!(orders(&mut group), is_empty());
}

#[gtest]
fn an_unanswered_order_is_sent_again_under_its_fence_and_less_and_less_often() {
    let (mut group, first) = group_with_order();
    expect_that!(first, eq(fence(1, 1)));
    let mut sent = Vec::new();
    for second in 1..=70 {
        group.advance_time(1_000);
        sent.extend(
            orders(&mut group)
                .into_iter()
                .map(|order| (second, order.fence)),
        );
    }
    let times: Vec<u64> = sent.iter().map(|(second, _)| *second).collect();
    expect_that!(times, eq(&vec![2, 6, 14, 30, 60]));
    expect_true!(sent.iter().all(|(_, fence)| *fence == first));
    group.event(ControlEvent::OrderAnswered {
        server: engine_id(),
        fence: first,
        answer: OrderAnswer::Accepted,
    });
    group.advance_time(60_000);
    expect_that!(orders(&mut group), is_empty());
}

/// Each case is a report after an order with fence 1/1 to load version 2, and the version that the
/// leader assumes.
#[gtest]
fn only_a_report_newer_than_the_order_names_the_version() {
    let newer = Duration::from_millis(1);
    let cases = [
        (
            "polled before the order",
            Duration::ZERO,
            Some(2),
            Some(fence(1, 1)),
            None,
        ),
        ("has not seen the order", newer, Some(1), None, None),
        (
            "has seen an order of the last epoch",
            newer,
            Some(1),
            Some(fence(0, 9)),
            None,
        ),
        (
            "has seen the order",
            newer,
            Some(2),
            Some(fence(1, 1)),
            Some(2),
        ),
        (
            "failed and reports a version",
            newer,
            Some(1),
            Some(fence(1, 1)),
            Some(1),
        ),
        (
            "failed and reports no version",
            newer,
            None,
            Some(fence(1, 1)),
            None,
        ),
        (
            "was ordered by a later leader",
            newer,
            Some(7),
            Some(fence(2, 1)),
            Some(7),
        ),
    ];
    for (case, after, reported, last_order, believed) in cases {
        let (mut group, _) = group_with_order();
        let polled_at = group.now + after;
        group.now = group.now + Duration::from_millis(50);
        read(&mut group, polled_at, report(reported, last_order));
        expect_that!(version(&mut group), eq(believed), "{case}");
    }
}

#[gtest]
fn a_late_report_does_not_undo_a_newer_one() {
    let (mut group, fence) = group_with_order();
    let early = group.now + Duration::from_millis(10);
    let late = group.now + Duration::from_millis(20);
    group.now = group.now + Duration::from_millis(50);
    read(&mut group, late, report(Some(2), Some(fence)));
    read(&mut group, early, report(Some(1), Some(fence)));
    expect_that!(version(&mut group), some(eq(2)));
    let failure = ControlEvent::StateRead {
        server: engine_id(),
        polled_at: early,
        state: Err(Verdict::MayHaveRun),
    };
    group.event(failure);
    expect_that!(version(&mut group), some(eq(2)));
}

#[gtest]
fn reports_polled_by_an_earlier_leadership_are_ignored() {
    let mut group = Group::new(&one_engine());
    let polled_at = group.now;
    group.now = group.now + Duration::from_millis(100);
    group.change_leader();
    read(&mut group, polled_at, report(Some(1), None));
    expect_that!(version(&mut group), none());
}

#[gtest]
fn a_failing_swap_is_tried_again_later_and_later_each_time_under_a_new_fence() {
    let mut group = Group::new(&one_engine());
    let mut fleet = Fleet::new(1, 1);
    fleet.load_ms = 0;
    fleet.engine(0).failing_loads = 6;
    group.publish(POOL, 2);
    fleet.run_until(&mut group, 120_000, |fleet, _| fleet.count_at(2) == 1);
    fleet.run(&mut group, 2_000);
    let waits: Vec<u64> = fleet
        .orders
        .windows(2)
        .map(|pair| pair[1].0.since(pair[0].0).as_secs())
        .collect();
    expect_that!(
        waits,
        elements_are![eq(&1), eq(&2), eq(&4), eq(&8), eq(&16), eq(&32)]
    );
    let sequences: Vec<u64> = fleet
        .orders
        .iter()
        .map(|(_, _, order)| order.fence.sequence.0)
        .collect();
    expect_that!(sequences, eq(&vec![1, 2, 3, 4, 5, 6, 7]));
    expect_that!(group.status().engines[0].failures, eq(0));
}

#[gtest]
fn a_restart_during_a_swap_is_detected_and_the_swap_ordered_again() {
    let mut group = Group::new(&one_engine());
    let mut fleet = Fleet::new(1, 1);
    fleet.load_ms = 10_000;
    group.publish(POOL, 2);
    fleet.run(&mut group, 2_000);
    fleet.engine(0).restart(Some(1));
    fleet.load_ms = 500;
    fleet.run_until(&mut group, 10_000, |fleet, _| fleet.count_at(2) == 1);
    expect_that!(fleet.orders.len(), eq(2));
    expect_that!(fleet.orders[1].2.fence, gt(fleet.orders[0].2.fence));
}

#[gtest]
fn a_load_that_never_ends_counts_as_failed() {
    let mut group = Group::new(&one_engine());
    let mut fleet = Fleet::new(1, 1);
    fleet.load_ms = u64::from(u32::MAX);
    group.publish(POOL, 2);
    fleet.run(&mut group, 115_000);
    expect_that!(fleet.orders.len(), eq(1));
    fleet.run(&mut group, 15_000);
    expect_that!(fleet.orders.len(), eq(2));
}

#[gtest]
fn an_engine_that_follows_a_newer_leader_is_left_alone() {
    let (mut group, fence) = group_with_order();
    group.event(ControlEvent::OrderAnswered {
        server: engine_id(),
        fence,
        answer: OrderAnswer::Fenced(FencedReply {
            highest_epoch: Epoch(9),
            highest_sequence: OrderSequence(1),
        }),
    });
    for _ in 0..20 {
        group.advance_time(5_000);
        let now = group.now;
        read(&mut group, now, report(Some(1), None));
    }
    expect_that!(orders(&mut group), is_empty());
    // After a restart it has no highest epoch any more, as when the newer leader belonged to a site
    // that no longer exists.
    group.advance_time(5_000);
    let now = group.now;
    let restarted = EngineState {
        boot_id: 2,
        ..report(Some(1), None)
    };
    read(&mut group, now, restarted);
    group.advance_time(5_000);
    expect_that!(orders(&mut group).len(), ge(1));
}

#[gtest]
fn an_answer_to_an_earlier_order_is_ignored() {
    let (mut group, first) = group_with_order();
    let polled_at = group.now + Duration::from_millis(10);
    group.now = group.now + Duration::from_millis(20);
    read(&mut group, polled_at, report(None, Some(first)));
    group.advance_time(2_000);
    let now = group.now;
    read(&mut group, now, report(None, Some(first)));
    let second = orders(&mut group);
    expect_that!(second.len(), ge(1));
    group.event(ControlEvent::OrderAnswered {
        server: engine_id(),
        fence: first,
        answer: OrderAnswer::Accepted,
    });
    group.advance_time(10_000);
    let resent = orders(&mut group);
    expect_that!(resent.len(), ge(1), "the second order is still unanswered");
    expect_true!(resent.iter().all(|order| order.fence == second[0].fence));
}

#[gtest]
fn an_order_that_was_never_accepted_is_replaced_by_a_newer_version() {
    let (mut group, first) = group_with_order();
    group.publish(POOL, 3);
    group.advance_time(200);
    let sent = orders(&mut group);
    expect_that!(sent.len(), eq(1));
    expect_that!(sent[0].fence, gt(first));
    group.advance_time(10_000);
    let resent = orders(&mut group);
    expect_true!(
        resent.iter().all(|order| *order == sent[0]),
        "the older order is never sent again"
    );
}

#[gtest]
fn an_engine_that_reports_an_unexpected_version_is_moved_back() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    group.publish(POOL, 2);
    fleet.run_until(&mut group, 30_000, |fleet, _| fleet.count_at(2) == 8);
    fleet.run(&mut group, 5_000);
    expect_that!(fleet.orders.len(), eq(8));
    for version in [Some(1), None, Some(7)] {
        fleet.engine(3).restart(version);
        fleet.run_until(&mut group, 30_000, |fleet, _| fleet.count_at(2) == 8);
    }
    expect_that!(fleet.orders.len(), eq(11));
}

/// Returns the number of fences used for more than one order, over two leaderships with a change in
/// the middle of swaps.
fn reused_fences(faults: Faults) -> usize {
    let mut group = Group::with(&Site::default(), LeaderSettings::default(), faults);
    let mut fleet = Fleet::new(8, 1);
    fleet.run(&mut group, 1_000);
    for version in 2..5 {
        group.publish(POOL, version);
        fleet.run(&mut group, 700);
        group.change_leader();
        fleet.run(&mut group, 3_000);
    }
    fleet.run(&mut group, 20_000);
    let current = Epoch(group.epoch);
    let ordered_by_current =
        |(_, _, order): &&(Instant, ServerId, EngineOrder)| order.fence.epoch == current;
    let reused = fleet
        .bodies_by_fence()
        .values()
        .filter(|bodies| bodies.len() > 1)
        .count();
    let has_ordered = fleet.orders.iter().filter(ordered_by_current).count() > 0;
    reused + usize::from(!has_ordered && fleet.count_at(4) < 8)
}

#[gtest]
fn fences_are_unique_and_higher_under_a_new_leader() {
    expect_that!(reused_fences(Faults::default()), eq(0));
    let faults = Faults {
        ignore_fence_order: true,
        ..Faults::default()
    };
    expect_that!(reused_fences(faults), gt(0));
}

#[gtest]
fn state_polls_are_spread_out_and_limited() {
    let site = Site {
        engines: 1_000,
        live_servers: 0,
        ..Site::default()
    };
    let settings = LeaderSettings {
        polls_per_second: 100,
        ..LeaderSettings::default()
    };
    let mut group = Group::with(&site, settings, Faults::default());
    let mut fleet = Fleet::new(1_000, 1);
    fleet.run(&mut group, 10_000);
    expect_that!(fleet.reads, all![ge(900), le(1_030)]);
    fleet.run(&mut group, 40_000);
    expect_that!(fleet.reads, all![ge(2_000), le(5_030)]);
    let unread = group
        .status()
        .engines
        .iter()
        .filter(|e| e.version != Some(WeightVersion(1)))
        .count();
    expect_that!(unread, eq(0));
}
