//! Jobs that ended long ago are forgotten, and nothing of them counts for later ones.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, job};
use wingshore_coordination::{JobId, Request};

/// Longer than an ended job is remembered.
const RETENTION: Duration = Duration::from_secs(140);
/// Longer than the route of the tests allows an item to wait.
const QUEUE_TIME: Duration = Duration::from_secs(50);

/// A leader that had forgotten a job counted the time in the queue of a later one of the same name from then on, and
/// abandoned its items at once.
#[gtest]
fn a_job_that_reuses_a_forgotten_name_gets_its_full_queue_time() {
    let mut group = Group::new();
    group.add_gateway(1);
    group.ask(Request::SubmitJob(job("j", 1)));
    group.ask(Request::EndJob(JobId::from("j")));
    group.wait(RETENTION);
    assert_that!(group.state.jobs().len(), eq(0));
    group.wait(QUEUE_TIME);
    group.ask(Request::SubmitJob(job("j", 1)));
    group.wait(Duration::from_secs(1));
    let known = &group.state.jobs()[&JobId::from("j")];
    expect_that!(known.results.len(), eq(0));
    group.wait(QUEUE_TIME);
    let known = &group.state.jobs()[&JobId::from("j")];
    expect_that!(known.results.len(), eq(1));
}
