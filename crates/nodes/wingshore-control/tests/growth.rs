//! Memory and state of a long-running control group stay bounded.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::site::{Site, pool, server, service, set_admission};
use support::{Group, plan_of};
use wingshore_control::{CLOSED_PLANS_KEPT, OPEN_PLANS_LIMIT};
use wingshore_types::configuration::{Admission, ConfigurationChange, Pool, ServiceKind};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::control::Intent;

/// Longer than any lease of a node, in simulated time.
const PAST_ANY_LEASE: Duration = Duration::from_secs(30);
/// Number of rounds after which all bounded histories are full: each round leaves four closed plans
/// (one of them made stale by the newer open one) and nine answers.
const ROUNDS_UNTIL_FULL: u32 = 1_150;
/// Number of further rounds, in which nothing may grow.
const FURTHER_ROUNDS: u32 = 400;
/// Larger numbers take more bytes, which would look like growth: revisions and intent ids start at
/// values whose encoding does not lengthen during the test, and plan ids stay below 16,383.
const FIRST_REVISION: usize = 20_000;
const FIRST_INTENT: u128 = 1 << 100;
/// Tolerance in bytes: histories bounded in bytes vary by the size of one change.
const SLACK: usize = 1_000;

/// Runs one round: adds and removes objects with new names, sends one watch of a new node, leaves
/// plans proposed, and has one plan cancelled and one intent refused.
fn round(group: &mut Group, number: u32) {
    let name = format!("{number:06}");
    let service_of = service(&name, ServiceKind::Engines { model: "m".into() });
    let changes = vec![
        ConfigurationChange::PutService(service_of),
        ConfigurationChange::PutServer(server(&name, &name, 500_000 + number)),
        ConfigurationChange::PutPool(Pool {
            service: name.as_str().into(),
            ..pool(&name)
        }),
    ];
    group.confirm_intent(Intent::Apply(changes));
    group.publish(&name, 2);
    let revision = group.configuration().revision.0;
    group.watch(&format!("node-{name}"), u64::from(number), revision, 10);
    let cancelled = plan_of(group.propose(Intent::Drain(name.as_str().into())));
    group.cancel(cancelled.id);
    group.propose(Intent::Drain("nobody".into()));
    group.propose(Intent::Drain("live-0".into()));
    group.advance_time(100);
    group.confirm_intent(Intent::Apply(vec![
        ConfigurationChange::RemovePool(name.as_str().into()),
        ConfigurationChange::RemoveServer(name.as_str().into()),
        ConfigurationChange::RemoveService(name.as_str().into()),
    ]));
    group.now = group.now + PAST_ANY_LEASE;
    group.tick();
    group.replies.clear();
    group.effects.clear();
    group.committed.clear();
}

/// Returns the sizes of the replicated state and of the leader's memory.
fn sizes(group: &Group) -> (usize, usize) {
    let memory = format!("{:?}", group.leader).len();
    (group.state.snapshot().len(), memory)
}

#[gtest]
fn a_control_group_does_not_grow_with_what_it_has_done() -> Result<()> {
    let mut group = Group::new(&Site::planned(2));
    group.next_intent = FIRST_INTENT;
    let open = set_admission("live-0", Admission::Open);
    group.confirm_intent(Intent::Apply(vec![open; FIRST_REVISION]));
    for _ in 0..OPEN_PLANS_LIMIT {
        group.propose(Intent::Drain("live-0".into()));
    }
    (0..ROUNDS_UNTIL_FULL).for_each(|number| round(&mut group, number));
    verify_that!(
        group.state.plans().count(),
        ge(CLOSED_PLANS_KEPT + OPEN_PLANS_LIMIT - 1)
    )?;
    let early = sizes(&group);
    (ROUNDS_UNTIL_FULL..ROUNDS_UNTIL_FULL + FURTHER_ROUNDS)
        .for_each(|number| round(&mut group, number));
    let late = sizes(&group);
    println!(
        "snapshot and memory after {ROUNDS_UNTIL_FULL} rounds and {FURTHER_ROUNDS} more: {early:?}, {late:?}"
    );
    let plans = group.state.plans().last().map(|plan| plan.id.0);
    verify_that!(plans, some(lt(16_384)))?;
    verify_that!(late.0, le(early.0 + SLACK))?;
    verify_that!(late.1, le(early.1 + SLACK))
}
