//! Planner: rejected intents with their reasons, steps and costs of plans.

mod support;

use googletest::prelude::*;
use support::site::{POOL, Site, engine_name, pool, server, service, set_admission};
use support::{Group, plan_of, refusal_of};
use wingshore_control::ASSUMED_SWAP_MS;
use wingshore_types::WeightVersion;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind,
};
use wingshore_types::protocol::control::{ControlRefusal, Intent, PlanCost, PlanStep};

fn put_pool(change: impl FnOnce(&mut Pool)) -> ConfigurationChange {
    let mut pool = pool("new");
    change(&mut pool);
    ConfigurationChange::PutPool(pool)
}

fn put_service(change: impl FnOnce(&mut Service)) -> ConfigurationChange {
    let mut service = service("new", ServiceKind::Live);
    change(&mut service);
    ConfigurationChange::PutService(service)
}

fn set_target(pool: &str, version: u64) -> ConfigurationChange {
    ConfigurationChange::SetTargetVersion {
        pool: pool.into(),
        version: WeightVersion(version),
    }
}

#[gtest]
fn invalid_intents_are_refused_with_the_place_and_the_allowed_values() {
    let apply = |changes: Vec<ConfigurationChange>| Intent::Apply(changes);
    let move_to = |pool: &str, version| Intent::MovePool {
        pool: pool.into(),
        version: WeightVersion(version),
    };
    let good = set_admission("live-0", Admission::Draining);
    let cases: Vec<(Intent, &[&str])> = vec![
        (apply(vec![]), &["0 changes", "1 to"]),
        (
            apply(vec![good.clone(), set_admission("x", Admission::Open)]),
            &["change 2 of 2", "server `x`", "does not exist"],
        ),
        (
            apply(vec![put_service(|s| s.slots_per_server = 0)]),
            &["service `new`", "slots_per_server is 0", "at least 1"],
        ),
        (
            apply(vec![put_service(|s| s.default_deadline_ms = 0)]),
            &["default_deadline_ms is 0"],
        ),
        (
            apply(vec![put_service(|s| s.live_share = Permille(1001))]),
            &["live_share is 1001", "0 to 1000"],
        ),
        (
            apply(vec![put_service(|s| s.id = "".into())]),
            &["name is empty"],
        ),
        (
            apply(vec![put_service(|s| s.id = "fare-lm".into())]),
            &["kind is live", "pool `disputes` needs engines"],
        ),
        (
            apply(vec![put_pool(|p| p.service = "fare-api".into())]),
            &["pool `new`", "needs engines"],
        ),
        (
            apply(vec![put_pool(|p| p.service = "x".into())]),
            &["service `x`", "does not exist"],
        ),
        (
            apply(vec![put_pool(|p| p.max_open_samples = 0)]),
            &["max_open_samples is 0"],
        ),
        (
            apply(vec![put_pool(|p| p.sample_lease_ms = 0)]),
            &["sample_lease_ms is 0"],
        ),
        (
            apply(vec![put_pool(|p| p.idle_weight = Permille(2000))]),
            &["idle_weight is 2000"],
        ),
        (
            apply(vec![ConfigurationChange::RemoveService("fare-lm".into())]),
            &["still used by"],
        ),
        (
            apply(vec![ConfigurationChange::PutServer(server(
                "twin", "fare-lm", 0,
            ))]),
            &["`engine-00000` and `twin`", "10.0.0.1:8000"],
        ),
        (
            apply(vec![set_target(POOL, 9)]),
            &["version 9 has not been published", "newest is 1"],
        ),
        (
            move_to("x", 2),
            &["pool `x` does not exist", "there are: disputes"],
        ),
        (
            move_to(POOL, 2),
            &["version 2 has not been published", "newest is 1"],
        ),
        (move_to(POOL, 1), &["target version 1 already"]),
        (
            Intent::Drain("x".into()),
            &["server `x` does not exist", "engine-00000", "…"],
        ),
        (Intent::Restore("live-0".into()), &["open already"]),
    ];
    let mut group = Group::new(&Site::default());
    let before = group.state.configuration().clone();
    for (intent, texts) in cases {
        let case = format!("{intent:?}");
        let ControlRefusal::Invalid { message } = refusal_of(group.propose(intent)) else {
            panic!("not invalid: {case}");
        };
        for text in texts {
            expect_that!(message, contains_substring(*text), "{case}");
        }
    }
    expect_true!(*group.configuration() == before);
}

#[gtest]
fn steps_and_costs_are_stated_before_the_confirmation() {
    let mut group = Group::new(&Site::planned(8));
    group.publish(POOL, 4);
    let engine = engine_name(0);
    let change = |admission| PlanStep::Change(set_admission(&engine, admission));
    let swap = |n| PlanStep::Swap {
        server: engine_name(n).as_str().into(),
        version: WeightVersion(4),
    };
    let mut moves = vec![PlanStep::Change(set_target(POOL, 4))];
    moves.extend((0..8).map(swap));
    let cases = [
        (
            Intent::Drain(engine.as_str().into()),
            vec![
                change(Admission::Draining),
                PlanStep::AwaitInForce,
                PlanStep::AwaitIdle(engine.as_str().into()),
            ],
            PlanCost {
                servers_affected: 1,
                servers_away_at_once: 1,
                slots_away_at_once: 10,
                slots_total: 80,
                duration_ms: 5_250 + 30_000,
                trainer_idle_ms: 35_250 / 8,
                staleness_versions: 0,
            },
        ),
        (
            Intent::MovePool {
                pool: POOL.into(),
                version: WeightVersion(4),
            },
            moves,
            PlanCost {
                servers_affected: 8,
                servers_away_at_once: 2,
                slots_away_at_once: 20,
                slots_total: 80,
                duration_ms: 4 * ASSUMED_SWAP_MS,
                trainer_idle_ms: ASSUMED_SWAP_MS,
                staleness_versions: 3,
            },
        ),
        (
            Intent::Apply(vec![ConfigurationChange::RemoveServer("live-0".into())]),
            vec![
                PlanStep::Change(ConfigurationChange::RemoveServer("live-0".into())),
                PlanStep::AwaitInForce,
            ],
            PlanCost {
                servers_affected: 1,
                servers_away_at_once: 1,
                slots_away_at_once: 10,
                slots_total: 30,
                duration_ms: 5_250,
                ..PlanCost::default()
            },
        ),
    ];
    for (intent, steps, cost) in cases {
        let plan = plan_of(group.propose(intent));
        expect_that!(plan.steps, eq(&steps));
        expect_that!(plan.cost, eq(&cost));
    }
}

#[gtest]
fn a_drained_server_can_be_drained_again_and_restored() {
    let mut group = Group::new(&Site::default());
    let engine = engine_name(0);
    group.apply_change(set_admission(&engine, Admission::Draining));
    let again = plan_of(group.propose(Intent::Drain(engine.as_str().into())));
    expect_that!(
        again.steps,
        elements_are![eq(&PlanStep::AwaitInForce), pat!(PlanStep::AwaitIdle(_))]
    );
    let restore = plan_of(group.propose(Intent::Restore(engine.as_str().into())));
    expect_that!(
        restore.steps,
        elements_are![pat!(PlanStep::Change(_)), eq(&PlanStep::AwaitInForce)]
    );
    expect_that!(restore.cost.slots_away_at_once, eq(0));
}

#[gtest]
fn replacing_a_pool_keeps_its_target_version() {
    let mut group = Group::new(&Site::default());
    group.publish(POOL, 9);
    let changed = Pool {
        staleness_bound: 7,
        ..pool(POOL)
    };
    group.apply_change(ConfigurationChange::PutPool(changed));
    let pool = &group.configuration().pools[&POOL.into()];
    expect_that!(pool.staleness_bound, eq(7));
    expect_that!(pool.target_version, eq(WeightVersion(9)));
}

#[gtest]
fn replacing_a_server_keeps_its_admission() {
    let mut group = Group::new(&Site::default());
    let engine = engine_name(0);
    group.apply_change(set_admission(&engine, Admission::Draining));
    group.apply_change(ConfigurationChange::PutServer(server(
        &engine, "fare-lm", 700,
    )));
    let server = &group.configuration().servers[&engine.as_str().into()];
    expect_that!(server.admission, eq(Admission::Draining));
    expect_that!(server.address, eq(support::site::address(700)));
}

#[gtest]
fn a_move_below_another_pool_of_the_service_swaps_no_engine() {
    let mut group = Group::new(&Site::planned(4));
    group.apply_change(ConfigurationChange::PutPool(Pool {
        target_version: WeightVersion(5),
        ..pool("higher")
    }));
    group.publish(POOL, 3);
    let plan = plan_of(group.propose(Intent::MovePool {
        pool: POOL.into(),
        version: WeightVersion(3),
    }));
    expect_that!(plan.steps, elements_are![pat!(PlanStep::Change(_))]);
}

#[gtest]
fn a_long_list_of_names_is_truncated() {
    let mut group = Group::new(&Site {
        engines: 30,
        ..Site::default()
    });
    let refusal = refusal_of(group.propose(Intent::Drain("x".into())));
    let names = format!("{refusal:?}").matches("engine-").count();
    expect_that!(names, eq(10));
    let empty = Server {
        id: "".into(),
        ..server("x", "fare-lm", 900)
    };
    let refusal =
        refusal_of(group.propose(Intent::Apply(vec![ConfigurationChange::PutServer(empty)])));
    expect_that!(format!("{refusal:?}"), contains_substring("name is empty"));
}
