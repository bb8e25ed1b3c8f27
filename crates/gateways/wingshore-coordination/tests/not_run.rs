//! Tests of items that an engine or a gateway did not run: where they are placed next, and when.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{ItemOutcome, JobId, NotRunReason, Request};

/// Guards against repeated attempts at a dead engine. An item was sent to one ten times in half a
/// second: a refused connection ejected the engine for only 250 ms, and attempts went on until it
/// had been silent for 6 s.
#[gtest]
fn an_engine_where_nobody_listens_gets_no_items_before_its_next_heartbeat() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    let ended = ItemOutcome::NotRun(NotRunReason::Ended);
    group.end_item(gateway, &first, ended);
    group.wait(Duration::from_secs(4));
    expect_that!(group.assignments(), is_empty());
    // A heartbeat shows that only the link between that gateway and the engine was cut.
    group.heartbeat(engine("e1", 1));
    group.wait(Duration::from_millis(100));
    expect_that!(group.assignments(), len(eq(1)));
}

#[gtest]
fn an_item_that_is_rejected_waits_and_takes_no_engine() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    let rejected = ItemOutcome::NotRun(NotRunReason::Rejected);
    group.end_item(gateway, &first, rejected);
    group.wait(Duration::from_secs(1));
    expect_that!(group.assignments(), is_empty());
    // The rejection does not eject the engine.
    group.ask(Request::SubmitJob(job("other", 1)));
    expect_that!(group.assignments(), len(eq(1)));
    // The item is not abandoned early either.
    let job = &group.state.jobs()[&JobId::from("j")];
    expect_that!(job.results, is_empty());
}
