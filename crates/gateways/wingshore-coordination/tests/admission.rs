//! Tests of the admission of batch jobs.

mod support;

use googletest::prelude::*;
use support::{Group, job};
use wingshore_coordination::{JobId, Reply, Request};

/// Guards against jobs of callers that submit faster than engines work filling the memory of all
/// members.
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
    // A job that is known already is not refused, and the end of a job frees memory.
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
fn a_job_of_any_size_is_accepted_if_no_other_is_open() {
    let mut group = Group::new();
    group.settings.max_open_job_bytes = 1;
    group.change_leader("coordinator-b");
    expect_that!(
        group.ask(Request::SubmitJob(job("j", 4))),
        some(eq(&Reply::Done))
    );
}
