//! Texts that gateways upload while an item runs, where a part of one is lost with a connection.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::Group;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, Effect, Event, ItemText, JobId, LoggedPrefix, RunningItem,
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

fn upload(assignment: AssignmentId, after: u64, through: u64) -> Event {
    Event::PartialTextStored {
        assignment,
        after_events: after,
        text: events(after, through),
    }
}

/// What a leader has told of the text that the log holds, last of all.
fn told_held(group: &Group) -> Option<LoggedPrefix> {
    let mut told = group.effects.iter().filter_map(|effect| match effect {
        Effect::ToGateway(_, CoordinatorMessage::HandInFrom { held, .. }) => Some(*held),
        _ => None,
    });
    told.next_back()
}

/// What is seen: the text of an item that ran on for long is made again from an early event on once its gateway is
/// lost, though the gateway uploaded it all the time, and each part of it was committed.
/// How it comes about: the connection between the gateway and the leader breaks for a moment, and a part that was under
/// way is lost with it; the item is kept, and the leader is the same.
/// Cause: the gateway counts a part as uploaded once it is sent. Only a new leader says how much it holds (`adopt` turns
/// back where the attempt is known); and `keep` drops, without a word, each part that does not follow what it holds.
/// Proof: after the break nothing is told, and of eight events that came afterwards none is kept.
#[gtest]
fn a_leader_says_what_it_holds_to_a_gateway_whose_connection_broke() {
    let (mut group, gateway) = Group::with_job(1);
    let assigned = group.assignments().remove(0);
    let assignment = assigned.assignment;
    group.event(upload(assignment, 0, 2));
    group.event(Event::GatewayDisconnected {
        gateway,
        silence: Duration::ZERO,
    });
    group.wait(Duration::from_millis(300));
    group.connect_gateway(1);
    group.event(Event::GatewayRunning {
        gateway,
        items: vec![RunningItem {
            assignment,
            item: assigned.item.clone(),
            instance: assigned.instance.clone(),
        }],
        scorings: Vec::new(),
    });
    let held = told_held(&group);
    // Events 3 to 4 were lost with the connection. The gateway goes on behind what it was told, or else
    // behind what it has sent.
    let from = held.map_or(4, |held| held.extent.events);
    group.event(upload(assignment, from, 8));
    group.event(upload(assignment, 8, 12));
    let kept = group.state.jobs()[&JobId::from("j")]
        .partial_text(0)
        .map_or(0, |text| text.events);
    println!("told {held:?}, kept {kept} of 12 events");
    expect_that!(group.assignments(), is_empty(), "it runs on");
    expect_that!(held, some(eq(events(0, 2).logged_prefix())));
    expect_that!(kept, eq(12));
}
