//! Rollout of named versions: how many engines load at once, which first, and which machine orders.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{
    Effect, EngineStatus, Event, InstanceId, ItemProgress, JobSubmission, LeaderSettings,
    ModelName, ModelVersion, OrderAnswer, Request, WeightOrder,
};

fn name_version(group: &mut Group, version: u64) {
    let model = ModelName::from("m");
    group.ask(Request::NameVersion { model, version });
}

fn take_orders(group: &mut Group) -> Vec<WeightOrder> {
    let effects = std::mem::take(&mut group.effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Order(order) => Some(order),
            _ => None,
        })
        .collect()
}

fn take_polled_engines(group: &mut Group) -> Vec<InstanceId> {
    let effects = std::mem::take(&mut group.effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::PollEngine { instance, .. } => Some(instance),
            _ => None,
        })
        .collect()
}

fn report(group: &mut Group, instance: &InstanceId, version: u64, busy: bool) {
    group.event(Event::EnginePolled {
        instance: instance.clone(),
        report: Some(EngineStatus {
            models: vec![ModelVersion {
                model: ModelName::from("m"),
                version,
            }],
            busy,
            sequence: 7,
        }),
    });
}

fn group_of_engines(count: u32) -> Group {
    let mut group = Group::new();
    group.add_gateway(1);
    for number in 0..count {
        group.heartbeat(engine(&format!("e{number}"), 1));
    }
    group
}

#[gtest]
fn an_engine_is_polled_before_it_is_ordered() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    let polled = take_polled_engines(&mut group);
    assert_that!(polled, len(eq(1)));
    report(&mut group, &polled[0], 1, false);
    let orders = take_orders(&mut group);
    assert_that!(orders, len(eq(1)));
    expect_that!(orders[0].expected_sequence, eq(7));
    expect_that!(orders[0].holder.as_str(), eq("coordinator-a"));
}

#[gtest]
fn the_number_of_simultaneous_loads_is_limited() {
    let mut group = group_of_engines(5);
    name_version(&mut group, 3);
    expect_that!(take_polled_engines(&mut group), len(eq(2)));
}

#[gtest]
fn an_engine_that_finished_loading_lets_the_next_one_start() {
    let mut group = group_of_engines(3);
    name_version(&mut group, 2);
    let first = take_polled_engines(&mut group);
    report(&mut group, &first[0], 1, false);
    group.event(Event::WeightOrderAnswered {
        instance: first[0].clone(),
        answer: OrderAnswer::Accepted,
    });
    group.wait(Duration::from_millis(950));
    take_polled_engines(&mut group);
    report(&mut group, &first[0], 2, false);
    expect_that!(take_polled_engines(&mut group), len(ge(1)));
}

#[gtest]
fn a_new_leader_on_another_machine_gives_no_order_before_the_handover_time_has_passed() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    group.change_leader("coordinator-b");
    group.wait(Duration::from_secs(3));
    expect_that!(take_polled_engines(&mut group), is_empty());
    group.wait(Duration::from_millis(500));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
}

#[gtest]
fn where_engines_do_not_check_fences_only_time_keeps_two_machines_apart() {
    let mut group = Group::with_settings(LeaderSettings {
        engines_check_fences: false,
        ..LeaderSettings::default()
    });
    group.add_gateway(1);
    group.heartbeat(engine("e0", 1));
    name_version(&mut group, 2);
    group.change_leader("coordinator-b");
    group.event(Event::CoordinatorsLost(vec!["coordinator-a".to_owned()]));
    group.wait(Duration::from_secs(3));
    expect_that!(take_polled_engines(&mut group), is_empty());
    group.wait(Duration::from_millis(500));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
}

#[gtest]
fn a_new_leader_orders_at_once_where_the_machine_before_it_was_lost() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    group.change_leader("coordinator-b");
    group.wait(Duration::from_millis(200));
    group.event(Event::CoordinatorsLost(vec!["coordinator-c".to_owned()]));
    expect_that!(
        take_polled_engines(&mut group),
        is_empty(),
        "another machine was lost"
    );
    group.event(Event::CoordinatorsLost(vec!["coordinator-a".to_owned()]));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
}

/// Machines that lead briefly and fail one after the other must not alternate in giving orders:
/// after a quick handover the next one is quick only once its machine has held the right to order
/// for the handover time.
#[gtest]
fn quick_handovers_do_not_follow_each_other() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    group.change_leader("coordinator-b");
    group.event(Event::CoordinatorsLost(vec!["coordinator-a".to_owned()]));
    group.wait(Duration::from_millis(100));
    expect_that!(take_polled_engines(&mut group), len(eq(1)));
    group.change_leader("coordinator-c");
    group.event(Event::CoordinatorsLost(vec!["coordinator-b".to_owned()]));
    group.wait(Duration::from_millis(3000));
    expect_that!(take_polled_engines(&mut group), is_empty());
    group.wait(Duration::from_millis(600));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
    // Once the machine has held the right for the handover time, the next handover is quick again.
    group.heartbeat(engine("e0", 1));
    group.wait(Duration::from_millis(4000));
    group.effects.clear();
    group.change_leader("coordinator-d");
    group.event(Event::CoordinatorsLost(vec!["coordinator-c".to_owned()]));
    group.wait(Duration::from_millis(100));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
}

#[gtest]
fn fences_rise_with_each_leadership() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    let polled = take_polled_engines(&mut group);
    report(&mut group, &polled[0], 1, false);
    let before = take_orders(&mut group).remove(0).fence;
    // The same machine may continue at once.
    group.change_leader("coordinator-a");
    group.wait(Duration::from_millis(100));
    let polled = take_polled_engines(&mut group);
    report(&mut group, &polled[0], 1, false);
    expect_that!(take_orders(&mut group).remove(0).fence, gt(before));
}

#[gtest]
fn an_order_without_an_answer_is_followed_by_a_poll_and_not_by_an_order() {
    let mut group = group_of_engines(1);
    name_version(&mut group, 2);
    let polled = take_polled_engines(&mut group);
    report(&mut group, &polled[0], 1, false);
    take_orders(&mut group);
    group.event(Event::WeightOrderAnswered {
        instance: polled[0].clone(),
        answer: OrderAnswer::Unknown,
    });
    group.wait(Duration::from_millis(300));
    let effects = std::mem::take(&mut group.effects);
    let looks = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::PollEngine { .. }));
    expect_that!(looks.count(), ge(1));
    let orders = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Order(_)));
    expect_that!(orders.count(), eq(0));
}

#[gtest]
fn an_engine_one_version_behind_does_not_load_while_a_long_item_runs_on_it() {
    let mut group = group_of_engines(1);
    group.ask(Request::SubmitJob(job("j", 1)));
    let assigned = group.assignments().remove(0);
    group.event(Event::ItemsProgressed(vec![ItemProgress {
        assignment: assigned.assignment,
        events: 50,
    }]));
    name_version(&mut group, 2);
    group.wait(Duration::from_millis(200));
    expect_that!(take_polled_engines(&mut group), is_empty());
}

#[gtest]
fn a_long_item_moves_from_a_slow_engine_to_a_fast_one() {
    let mut group = group_of_engines(2);
    group.ask(Request::SubmitJob(job("j", 4)));
    let assigned = group.assignments();
    let on = |name: &str| {
        let instance = InstanceId::from(name);
        assigned.iter().find(|item| item.instance == instance)
    };
    let fast = on("e0").expect("an item runs on the first engine");
    let slow = on("e1").expect("an item runs on the second engine");
    for step in 1..=12_u64 {
        group.wait(Duration::from_millis(400));
        group.event(Event::ItemsProgressed(vec![
            ItemProgress {
                assignment: fast.assignment,
                events: step * 10,
            },
            ItemProgress {
                assignment: slow.assignment,
                events: step * 4,
            },
        ]));
    }
    let interrupted = group.effects.iter().any(|effect| {
        matches!(effect, Effect::ToGateway(_, wingshore_coordination::CoordinatorMessage::Interrupt { assignment })
            if *assignment == slow.assignment)
    });
    expect_that!(interrupted, eq(true));
}

/// A group of engines that serve the models "m" and "n", both at version 1.
fn group_of_two_models(engines: u32) -> Group {
    let mut group = Group::new();
    group.add_gateway(1);
    for number in 0..engines {
        let mut server = engine(&format!("e{number:02}"), 1);
        server.models.push(ModelVersion {
            model: ModelName::from("n"),
            version: 1,
        });
        group.heartbeat(server);
    }
    group
}

/// Answers polls and completes each ordered load at once, until no engine is polled any more.
/// Returns the numbers of ordered loads of "m" and of "n".
fn simulate_loads(group: &mut Group) -> (usize, usize) {
    let mut begun = (0, 0);
    for _ in 0..50 {
        for instance in take_polled_engines(group) {
            group.event(Event::EnginePolled {
                instance: instance.clone(),
                report: Some(EngineStatus {
                    models: Vec::new(),
                    busy: false,
                    sequence: 1,
                }),
            });
            for order in take_orders(group) {
                if order.model == ModelName::from("m") {
                    begun.0 += 1;
                } else {
                    begun.1 += 1;
                }
                group.event(Event::EnginePolled {
                    instance: order.instance,
                    report: Some(EngineStatus {
                        models: vec![ModelVersion {
                            model: order.model,
                            version: order.version,
                        }],
                        busy: false,
                        sequence: 2,
                    }),
                });
            }
        }
        group.wait(Duration::from_millis(50));
    }
    begun
}

/// Engines with a model that is many versions behind are useless for its newest jobs, but the model
/// needs no more than its share of engines. The remaining loads go to the other model, whose next
/// job may require the version that no engine has yet.
#[gtest]
fn a_model_that_is_many_versions_behind_does_not_take_all_loads() {
    let mut group = group_of_two_models(10);
    let model = ModelName::from("n");
    group.ask(Request::NameVersion { model, version: 4 });
    name_version(&mut group, 2);
    expect_that!(simulate_loads(&mut group), eq((5, 5)));
}

/// A stream continues while its engine loads the weights of another model.
#[gtest]
fn long_items_of_another_model_do_not_delay_a_load() {
    let mut group = group_of_two_models(1);
    let mut long = (*job("j", 2)).clone();
    long.items[0].expected_output = Some(1);
    long.items[1].expected_output = Some(100);
    group.ask(Request::SubmitJob(std::sync::Arc::new(long)));
    expect_that!(group.assignments(), len(eq(2)));
    name_version(&mut group, 2);
    group.wait(Duration::from_millis(200));
    expect_that!(
        take_polled_engines(&mut group),
        is_empty(),
        "a long item of the same model runs"
    );
    let model = ModelName::from("n");
    group.ask(Request::NameVersion { model, version: 2 });
    group.wait(Duration::from_millis(200));
    expect_that!(take_polled_engines(&mut group), not(is_empty()));
}

#[gtest]
fn a_share_of_many_engines_loads_at_once() {
    let mut group = group_of_engines(20);
    name_version(&mut group, 3);
    expect_that!(take_polled_engines(&mut group), len(eq(4)));
}

/// Counts the engines that are polled for a load within 1.5 s; each then reports the version as
/// loaded. The time is limited because items that their gateway does not report for longer are
/// placed again.
fn count_loading_engines(group: &mut Group, version: u64) -> usize {
    let mut loaded = 0;
    for _ in 0..30 {
        for instance in take_polled_engines(group) {
            loaded += 1;
            report(group, &instance, version, false);
        }
        group.wait(Duration::from_millis(50));
    }
    loaded
}

/// Guards against loads without demand. A site of 3,000 engines gave 947 to 3,234 orders per run
/// for steps of about 250 items, nearly all of them useless, and orders were its largest cost. Each
/// version was loaded on all engines that could run its model, whatever the demand for it.
#[gtest]
fn loads_follow_the_work_and_not_the_number_of_engines() {
    let mut group = group_of_engines(200);
    group.ask(Request::SubmitJob(job("j", 16)));
    group.wait(Duration::from_millis(100));
    name_version(&mut group, 2);
    // Sixteen items fill four engines of four slots.
    expect_that!(count_loading_engines(&mut group, 2), all![ge(8), le(16)]);
    // The demand for a model without past work is unknown: all engines load its version.
    let mut idle = group_of_engines(200);
    name_version(&mut idle, 2);
    expect_that!(count_loading_engines(&mut idle, 2), eq(200));
}

/// Guards against a starved model: versions of two models were named at once, and all loads went to
/// the model whose engines come first in order.
#[gtest]
fn the_model_that_fewer_engines_can_run_is_loaded_first() {
    let mut group = Group::new();
    group.add_gateway(1);
    // All engines serve both models; six can run "m", none "n", which is fewer versions behind.
    for number in 0..10 {
        let mut server = engine(&format!("e{number}"), if number < 4 { 1 } else { 4 });
        server.models.push(ModelVersion {
            model: ModelName::from("n"),
            version: 2,
        });
        group.heartbeat(server);
    }
    name_version(&mut group, 5);
    let model = ModelName::from("n");
    group.ask(Request::NameVersion { model, version: 5 });
    // The first loads are those of the model that was named first. The others follow once these are
    // finished.
    for instance in take_polled_engines(&mut group) {
        report(&mut group, &instance, 5, false);
    }
    for instance in take_polled_engines(&mut group) {
        report(&mut group, &instance, 1, false);
    }
    let ordered = take_orders(&mut group);
    assert_that!(ordered, not(is_empty()));
    for order in ordered {
        expect_that!(order.model.as_str(), eq("n"));
    }
}

/// Guards against too many loads. A site of 9,600 engines gave 144 orders for each version although
/// the items of a step fill 35 engines: a job arrives together with the version that it needs, and
/// while its items waited, each scan started more loads although the running ones had room for all
/// of them.
#[gtest]
fn items_that_wait_for_running_loads_start_no_further_loads() {
    let mut group = group_of_engines(600);
    for version in 2..=4 {
        name_version(&mut group, version);
        let mut submission = JobSubmission::clone(&job(&format!("j{version}"), 80));
        submission.min_version = version;
        group.ask(Request::SubmitJob(Arc::new(submission)));
        // As long as a load takes: no engine has reported yet that it has finished.
        group.wait(Duration::from_millis(900));
        let began: BTreeSet<InstanceId> = take_polled_engines(&mut group).into_iter().collect();
        // 80 items fill 20 engines of 4 slots; twice that is enough.
        expect_that!(began.len(), le(40), "version {version}");
        for instance in &began {
            report(&mut group, instance, version, false);
        }
        group.wait(Duration::from_millis(200));
        group.ask(Request::EndJob(format!("j{version}").into()));
        group.effects.clear();
        for number in 0..600 {
            group.heartbeat(engine(&format!("e{number}"), 1));
        }
    }
}
