//! Execution of plans: events advance them, and leader changes repeat no step.

mod support;

use googletest::prelude::*;
use support::Group;
use support::engine::Fleet;
use support::site::{POOL, Site, engine_name, server};
use wingshore_control::{ControlCommand, Faults, LeaderSettings, StepResult};
use wingshore_types::WeightVersion;
use wingshore_types::configuration::{Admission, ConfigurationChange};
use wingshore_types::ids::{PlanId, Revision};
use wingshore_types::protocol::control::{Intent, PlanState, PlanStep};

fn move_pool(version: u64) -> Intent {
    Intent::MovePool {
        pool: POOL.into(),
        version: WeightVersion(version),
    }
}

fn drain(name: &str) -> Intent {
    Intent::Drain(name.into())
}

fn is_closed(group: &Group, plan: PlanId) -> bool {
    !matches!(group.plan(plan).state, PlanState::Running { .. })
}

#[gtest]
fn a_drain_waits_for_in_force_and_then_for_idle() {
    for name in [engine_name(0), "live-0".to_owned()] {
        let mut group = Group::new(&Site::default());
        let mut fleet = Fleet::new(8, 1);
        fleet.run(&mut group, 6_000);
        fleet.engine(0).state.in_flight = 1;
        fleet.live_in_flight = 1;
        let old = group.configuration().revision.0;
        group.watch("a", 1, old, 2_000);
        let plan = group.confirm_intent(drain(&name)).id;
        let server = &group.configuration().servers[&name.as_str().into()];
        expect_that!(server.admission, eq(Admission::Draining));
        fleet.run(&mut group, 4_000);
        expect_that!(
            group.plan(plan).state,
            eq(&PlanState::Running { next_step: 1 })
        );
        group.watch("a", 1, old + 1, 2_000);
        fleet.run(&mut group, 3_000);
        expect_that!(
            group.plan(plan).state,
            eq(&PlanState::Running { next_step: 2 })
        );
        fleet.engine(0).state.in_flight = 0;
        fleet.live_in_flight = 0;
        fleet.run(&mut group, 900);
        expect_that!(
            group.plan(plan).state,
            eq(&PlanState::Running { next_step: 2 })
        );
        fleet.run_until(&mut group, 3_000, |_, group| is_closed(group, plan));
        expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    }
}

#[gtest]
fn a_drain_of_an_unresponsive_server_fails_because_its_load_is_unknown() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(0).silent = true;
    let plan = group.confirm_intent(drain(&engine_name(0))).id;
    fleet.run_until(&mut group, 30_000, |_, group| is_closed(group, plan));
    let state = &group.plan(plan).state;
    expect_that!(
        state,
        pat!(PlanState::Failed {
            step: eq(&2),
            reason: contains_substring("not known")
        })
    );
}

#[gtest]
fn a_move_is_done_once_every_engine_has_swapped() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    group.publish(POOL, 2);
    fleet.run(&mut group, 2_000);
    expect_that!(
        fleet.orders,
        is_empty(),
        "pools with planned swaps move by plans only"
    );
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 30_000, |_, group| is_closed(group, plan));
    expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    expect_that!(fleet.count_at(2), eq(8));
    expect_that!(fleet.max_loading, eq(2), "a quarter of the engines");
    expect_that!(fleet.orders.len(), eq(8));
    expect_that!(group.state.swap_time(&"fare-lm".into()), some(ge(1_000)));
}

#[gtest]
fn leader_changes_at_any_moment_repeat_no_step() {
    for change_after in (100..5_000).step_by(300) {
        let mut group = Group::new(&Site::planned(8));
        let mut fleet = Fleet::new(8, 1);
        group.publish(POOL, 2);
        fleet.run(&mut group, 2_000);
        let plan = group.confirm_intent(move_pool(2)).id;
        let revision = group.configuration().revision;
        fleet.run(&mut group, change_after);
        group.change_leader_by_snapshot();
        fleet.run_until(&mut group, 30_000, |_, group| is_closed(group, plan));
        expect_that!(
            group.plan(plan).state,
            eq(&PlanState::Done),
            "after {change_after} ms"
        );
        expect_that!(
            group.configuration().revision,
            eq(revision),
            "after {change_after} ms"
        );
        let loads: Vec<usize> = fleet
            .engines
            .values()
            .map(|engine| engine.loads.len())
            .collect();
        expect_that!(loads, each(eq(&1)), "after {change_after} ms");
    }
}

#[gtest]
fn a_leader_cut_off_with_progress_in_flight_loses_no_step() {
    let mut group = Group::new(&Site::planned(4));
    let mut fleet = Fleet::new(4, 1);
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    group.cut_off = true;
    fleet.run(&mut group, 20_000);
    expect_that!(
        group.plan(plan).state,
        eq(&PlanState::Running { next_step: 1 })
    );
    group.cut_off = false;
    group.change_leader();
    fleet.run_until(&mut group, 10_000, |_, group| is_closed(group, plan));
    expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    expect_that!(
        fleet
            .engines
            .values()
            .map(|engine| engine.loads.len())
            .sum::<usize>(),
        eq(4)
    );
}

#[gtest]
fn late_progress_of_an_old_leader_is_ignored() {
    let mut group = Group::new(&Site::planned(4));
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    let cases = [
        (plan, 0, StepResult::Done { steps: 1 }),
        (plan, 2, StepResult::Done { steps: 1 }),
        (
            plan,
            0,
            StepResult::Failed {
                reason: "late".into(),
            },
        ),
        (PlanId(99), 1, StepResult::InForce(Revision(1))),
    ];
    for (plan, step, result) in cases {
        let before = group.state.clone();
        let command = ControlCommand::AdvancePlan { plan, step, result };
        wingshore_types::machine::ReplicatedState::apply(
            &mut group.state,
            wingshore_types::LogIndex(1),
            command,
        );
        expect_true!(group.state == before);
    }
}

#[gtest]
fn a_cancelled_move_holds_remaining_engines_until_the_next_move() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    group.publish(POOL, 3);
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 10_000, |fleet, _| fleet.count_at(2) >= 3);
    group.cancel(plan);
    let ordered = fleet.orders.len();
    fleet.run(&mut group, 20_000);
    group.change_leader_by_snapshot();
    fleet.run(&mut group, 20_000);
    expect_that!(fleet.orders.len(), eq(ordered));
    fleet.engine(7).restart(None);
    fleet.run(&mut group, 5_000);
    expect_that!(
        fleet.orders.len(),
        eq(ordered + 1),
        "a restarted engine loads the target version"
    );
    let next = group.confirm_intent(move_pool(3)).id;
    fleet.run_until(&mut group, 30_000, |_, group| is_closed(group, next));
    expect_that!(fleet.count_at(3), eq(8));
}

#[gtest]
fn a_version_that_fails_everywhere_stops_the_plan_and_leaves_most_engines_alone() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    fleet
        .engines
        .values_mut()
        .for_each(|engine| engine.failing_loads = 99);
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 200_000, |_, group| is_closed(group, plan));
    let state = &group.plan(plan).state;
    expect_that!(
        state,
        pat!(PlanState::Failed {
            reason: contains_substring("of 8 engines keep failing"),
            ..
        })
    );
    fleet.run(&mut group, 20_000);
    expect_that!(fleet.count_at(1), eq(6));
}

#[gtest]
fn one_failing_engine_among_many_does_not_stop_a_plan() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(2).failing_loads = 7;
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 200_000, |_, group| is_closed(group, plan));
    expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    expect_that!(fleet.count_at(2), eq(7));
    expect_that!(group.status().engines[2].failures, ge(5));
    fleet.run_until(&mut group, 200_000, |fleet, _| fleet.count_at(2) == 8);
}

#[gtest]
fn an_engine_that_failed_with_one_version_is_tried_with_the_next_at_once() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(0).failing_loads = 6;
    group.publish(POOL, 2);
    fleet.run(&mut group, 60_000);
    expect_that!(fleet.count_at(2), eq(7));
    group.publish(POOL, 3);
    fleet.run_until(&mut group, 15_000, |fleet, _| fleet.count_at(3) == 8);
}

#[gtest]
fn an_engine_that_reports_draining_is_not_swapped() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(5).state.draining = true;
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 60_000, |_, group| is_closed(group, plan));
    expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    expect_that!(fleet.engine(5).loads.len(), eq(0));
}

#[gtest]
fn removed_drained_and_silent_engines_are_skipped() {
    let mut group = Group::new(&Site::planned(8));
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(7).silent = true;
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    let drained = group.confirm_intent(drain(&engine_name(6))).id;
    fleet.run_until(&mut group, 60_000, |_, group| {
        is_closed(group, plan) && is_closed(group, drained)
    });
    expect_that!(group.plan(plan).state, eq(&PlanState::Done));
    expect_that!(fleet.count_at(2), eq(6));
    fleet.engine(7).silent = false;
    fleet.run_until(&mut group, 60_000, |fleet, _| fleet.count_at(2) == 7);
    group.confirm_intent(Intent::Restore(engine_name(6).as_str().into()));
    fleet.run_until(&mut group, 60_000, |fleet, _| fleet.count_at(2) == 8);
}

#[gtest]
fn a_publication_supersedes_a_running_move_and_queued_swaps() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    group.publish(POOL, 5);
    fleet.run_until(&mut group, 30_000, |fleet, _| fleet.count_at(5) == 8);
    let plan = group.confirm_intent(move_pool(4)).id;
    fleet.run(&mut group, 1_000);
    group.publish(POOL, 6);
    let state = &group.plan(plan).state;
    expect_that!(
        state,
        pat!(PlanState::Failed {
            reason: contains_substring("superseded"),
            ..
        })
    );
    fleet.run_until(&mut group, 30_000, |fleet, _| fleet.count_at(6) == 8);
    let to_four = fleet
        .orders
        .iter()
        .filter(|(_, _, order)| format!("{order:?}").contains("WeightVersion(4)"));
    expect_that!(
        to_four.count(),
        eq(2),
        "only swaps that had already started"
    );
}

#[gtest]
fn disjoint_plans_run_concurrently() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    fleet.engine(0).state.in_flight = 1;
    let first = group.confirm_intent(drain(&engine_name(0))).id;
    let second = group.confirm_intent(drain(&engine_name(1))).id;
    let added = ConfigurationChange::PutServer(server("new", "fare-lm", 500));
    let third = group.confirm_intent(Intent::Apply(vec![added])).id;
    fleet.run_until(&mut group, 30_000, |_, group| {
        is_closed(group, second) && is_closed(group, third)
    });
    expect_that!(group.plan(first).state, pat!(PlanState::Running { .. }));
}

/// Returns the number of loads that engines repeated although they had been swapped before the
/// leader changed.
fn repeated_loads(faults: Faults) -> usize {
    let mut group = Group::with(&Site::planned(8), LeaderSettings::default(), faults);
    let mut fleet = Fleet::new(8, 1);
    group.publish(POOL, 2);
    let plan = group.confirm_intent(move_pool(2)).id;
    fleet.run_until(&mut group, 30_000, |fleet, _| fleet.count_at(2) >= 4);
    group.change_leader();
    fleet.run(&mut group, 20_000);
    let steps = &group.plan(plan).steps;
    let swaps = steps
        .iter()
        .filter(|step| matches!(step, PlanStep::Swap { .. }));
    let loads: usize = fleet
        .engines
        .values()
        .map(|engine| engine.loads.len())
        .sum();
    loads - swaps.count()
}

#[gtest]
fn repeating_steps_after_a_leader_change_is_caught() {
    expect_that!(repeated_loads(Faults::default()), eq(0));
    let faults = Faults {
        repeat_steps_after_leader_change: true,
        ..Faults::default()
    };
    expect_that!(repeated_loads(faults), gt(0));
}
