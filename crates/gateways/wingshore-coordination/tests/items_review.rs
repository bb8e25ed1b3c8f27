//! Texts that gateways upload while an item runs, when a part is lost with a connection.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::Group;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, Effect, Event, ItemText, JobId, LoggedPrefix, RunningItem,
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

fn upload(assignment: AssignmentId, after: u64, through: u64) -> Event {
    Event::PartialTextUploaded {
        assignment,
        after_events: after,
        text: events(after, through),
    }
}

/// The logged prefix of the text that a leader sent last.
fn last_logged_prefix(group: &Group) -> Option<LoggedPrefix> {
    let mut prefixes = group.effects.iter().filter_map(|effect| match effect {
        Effect::ToGateway(_, CoordinatorMessage::HandInFrom { held, .. }) => Some(*held),
        _ => None,
    });
    prefixes.next_back()
}

/// Guards against uploads that are dropped after a reconnect. The connection between a gateway and
/// its leader broke briefly, and an upload in flight was lost; attempt and leader stayed the same.
/// The gateway counted the part as uploaded once it was sent. Only a new leader reported how much
/// it held (`adopt_attempt` returned early for known attempts), and every later part was dropped
/// silently because it did not follow the held events: of eight later events none was stored. When
/// the gateway was lost later, the text was generated again from an early event.
#[gtest]
fn a_leader_sends_the_logged_prefix_to_a_gateway_that_reconnects() {
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
    let held = last_logged_prefix(&group);
    // Events 3 to 4 were lost with the connection. The gateway continues after the logged prefix if
    // it received one, otherwise after the events that it has sent.
    let from = held.map_or(4, |held| held.extent.events);
    group.event(upload(assignment, from, 8));
    group.event(upload(assignment, 8, 12));
    let kept = group.state.jobs()[&JobId::from("j")]
        .partial_text(0)
        .map_or(0, |text| text.events);
    println!("sent prefix: {held:?}; stored {kept} of 12 events");
    expect_that!(group.assignments(), is_empty(), "the attempt keeps running");
    expect_that!(held, some(eq(events(0, 2).logged_prefix())));
    expect_that!(kept, eq(12));
}
