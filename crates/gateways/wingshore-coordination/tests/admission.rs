//! Which batch jobs are taken.

mod support;

use googletest::prelude::*;
use support::{Group, job};
use wingshore_coordination::{JobId, Reply, Request};

/// Jobs of callers that submit faster than engines work would fill the memory of all members.
#[gtest]
fn a_job_waits_outside_while_memory_has_no_room_for_it() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job("j", 4)));
    let bytes = job("j", 4).bytes();
    group.settings.max_open_job_bytes = 3 * bytes;
    group.change_leader("coordinator-b");
    expect_that!(
        group.ask(Request::SubmitJob(job("k", 8))),
        some(eq(&Reply::Done))
    );
    let refused = group.ask(Request::SubmitJob(job("l", 1)));
    expect_that!(refused, some(matches_pattern!(Reply::ComeBack(anything()))));
    expect_that!(
        group.state.jobs().contains_key(&JobId::from("l")),
        eq(false)
    );
    // One that is known is not refused, and an end makes room.
    expect_that!(
        group.ask(Request::SubmitJob(job("k", 8))),
        some(eq(&Reply::Done))
    );
    group.ask(Request::EndJob(JobId::from("k")));
    expect_that!(
        group.ask(Request::SubmitJob(job("l", 1))),
        some(eq(&Reply::Done))
    );
}

#[gtest]
fn a_job_that_is_alone_is_taken_however_large_it_is() {
    let mut group = Group::new();
    group.settings.max_open_job_bytes = 1;
    group.change_leader("coordinator-b");
    expect_that!(
        group.ask(Request::SubmitJob(job("j", 4))),
        some(eq(&Reply::Done))
    );
}
