//! Jobs that ended long ago are forgotten, and none of their state affects later jobs.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, job};
use wingshore_coordination::{JobId, Request};

/// Longer than the retention of an ended job.
const RETENTION: Duration = Duration::from_secs(140);
/// Longer than the test route's limit for the queue time of an item.
const QUEUE_TIME: Duration = Duration::from_secs(50);

/// Guards against queue times that survive their job: once a leader had forgotten a job, a later
/// job of the same name inherited its queue time, and its items were abandoned at once.
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
