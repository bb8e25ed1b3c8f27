//! Logged prefixes of partial texts that a leader sends to gateways, while uploads are lost or in
//! flight.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use support::{Group, configuration, engine, job};
use wingshore_coordination::{
    BreakCause, CoordinatorMessage, Effect, Event, GatewayId, ItemAssignment, ItemOutcome,
    ItemText, JobId, LoggedPrefix, Request, RunningItem,
};

/// The events after number `after` up to `through`.
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
    group.event(Event::PartialTextUploaded {
        assignment: assigned.assignment,
        after_events: after,
        text: events(after, through),
    });
}

/// The gateway of an attempt reconnects and reports that it runs the attempt.
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

/// The logged prefixes that were sent to gateways, in order.
fn logged_prefixes(group: &Group) -> Vec<LoggedPrefix> {
    let prefixes = group.effects.iter().filter_map(|effect| match effect {
        Effect::ToGateway(_, CoordinatorMessage::HandInFrom { held, .. }) => Some(*held),
        _ => None,
    });
    prefixes.collect()
}

fn kept(group: &Group) -> Option<&ItemText> {
    group.state.jobs()[&JobId::from("j")].partial_text(0)
}

/// Guards against uploads that are dropped silently, as after a broken connection (`items_review`).
/// The lost part also stayed missing if the gateway's next part overtook the leader's message about
/// the logged prefix: the gateway was not told again.
#[gtest]
fn a_part_that_does_not_follow_is_answered_with_what_is_held() {
    let (mut group, _) = Group::with_job(1);
    let assigned = group.assignments().remove(0);
    upload(&mut group, &assigned, 0, 2);
    upload(&mut group, &assigned, 4, 6);
    expect_that!(
        logged_prefixes(&group),
        elements_are![eq(&events(0, 2).logged_prefix())]
    );
    upload(&mut group, &assigned, 2, 8);
    expect_that!(kept(&group), some(eq(&events(0, 8))));
}

/// Parts that wait for their commit are not requested again, and the parts after them are stored.
#[gtest]
fn parts_that_are_not_committed_yet_count_as_held() {
    let (mut group, _) = Group::with_job(1);
    let assigned = group.assignments().remove(0);
    group.defers_commits = true;
    upload(&mut group, &assigned, 0, 2);
    upload(&mut group, &assigned, 2, 5);
    report(&mut group, &assigned);
    expect_that!(
        logged_prefixes(&group),
        elements_are![eq(&events(0, 5).logged_prefix())]
    );
    upload(&mut group, &assigned, 5, 8);
    group.commit();
    expect_that!(kept(&group), some(eq(&events(0, 8))));
}

/// Guards against a stored text that mixes two attempts: an item of a route that allows a single
/// version was resumed from a text of two. Events of version 1 were in the log; the next attempt
/// started over at version 2 and was interrupted with more events than those; the third attempt
/// continued from there and uploaded. Only event counts were compared, so that events of the second
/// attempt were appended to those of the first.
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
    interrupt(&mut group, gateway, &second, version_2_events(0, 4));
    let third = group.assignments().remove(0);
    assert_that!(third.kept, eq(&version_2_events(0, 4)));
    group.event(Event::PartialTextUploaded {
        assignment: third.assignment,
        after_events: third.durable.events,
        text: version_2_events(third.durable.events, 6),
    });
    expect_that!(kept(&group), some(eq(&events(0, 2))));
    // The gateway learns that its text does not begin with the logged prefix.
    let prefixes = logged_prefixes(&group);
    let last = prefixes.last().expect("a prefix was sent");
    expect_that!(last.is_prefix_of(&third.kept), eq(false));
}

fn interrupt(group: &mut Group, gateway: GatewayId, assigned: &ItemAssignment, text: ItemText) {
    let cause = BreakCause::Gateway;
    let outcome = ItemOutcome::Interrupted { text, cause };
    group.end_item(gateway, assigned, outcome);
}

/// Events of another attempt, generated by version 2.
fn version_2_events(after: u64, through: u64) -> ItemText {
    let made = events(after, through);
    ItemText {
        text: made.text.replace("event", "other"),
        versions: vec![2],
        ..made
    }
}
