//! Guards against scoring failures that are counted twice: an item was abandoned after three
//! failures although its route allows four. A leader had counted the three failures and was
//! disconnected before its confirmation reached the gateway; the gateway reported them to the next
//! leader as well, which counted them again. The tests repeat the report to a new leader, with the
//! first count committed and without.

mod support;

use googletest::prelude::*;
use support::{Group, engine, scored_job, scoring_route};
use wingshore_coordination::{
    AssignmentId, Event, GatewayId, ItemKey, ItemOutcome, ItemState, ItemText, JobId, Request,
    RunningScoring, ScoringOutcome,
};

fn text() -> ItemText {
    ItemText {
        text: "one".to_owned(),
        events: 1,
        last_event: Some(1),
        versions: vec![1],
    }
}

fn item() -> ItemKey {
    ItemKey {
        job: JobId::from("j"),
        index: 0,
    }
}

/// A group with one item whose text is finished and whose scoring runs at the gateway.
fn group_with_scoring() -> (Group, GatewayId, AssignmentId) {
    let mut group = Group::new();
    group.configure_with(scoring_route());
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(scored_job("j", 1)));
    let assignment = group.assignments().remove(0).assignment;
    group.event(Event::ItemEnded {
        gateway,
        assignment,
        item: item(),
        outcome: ItemOutcome::Finished(text().into()),
    });
    (group, gateway, assignment)
}

fn report_failures(group: &mut Group, gateway: GatewayId, scoring: AssignmentId, failures: u32) {
    group.event(Event::ScoringEnded {
        gateway,
        scoring,
        outcome: ScoringOutcome::Failed(failures),
    });
}

/// Another machine becomes leader, and the gateway reports its running scoring to it.
fn change_leader(group: &mut Group, gateway: GatewayId, scoring: AssignmentId, node: &str) {
    group.change_leader(node);
    group.connect_gateway(1);
    group.event(Event::GatewayRunning {
        gateway,
        items: Vec::new(),
        scorings: vec![RunningScoring {
            scoring,
            item: item(),
            made_by: scoring,
        }],
    });
}

fn states(group: &Group) -> Vec<ItemState> {
    let job = &group.state.jobs()[&JobId::from("j")];
    job.results.iter().map(|result| result.state).collect()
}

#[gtest]
fn failures_that_are_reported_to_a_second_leader_too_count_once() {
    let (mut group, gateway, scoring) = group_with_scoring();
    report_failures(&mut group, gateway, scoring, 3);
    change_leader(&mut group, gateway, scoring, "coordinator-b");
    report_failures(&mut group, gateway, scoring, 3);
    expect_that!(states(&group), is_empty());
}

#[gtest]
fn failures_that_no_leader_has_counted_are_counted_by_the_next_one() {
    let (mut group, gateway, scoring) = group_with_scoring();
    change_leader(&mut group, gateway, scoring, "coordinator-b");
    report_failures(&mut group, gateway, scoring, 4);
    expect_that!(states(&group), eq(&vec![ItemState::Abandoned]));
}
