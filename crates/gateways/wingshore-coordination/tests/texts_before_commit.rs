//! Finished texts that a gateway has reported and that the leader lost before it committed them.
//!
//! Such a text must neither be generated twice nor be lost while its gateway lives: the gateway
//! keeps the outcome of an attempt until a leader releases it, and the next leader waits for the
//! reports of gateways before it places anything.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine, job, scored_job};
use wingshore_coordination::{
    CoordinatorMessage, Effect, Event, GatewayId, ItemAssignment, ItemOutcome, ItemText, JobId,
    Request, RunningItem,
};

fn whole_text() -> ItemText {
    ItemText {
        text: "event 1\nevent 2".to_owned(),
        events: 2,
        last_event: Some(2),
        versions: vec![1],
    }
}

/// The gateway reports the end of an attempt with its finished text.
fn report_end(group: &mut Group, gateway: GatewayId, assigned: &ItemAssignment) {
    let outcome = ItemOutcome::Finished(whole_text().into());
    group.end_item(gateway, assigned, outcome);
}

fn is_released(group: &Group, assigned: &ItemAssignment) -> bool {
    group.effects.iter().any(|effect| {
        matches!(effect, Effect::ToGateway(_, CoordinatorMessage::Release { assignment })
            if *assignment == assigned.assignment)
    })
}

/// A leader receives a finished text and fails before the commit; the gateway reports what it runs
/// to the next leader.
fn lose_leader_before_commit(group: &mut Group) -> (GatewayId, ItemAssignment) {
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    let assigned = group.assignments().remove(0);
    group.defers_commits = true;
    report_end(group, gateway, &assigned);
    assert_that!(is_released(group, &assigned), eq(false));
    group.change_leader("coordinator-b");
    group.defers_commits = false;
    group.connect_gateway(1);
    group.event(Event::GatewayRunning {
        gateway,
        items: vec![RunningItem {
            assignment: assigned.assignment,
            item: assigned.item.clone(),
            instance: assigned.instance.clone(),
        }],
        scorings: Vec::new(),
    });
    (gateway, assigned)
}

#[gtest]
fn a_text_that_was_reported_and_not_committed_is_listed_once_and_not_run_again() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job("j", 1)));
    let (gateway, assigned) = lose_leader_before_commit(&mut group);
    group.wait(Duration::from_secs(2));
    expect_that!(group.assignments(), is_empty());
    report_end(&mut group, gateway, &assigned);
    let results = &group.state.jobs()[&JobId::from("j")].results;
    expect_that!(results, len(eq(1)));
    expect_that!(results[0].text.unpack(), ok(eq(&whole_text().text)));
    expect_that!(is_released(&group, &assigned), eq(true));
}

#[gtest]
fn a_text_that_is_to_be_scored_is_kept_once_and_not_run_again() {
    let mut group = Group::new();
    group.configure_with(support::scoring_route());
    group.ask(Request::SubmitJob(scored_job("j", 1)));
    let (gateway, assigned) = lose_leader_before_commit(&mut group);
    group.wait(Duration::from_secs(2));
    expect_that!(group.assignments(), is_empty());
    report_end(&mut group, gateway, &assigned);
    let unscored = group.state.jobs()[&JobId::from("j")].unscored(0);
    expect_that!(
        unscored.map(|text| text.made_by),
        some(eq(assigned.assignment))
    );
}
