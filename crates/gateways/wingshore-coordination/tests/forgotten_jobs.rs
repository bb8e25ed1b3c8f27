//! Jobs that have ended: the contents of their items are gone at once; the jobs are forgotten later,
//! and none of their state affects later ones.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine, job, scored_job, scoring_route};
use wingshore_coordination::{
    Command, CoordinatorMessage, Effect, Event, ItemId, ItemOutcome, ItemText, JobId, Reply,
    Request, RunningScoring,
};
use wingshore_types::LogIndex;
use wingshore_types::machine::ReplicatedState;

/// Longer than the retention of an ended job.
const RETENTION: Duration = Duration::from_secs(140);
/// Position of an entry after all others of a test.
const AFTER_ALL_OTHERS: LogIndex = LogIndex(1_000_000);

/// Returns a complete text of one event.
fn text() -> ItemText {
    ItemText {
        text: "event 1".to_owned(),
        events: 1,
        last_event: Some(1),
        versions: vec![1],
    }
}
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

/// Guards against an empty body in place of an item's own: the end of a job drops the contents of its
/// items, and a read of an item that was not listed was answered with the empty rest.
#[gtest]
fn an_item_has_no_body_after_the_end_of_its_job() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job("j", 1)));
    let read_item = || Request::ReadItem {
        job: JobId::from("j"),
        item: ItemId::from("j-0"),
    };
    let body = group.ask(read_item());
    expect_that!(body, some(matches_pattern!(Reply::Item(not(is_empty())))));
    group.ask(Request::EndJob(JobId::from("j")));
    expect_that!(group.ask(read_item()), some(eq(&Reply::Unknown)));
}

/// Guards against items that run after the end of their job: a submission that was sent again before
/// the first one was committed is applied twice, and its second application put the items of the job
/// back into the queue after the caller had ended it.
#[gtest]
fn no_item_is_placed_by_a_second_acceptance_after_the_end_of_its_job() {
    let mut group = Group::new();
    group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.defers_commits = true;
    for _ in 0..2 {
        group.ask(Request::SubmitJob(job("j", 1)));
    }
    group.commit_next();
    expect_that!(group.assignments(), len(eq(1)));
    group.ask(Request::EndJob(JobId::from("j")));
    group.commit_next();
    expect_that!(group.assignments(), is_empty());
    group.commit();
    expect_that!(group.state.jobs()[&JobId::from("j")].ended, eq(true));
    expect_that!(group.assignments(), is_empty());
    let counts = group.leader.counts();
    expect_that!((counts.items_waiting, counts.items_running), eq((0, 0)));
}

/// Guards against a result without its score: the end of a job drops its scorers, and a text that came
/// in afterwards was listed as that of an item without a scorer.
#[gtest]
fn a_text_of_an_item_whose_contents_are_gone_is_not_listed() {
    let mut group = Group::new();
    group.configure_with(scoring_route());
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(scored_job("j", 1)));
    let attempt = group.assignments().remove(0);
    let end = Command::EndJob(JobId::from("j"));
    group.state.apply(AFTER_ALL_OTHERS, end);
    let assignment = attempt.assignment;
    group.end_item(gateway, &attempt, ItemOutcome::Finished(text().into()));
    let release = CoordinatorMessage::Release { assignment };
    expect_that!(
        group.effects,
        contains(eq(&Effect::ToGateway(gateway, release)))
    );
    let known = &group.state.jobs()[&JobId::from("j")];
    expect_that!(known.results, is_empty());
}

/// Guards against scorings that nobody waits for: a scoring that its gateway reported while the end
/// of its job was not committed yet was counted as under way, and not released.
#[gtest]
fn a_scoring_reported_after_the_end_of_its_job_is_released() {
    let mut group = Group::new();
    group.configure_with(scoring_route());
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(scored_job("j", 1)));
    let attempt = group.assignments().remove(0);
    group.end_item(gateway, &attempt, ItemOutcome::Finished(text().into()));
    group.defers_commits = true;
    group.ask(Request::EndJob(JobId::from("j")));
    group.effects.clear();
    let scoring = attempt.assignment;
    group.event(Event::GatewayRunning {
        gateway,
        items: Vec::new(),
        scorings: vec![RunningScoring {
            scoring,
            item: attempt.item,
            made_by: scoring,
        }],
    });
    let release = CoordinatorMessage::ReleaseScoring { scoring };
    expect_that!(
        group.effects,
        contains(eq(&Effect::ToGateway(gateway, release)))
    );
    group.commit();
    expect_that!(group.leader.counts().scorings_running, eq(0));
}

/// Guards against an end that is answered "no such job" although it took effect: a job that had been
/// open for longer than the retention was forgotten as soon as it ended, and the end that its caller
/// sent again met nothing.
#[gtest]
fn the_end_of_a_long_job_is_acknowledged_again() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job("j", 1)));
    group.wait(RETENTION);
    let end = || Request::EndJob(JobId::from("j"));
    expect_that!(group.ask(end()), some(eq(&Reply::Done)));
    group.wait(Duration::from_secs(5));
    expect_that!(group.ask(end()), some(eq(&Reply::Done)));
    group.wait(RETENTION);
    expect_that!(group.state.jobs(), is_empty());
}
