//! A site with many more engines than simultaneous items, such as a fleet of 9,600 engines of which
//! trainers use a few hundred.
//!
//! Guards against a new connection for nearly every item: such a site opened 11,053 connections for
//! 11,192 items in one run. An engine of unknown pace was ranked as the best known one, so that
//! each item went to another engine that had run none before. Here 40 items run at a time over 30
//! rounds: they use no more engines than necessary, unless an engine is slower than others.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{
    Event, FinishedText, GatewayId, InstanceId, ItemAssignment, ItemOutcome, ItemProgress,
    JobSubmission, Request,
};

const ENGINES: usize = 500;
const ITEMS: u32 = 40;
const ROUNDS: usize = 30;
/// Number of events of an item; they arrive within one round.
const EVENTS: u64 = 20;
const ROUND: Duration = Duration::from_secs(1);

fn site() -> (Group, GatewayId) {
    let mut group = Group::new();
    let gateway = group.add_gateway(1);
    send_heartbeats(&mut group);
    (group, gateway)
}

/// Sends a heartbeat of each engine.
fn send_heartbeats(group: &mut Group) {
    for number in 0..ENGINES {
        group.heartbeat(engine(&format!("e{number:04}"), 1));
    }
}

/// Runs a job until its items end; on each engine they produce `events` events in a round. Returns
/// the assignments.
fn round(
    group: &mut Group,
    gateway: GatewayId,
    name: &str,
    events: impl Fn(&InstanceId) -> u64,
) -> Vec<ItemAssignment> {
    let mut submission = JobSubmission::clone(&job(name, ITEMS));
    for (number, item) in submission.items.iter_mut().enumerate() {
        item.group = format!("{name}-{number}");
    }
    group.ask(Request::SubmitJob(Arc::new(submission)));
    let assigned = group.assignments();
    for part in [0.0, 0.5, 1.0] {
        let progress = assigned.iter().map(|assignment| ItemProgress {
            assignment: assignment.assignment,
            events: (events(&assignment.instance) as f64 * part) as u64,
        });
        group.event(Event::ItemsProgressed(progress.collect()));
        group.wait(ROUND / 2);
    }
    for assignment in &assigned {
        let whole = ItemOutcome::Finished(FinishedText::default());
        group.end_item(gateway, assignment, whole);
    }
    group.ask(Request::EndJob(name.into()));
    send_heartbeats(group);
    group.assignments();
    assigned
}

fn engines_of(assigned: &[ItemAssignment]) -> BTreeSet<InstanceId> {
    let instances = assigned
        .iter()
        .map(|assignment| assignment.instance.clone());
    instances.collect()
}

#[gtest]
fn items_run_on_engines_that_gateways_are_connected_to() {
    let (mut group, gateway) = site();
    let mut used = BTreeSet::new();
    for number in 0..ROUNDS {
        let assigned = round(&mut group, gateway, &format!("j{number}"), |_| EVENTS);
        expect_that!(assigned.len(), eq(ITEMS as usize));
        used.extend(engines_of(&assigned));
    }
    expect_that!(used.len(), le(2 * ITEMS as usize));
}

/// Items do not share an engine only to save a connection.
#[gtest]
fn items_of_a_round_run_apart_while_engines_are_idle() {
    let (mut group, gateway) = site();
    for number in 0..3 {
        let assigned = round(&mut group, gateway, &format!("j{number}"), |_| EVENTS);
        expect_that!(engines_of(&assigned).len(), eq(ITEMS as usize));
    }
}
