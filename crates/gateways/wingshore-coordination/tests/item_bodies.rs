//! Reads of bodies of items: what is returned, and what the log says about it.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use support::{Group, job};
use wingshore_coordination::{
    Decision, Effect, ItemId, ItemOutcome, ItemText, JobId, JobSubmission, NoBody, Reply, Request,
};

/// Returns a complete text of one event.
fn text() -> ItemText {
    ItemText {
        text: "event 1".to_owned(),
        events: 1,
        last_event: Some(1),
        versions: vec![1],
    }
}

/// Reads the body of an item.
fn read_body(group: &mut Group, job: &str, item: &str) -> Option<Reply> {
    group.ask(Request::ReadItem {
        job: JobId::from(job),
        item: ItemId::from(item),
    })
}

/// Returns what the log says about all reads so far: the item and what was found.
fn logged_reads(group: &Group) -> Vec<(String, std::result::Result<usize, NoBody>)> {
    let effects = group.effects.iter();
    let reads = effects.filter_map(|effect| match effect {
        Effect::Log(Decision::ItemBodyRead {
            item, body_bytes, ..
        }) => Some((item.to_string(), *body_bytes)),
        _ => None,
    });
    reads.collect()
}

/// Guards against reads whose cause cannot be found: logs named the job of a read, but neither its
/// item nor the length of the answer nor why there was none.
#[gtest]
fn the_log_says_what_each_read_of_a_body_found() {
    let (mut group, gateway) = Group::with_job(2);
    let body = job("j", 2).items[1].body.clone();
    let first = group.assignments().remove(0);
    group.end_item(gateway, &first, ItemOutcome::Finished(text().into()));
    let (listed, open) = match first.item.index {
        0 => ("j-0", "j-1"),
        _ => ("j-1", "j-0"),
    };
    expect_that!(
        read_body(&mut group, "j", open),
        some(eq(&Reply::Item(body.clone())))
    );
    for (job, item) in [("j", listed), ("j", "other"), ("other", open)] {
        expect_that!(read_body(&mut group, job, item), some(eq(&Reply::Unknown)));
    }
    group.ask(Request::EndJob(JobId::from("j")));
    expect_that!(read_body(&mut group, "j", open), some(eq(&Reply::Unknown)));
    let expected = [
        (open.to_owned(), Ok(body.len())),
        (listed.to_owned(), Err(NoBody::Listed)),
        ("other".to_owned(), Err(NoBody::UnknownItem)),
        (open.to_owned(), Err(NoBody::UnknownJob)),
        (open.to_owned(), Err(NoBody::JobEnded)),
    ];
    expect_that!(logged_reads(&group), container_eq(expected));
}

/// Guards against the body of another item: of two items with one identifier in a submission, reads
/// returned the body of the first.
#[gtest]
fn a_submission_that_names_an_item_twice_is_refused() {
    let (mut group, _) = Group::with_job(2);
    let mut twice = JobSubmission::clone(&job("twice", 3));
    twice.items[2].id = twice.items[0].id.clone();
    let reason =
        "item `twice-0` stands at positions 0 and 2; allowed is each id once in a batch job";
    expect_that!(
        group.ask(Request::SubmitJob(Arc::new(twice))),
        some(eq(&Reply::Refused(reason.to_owned())))
    );
    expect_that!(
        group.state.jobs().contains_key(&JobId::from("twice")),
        eq(false)
    );
    // The same identifiers in another job are allowed, and a job that an earlier build accepted
    // stays accepted.
    let mut again = JobSubmission::clone(&job("j", 2));
    again.id = JobId::from("later");
    expect_that!(
        group.ask(Request::SubmitJob(Arc::new(again.clone()))),
        some(eq(&Reply::Done))
    );
    again.items[1].id = again.items[0].id.clone();
    expect_that!(
        group.ask(Request::SubmitJob(Arc::new(again))),
        some(eq(&Reply::Done))
    );
}
