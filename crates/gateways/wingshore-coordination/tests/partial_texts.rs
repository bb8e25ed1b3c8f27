//! What a leader tells of the partial texts that the log holds, while parts of them are lost or on their way.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use support::{Group, configuration, engine, job};
use wingshore_coordination::{
    BreakCause, CoordinatorMessage, Effect, Event, GatewayId, ItemAssignment, ItemOutcome,
    ItemText, JobId, LoggedPrefix, Request, RunningItem,
};

/// The events behind the first `after` up to `through`.
fn events(after: u64, through: u64) -> ItemText {
    let data: Vec<String> = (after + 1..=through)
        .map(|number| format!("event {number}"))
        .collect();
    ItemText {
        text: data.join("\n"),
        events: through - after,
        last_event: Some(through),
        versions: vec![1],
    }
}

fn upload(group: &mut Group, assigned: &ItemAssignment, after: u64, through: u64) {
    group.event(Event::PartialTextStored {
        assignment: assigned.assignment,
        after_events: after,
        text: events(after, through),
    });
}

/// The gateway of an attempt says that it runs it.
fn report(group: &mut Group, assigned: &ItemAssignment) {
    let gateway = group.connect_gateway(1);
    group.event(Event::GatewayRunning {
        gateway,
        items: vec![RunningItem {
            assignment: assigned.assignment,
            item: assigned.item.clone(),
            instance: assigned.instance.clone(),
        }],
        scorings: Vec::new(),
    });
}

/// What was told of the held texts, in order.
fn told_held(group: &Group) -> Vec<LoggedPrefix> {
    let told = group.effects.iter().filter_map(|effect| match effect {
        Effect::ToGateway(_, CoordinatorMessage::HandInFrom { held, .. }) => Some(*held),
        _ => None,
    });
    told.collect()
}

fn kept(group: &Group) -> Option<&ItemText> {
    group.state.jobs()[&JobId::from("j")].partial_text(0)
}

/// What is seen, cause: as where a connection breaks (`items_review`), and the part that was lost goes on missing
/// where the gateway's next one overtakes the leader's word.
/// Proof: a part is missing, and its gateway is told nothing.
#[gtest]
fn a_part_that_does_not_follow_is_answered_with_what_is_held() {
    let (mut group, _) = Group::with_job(1);
    let assigned = group.assignments().remove(0);
    upload(&mut group, &assigned, 0, 2);
    upload(&mut group, &assigned, 4, 6);
    expect_that!(
        told_held(&group),
        elements_are![eq(&events(0, 2).logged_prefix())]
    );
    upload(&mut group, &assigned, 2, 8);
    expect_that!(kept(&group), some(eq(&events(0, 8))));
}

/// What it protects: parts that wait for their commit are not asked for again, and what follows them is kept.
#[gtest]
fn parts_that_are_not_committed_yet_count_as_held() {
    let (mut group, _) = Group::with_job(1);
    let assigned = group.assignments().remove(0);
    group.commits_later = true;
    upload(&mut group, &assigned, 0, 2);
    upload(&mut group, &assigned, 2, 5);
    report(&mut group, &assigned);
    expect_that!(
        told_held(&group),
        elements_are![eq(&events(0, 5).logged_prefix())]
    );
    upload(&mut group, &assigned, 5, 8);
    group.commit();
    expect_that!(kept(&group), some(eq(&events(0, 8))));
}

/// What is seen: an item of a route that allows one version only is resumed from a text of two.
/// How it comes about: events of version 1 are in the log; the next attempt begins anew at version 2 and breaks off
/// with more events than those; the one after it goes on from there, and uploads.
/// Cause: only the counts were compared. What follows the second run's events by number was added to those of the
/// first.
/// Proof: the kept text names both versions.
#[gtest]
fn events_of_another_run_are_not_added_to_those_held() {
    let mut group = Group::new();
    let mut of_one_version = configuration(2);
    of_one_version.routes[0].single_version = true;
    group.ask(Request::PutConfiguration(Arc::new(of_one_version)));
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(job("j", 1)));
    let first = group.assignments().remove(0);
    upload(&mut group, &first, 0, 2);
    group.heartbeat(engine("e1", 2));
    interrupt(&mut group, gateway, &first, events(0, 2));
    let second = group.assignments().remove(0);
    assert_that!(second.kept.events, eq(0));
    interrupt(&mut group, gateway, &second, of_version_2(0, 4));
    let third = group.assignments().remove(0);
    assert_that!(third.kept, eq(&of_version_2(0, 4)));
    group.event(Event::PartialTextStored {
        assignment: third.assignment,
        after_events: third.durable.events,
        text: of_version_2(third.durable.events, 6),
    });
    expect_that!(kept(&group), some(eq(&events(0, 2))));
    // The gateway learns that its text does not begin with what is held.
    let told = told_held(&group);
    let told = told.last().expect("it is told");
    expect_that!(told.is_prefix_of(&third.kept), eq(false));
}

fn interrupt(group: &mut Group, gateway: GatewayId, assigned: &ItemAssignment, text: ItemText) {
    let cause = BreakCause::Gateway;
    let outcome = ItemOutcome::Interrupted { text, cause };
    group.end_item(gateway, assigned, outcome);
}

/// Events that another run made, at version 2.
fn of_version_2(after: u64, through: u64) -> ItemText {
    let made = events(after, through);
    ItemText {
        text: made.text.replace("event", "other"),
        versions: vec![2],
        ..made
    }
}
